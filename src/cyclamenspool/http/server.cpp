#include <cyclamenspool/http/server.h>

#include <cyclamenspool/http/refusal.h>
#include <cyclamenspool/telemetry/log.h>
#include <cyclamenspool/wire/socketstate.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <vector>

namespace cyclamenspool::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

namespace internal {

constexpr std::size_t firstReadBytes = 4096; /* buffer of the read that waits for a request under the idle timeout */
constexpr std::chrono::milliseconds cancelRetryInterval{5};
constexpr std::chrono::milliseconds acknowledgementPollInterval{5};
constexpr std::chrono::milliseconds acknowledgementTimeout{1000}; /* for the last response of a connection */

core::ErrorKind errorKindOf(const boost::system::error_code &error)
{
    if (error == bhttp::error::body_limit) {
        return core::ErrorKind::BodyTooLarge;
    }
    if (error == bhttp::error::header_limit) {
        return core::ErrorKind::HeadersTooLarge;
    }
    return error == beast::error::timeout ? core::ErrorKind::SlowCaller : core::ErrorKind::BadRequest;
}

} // namespace internal

Responder::Responder(beast::tcp_stream &stream, const Request &request, std::chrono::milliseconds timeout, const std::atomic<bool> &isDraining)
    : stream_(stream)
    , timeout_(timeout)
    , isDraining_(isDraining)
    , keepAlive_(request.keep_alive())
    , isHeadRequest_(request.method() == bhttp::verb::head)
    , isChunked_(request.version() >= 11)
{
}

void Responder::setHeaders(boost::beast::http::fields &fields, const Headers &headers)
{
    for (const auto &[name, value] : headers) {
        fields.set(name, value);
    }
}

asio::awaitable<void> Responder::send(int status, const Headers &headers, const std::string &body)
{
    bhttp::response<bhttp::string_body> response(static_cast<bhttp::status>(status), 11);
    setHeaders(response, headers);
    keepAlive_ = keepAlive_ && !isDraining_;
    response.keep_alive(keepAlive_);
    response.body() = isHeadRequest_ ? std::string() : body;
    response.prepare_payload();
    if (isHeadRequest_) {
        response.content_length(body.size());
    }
    boost::system::error_code error;
    beginWrite();
    co_await bhttp::async_write(stream_, response, asio::redirect_error(asio::use_awaitable, error));
    endWrite(error);
}

void Responder::beginWrite()
{
    isStarted_ = true;
    stream_.expires_after(timeout_);
}

void Responder::endWrite(const boost::system::error_code &error)
{
    if (error) {
        isCallerGone_ = true;
        throw boost::system::system_error(error);
    }
}

asio::awaitable<void> Responder::beginChunked(int status, const Headers &headers)
{
    keepAlive_ = keepAlive_ && isChunked_ && !isDraining_;
    bhttp::response<bhttp::empty_body> response(static_cast<bhttp::status>(status), 11);
    setHeaders(response, headers);
    response.keep_alive(keepAlive_);
    response.chunked(isChunked_);
    bhttp::response_serializer<bhttp::empty_body> serializer(response);
    isUnfinished_ = true;
    setResetOnClose(!isChunked_);
    boost::system::error_code error;
    beginWrite();
    co_await bhttp::async_write_header(stream_, serializer, asio::redirect_error(asio::use_awaitable, error));
    endWrite(error);
}

asio::awaitable<void> Responder::writeChunk(const std::string &data)
{
    if (data.empty() || isHeadRequest_) {
        co_return;
    }
    boost::system::error_code error;
    beginWrite();
    if (isChunked_) {
        co_await asio::async_write(stream_, bhttp::make_chunk(asio::buffer(data)), asio::redirect_error(asio::use_awaitable, error));
    } else {
        co_await asio::async_write(stream_, asio::buffer(data), asio::redirect_error(asio::use_awaitable, error));
    }
    endWrite(error);
}

asio::awaitable<void> Responder::endChunked()
{
    if (isChunked_ && !isHeadRequest_) {
        boost::system::error_code error;
        beginWrite();
        co_await asio::async_write(stream_, bhttp::make_chunk_last(), asio::redirect_error(asio::use_awaitable, error));
        endWrite(error);
    }
    isUnfinished_ = false;
    setResetOnClose(false);
}

void Responder::setResetOnClose(bool isReset)
{
    boost::system::error_code ignored;
    stream_.socket().set_option(asio::socket_base::linger(isReset, 0), ignored);
}

/** @brief A connection; its strand runs all access but that to the members guarded by the server's lock. */
struct Server::Connection {
    Connection(asio::ip::tcp::socket socket, std::uint64_t number)
        : caller(callerOf(socket))
        , stream(std::move(socket))
        , waitTimer(stream.get_executor())
        , id(number)
    {
    }

    [[nodiscard]] static std::string callerOf(const asio::ip::tcp::socket &socket)
    {
        boost::system::error_code error;
        const auto endpoint = socket.remote_endpoint(error);
        return error ? "" : endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
    }

    const std::string caller;
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    asio::steady_timer waitTimer;
    const std::uint64_t id;
    bool isWaiting = false; /* for the first byte of a request */
    bool isResponseUnfinished = false;
    bool isUnread = false; /* to be closed without reading what the caller may have sent */

    /** @brief Returns the id of the request; gives it one if the handler did not. Under the server's lock. */
    const std::string &nameRequest()
    {
        if (requestId.empty()) {
            requestId = makeRequestId();
        }
        return requestId;
    }

    /* Guarded by the server's lock: */
    bool isRequestOpen = false;
    std::string requestId;
};

/** @brief Time limit of one read of a request; shared with the timer's handler, which may run after the read. */
struct Server::ReadTimeout {
    ReadTimeout(const asio::any_io_executor &executor, std::chrono::milliseconds limit)
        : timer(executor, limit)
    {
    }

    asio::steady_timer timer;
    bool isReading = true;
    bool isLate = false;
};

Server::Server(asio::io_context &context, const std::string &address, const ServerLimits &limits, RequestHandler handler, RefusalHandler refuse)
    : context_(context)
    , strand_(context.get_executor())
    , listener_(strand_,
                address,
                [this] {
                    return wire::Listener::Destination{asio::make_strand(context_), [this](asio::ip::tcp::socket socket) {
                                                           addConnection(std::move(socket));
                                                       }};
                })
    , limits_(limits)
    , handler_(std::move(handler))
    , refuse_(std::move(refuse))
{
    listener_.start();
}

void Server::addConnection(asio::ip::tcp::socket socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    const auto executor = socket.get_executor();
    openConnections_.add();
    std::shared_ptr<Connection> connection;
    {
        const std::lock_guard lock(mutex_);
        connection = std::make_shared<Connection>(std::move(socket), nextConnection_++);
        connections_.emplace(connection->id, connection);
    }
    asio::co_spawn(executor, serveConnection(std::move(connection)), asio::detached);
}

void Server::removeConnection(const Connection &connection)
{
    {
        const std::lock_guard lock(mutex_);
        counts_.closedUnread += connection.isUnread ? 1 : 0;
        connections_.erase(connection.id);
    }
    openConnections_.remove();
}

void Server::takeRequest(Connection &connection)
{
    const std::lock_guard lock(mutex_);
    ++counts_.taken;
    connection.isRequestOpen = true;
    connection.requestId.clear();
}

void Server::endRequest(Connection &connection, std::uint64_t RequestCounts::*outcome)
{
    const std::lock_guard lock(mutex_);
    if (std::exchange(connection.isRequestOpen, false)) {
        ++(counts_.*outcome);
    }
}

void Server::cutRequest(Connection &connection, const std::string &reason)
{
    const std::lock_guard lock(mutex_);
    countCut(connection, reason);
}

void Server::countCut(Connection &connection, const std::string &reason)
{
    if (!std::exchange(connection.isRequestOpen, false)) {
        return;
    }
    ++counts_.cut;
    telemetry::logEvent("request_cut", boost::json::object{{"request", connection.nameRequest()}, {"reason", reason}, {"caller", connection.caller}});
}

std::string Server::idOfRequest(Connection &connection)
{
    const std::lock_guard lock(mutex_);
    return connection.nameRequest();
}

void Server::cutOpenRequests()
{
    const std::lock_guard lock(mutex_);
    for (const auto &[id, connection] : connections_) {
        countCut(*connection, "the process ended before the response was complete");
    }
}

RequestCounts Server::counts() const
{
    const std::lock_guard lock(mutex_);
    return counts_;
}

asio::awaitable<void> Server::serveConnection(std::shared_ptr<Connection> connection)
{
    std::string failure;
    try {
        while (co_await serveRequest(connection)) { }
    } catch (const boost::system::system_error &) {
        endRequest(*connection, &RequestCounts::abandoned);
    } catch (const std::exception &error) {
        failure = error.what();
    } catch (...) {
        failure = "unknown exception";
    }
    if (!failure.empty()) {
        telemetry::logRateLimited("http_handler_failed", {{"reason", failure}});
        cutRequest(*connection, failure);
    }
    co_await endConnection(*connection);
    removeConnection(*connection);
}

asio::awaitable<void> Server::endConnection(Connection &connection)
{
    auto &socket = connection.stream.socket();
    boost::system::error_code ignored;
    if (connection.isUnread) {
        // A reset tells the caller that a request which it has sent meanwhile was not read.
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
    } else if (!connection.isResponseUnfinished) {
        socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        // Closing over unread bytes resets the connection, and a reset discards what is not acknowledged.
        const auto deadline = std::chrono::steady_clock::now() + internal::acknowledgementTimeout;
        while (wire::unacknowledgedBytes(socket) > 0 && !wire::isClosedByPeer(socket) && std::chrono::steady_clock::now() < deadline) {
            connection.waitTimer.expires_after(internal::acknowledgementPollInterval);
            co_await connection.waitTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
    }
    socket.close(ignored); // Without a shutdown, which would send a FIN before a reset.
}

asio::awaitable<bool> Server::awaitRequest(const std::shared_ptr<Connection> &connection)
{
    auto &socket = connection->stream.socket();
    const auto idleEnd = std::chrono::steady_clock::now() + limits_.idleTimeout;
    while (connection->buffer.size() == 0) {
        boost::system::error_code error;
        const auto count = socket.read_some(connection->buffer.prepare(internal::firstReadBytes), error);
        connection->buffer.commit(count);
        const auto now = std::chrono::steady_clock::now();
        if (!error) {
            break;
        }
        if (error != asio::error::would_block) {
            co_return false;
        }
        if (now >= idleEnd || (isClosing_ && wire::unacknowledgedBytes(socket) == 0)) {
            // A reset would discard what the caller has not acknowledged of the last response.
            connection->isUnread = wire::unacknowledgedBytes(socket) == 0;
            co_return false;
        }
        const auto nextCheck = now + internal::acknowledgementPollInterval;
        connection->waitTimer.expires_at(isClosing_ ? std::min(idleEnd, nextCheck) : idleEnd);
        connection->waitTimer.async_wait([connection](const boost::system::error_code &timerError) {
            if (!timerError && connection->isWaiting) {
                connection->stream.socket().cancel();
            }
        });
        connection->isWaiting = true;
        // Waits without reading, so that no byte is consumed before the handler that parses it runs.
        co_await socket.async_wait(asio::socket_base::wait_read, asio::redirect_error(asio::use_awaitable, error));
        connection->isWaiting = false;
        connection->waitTimer.cancel();
    }
    takeRequest(*connection);
    co_return true;
}

void Server::cancelWhenLate(const std::shared_ptr<Connection> &connection, const std::shared_ptr<ReadTimeout> &timeout)
{
    timeout->timer.async_wait([connection, timeout](const boost::system::error_code &error) {
        if (error || !timeout->isReading) {
            return;
        }
        timeout->isLate = true;
        connection->stream.cancel();
        // Once more if the read was between two operations on the socket, where there is nothing to cancel.
        timeout->timer.expires_after(internal::cancelRetryInterval);
        cancelWhenLate(connection, timeout);
    });
}

asio::awaitable<bool> Server::serveRequest(const std::shared_ptr<Connection> &connection)
{
    if (!co_await awaitRequest(connection)) {
        co_return false;
    }
    auto &stream = connection->stream;
    bhttp::request_parser<bhttp::string_body> parser;
    parser.header_limit(limits_.maxHeaderBytes);
    parser.body_limit(limits_.maxBodyBytes);
    boost::system::error_code error;
    stream.expires_never();
    // Uses a separate timer, because a timeout of the stream itself closes the socket and the caller would get no response.
    const auto timeout = std::make_shared<ReadTimeout>(stream.get_executor(), limits_.readTimeout);
    cancelWhenLate(connection, timeout);
    co_await bhttp::async_read(stream, connection->buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    timeout->isReading = false;
    timeout->timer.cancel();
    if (error == bhttp::error::end_of_stream) {
        endRequest(*connection, &RequestCounts::abandoned);
        co_return false;
    }
    if (error) {
        stream.expires_never();
        Request unreadable;
        unreadable.version(11);
        Responder responder(stream, unreadable, limits_.writeTimeout, isDraining_);
        responder.closeAfterResponse();
        const auto kind = timeout->isLate ? core::ErrorKind::SlowCaller : internal::errorKindOf(error);
        const std::string detail = timeout->isLate ? "the request was incomplete at the read timeout" : error.message();
        co_await refuse_(kind, detail, responder);
        endRequest(*connection, &RequestCounts::refused);
        co_return false;
    }
    const Request request = parser.release();
    Responder responder(stream, request, limits_.writeTimeout, isDraining_);
    responder.onRequestId([this, &connection](const std::string &id) {
        const std::lock_guard lock(mutex_);
        connection->requestId = id;
    });
    stream.expires_never();
    std::string failure;
    try {
        co_await handler_(request, responder);
    } catch (const std::exception &error) {
        failure = error.what();
    } catch (...) {
        failure = "unknown exception";
    }
    co_return co_await endResponse(*connection, responder, std::move(failure));
}

asio::awaitable<bool> Server::endResponse(Connection &connection, Responder &responder, std::string failure)
{
    connection.isResponseUnfinished = responder.isUnfinished();
    if (responder.isCallerGone()) {
        endRequest(connection, &RequestCounts::abandoned);
        co_return false;
    }
    if (failure.empty() && !responder.isStarted()) {
        failure = "no response was sent";
    }
    if (!failure.empty()) {
        const auto id = idOfRequest(connection);
        telemetry::logRateLimited("http_handler_failed", {{"request", id}, {"reason", failure}});
        if (responder.isUnfinished()) {
            cutRequest(connection, failure);
            co_return false;
        }
        responder.closeAfterResponse();
        if (!responder.isStarted()) {
            co_await sendRefusal(makeRefusal(id, core::ErrorKind::Internal, "the request's handler failed"), responder);
        }
    }
    endRequest(connection, responder.isRefused() ? &RequestCounts::refused : &RequestCounts::answered);
    co_return responder.isKeepAlive() && !responder.isUnfinished();
}

void Server::close(std::function<void()> onQuiet)
{
    openConnections_.onQuiet(std::move(onQuiet));
    std::vector<std::shared_ptr<Connection>> connections;
    {
        const std::lock_guard lock(mutex_);
        isDraining_ = true;
        isClosing_ = true;
        for (const auto &[id, connection] : connections_) {
            connections.push_back(connection);
        }
    }
    asio::post(strand_, [this] {
        listener_.close([this] {
            openConnections_.endAccepting();
        });
    });
    for (const auto &connection : connections) {
        asio::post(connection->stream.get_executor(), [connection] {
            if (connection->isWaiting) {
                connection->stream.socket().cancel();
            }
        });
    }
}

} // namespace cyclamenspool::http
