#include <cyclamenspool/http/server.h>

#include <cyclamenspool/telemetry/log.h>
#include <cyclamenspool/wire/endpoint.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace cyclamenspool::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

namespace internal {

constexpr std::size_t firstReadBytes = 4096; /* buffer of the read that waits for a request under the idle timeout */
constexpr std::chrono::milliseconds acceptRetryPause{50}; /* after a failed accept, for example without free descriptors */

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

Responder::Responder(beast::tcp_stream &stream, const Request &request, std::chrono::milliseconds timeout)
    : stream_(stream)
    , timeout_(timeout)
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
    response.keep_alive(keepAlive_);
    response.body() = isHeadRequest_ ? std::string() : body;
    response.prepare_payload();
    if (isHeadRequest_) {
        response.content_length(body.size());
    }
    stream_.expires_after(timeout_);
    co_await bhttp::async_write(stream_, response, asio::use_awaitable);
}

asio::awaitable<void> Responder::beginChunked(int status, const Headers &headers)
{
    keepAlive_ = keepAlive_ && isChunked_;
    bhttp::response<bhttp::empty_body> response(static_cast<bhttp::status>(status), 11);
    setHeaders(response, headers);
    response.keep_alive(keepAlive_);
    response.chunked(isChunked_);
    bhttp::response_serializer<bhttp::empty_body> serializer(response);
    isUnfinished_ = true;
    setResetOnClose(!isChunked_);
    stream_.expires_after(timeout_);
    co_await bhttp::async_write_header(stream_, serializer, asio::use_awaitable);
}

asio::awaitable<void> Responder::writeChunk(const std::string &data)
{
    if (data.empty() || isHeadRequest_) {
        co_return;
    }
    stream_.expires_after(timeout_);
    if (isChunked_) {
        co_await asio::async_write(stream_, bhttp::make_chunk(asio::buffer(data)), asio::use_awaitable);
    } else {
        co_await asio::async_write(stream_, asio::buffer(data), asio::use_awaitable);
    }
}

asio::awaitable<void> Responder::endChunked()
{
    if (isChunked_ && !isHeadRequest_) {
        stream_.expires_after(timeout_);
        co_await asio::async_write(stream_, bhttp::make_chunk_last(), asio::use_awaitable);
    }
    isUnfinished_ = false;
    setResetOnClose(false);
}

void Responder::setResetOnClose(bool isReset)
{
    boost::system::error_code ignored;
    stream_.socket().set_option(asio::socket_base::linger(isReset, 0), ignored);
}

Server::Server(asio::io_context &context, const std::string &address, const ServerLimits &limits, RequestHandler handler, RefusalHandler refuse)
    : context_(context)
    , acceptor_(asio::make_strand(context), wire::parseEndpoint(address))
    , endpoint_(acceptor_.local_endpoint())
    , limits_(limits)
    , handler_(std::move(handler))
    , refuse_(std::move(refuse))
{
    asio::co_spawn(acceptor_.get_executor(), acceptConnections(), asio::detached);
}

asio::awaitable<void> Server::acceptConnections()
{
    while (!isClosing_) {
        boost::system::error_code error;
        auto socket = co_await acceptor_.async_accept(asio::make_strand(context_), asio::redirect_error(asio::use_awaitable, error));
        if (error && !isClosing_) {
            telemetry::logRateLimited("accept_failed", {{"reason", error.message()}});
            asio::steady_timer pause(acceptor_.get_executor(), internal::acceptRetryPause);
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
        } else if (!error) {
            socket.set_option(asio::ip::tcp::no_delay(true), error);
            auto executor = socket.get_executor();
            asio::co_spawn(executor, serveConnection(std::move(socket)), asio::detached);
        }
    }
}

asio::awaitable<void> Server::serveConnection(asio::ip::tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    bool isResponseUnfinished = false;
    try {
        while (co_await serveRequest(stream, buffer, isResponseUnfinished)) { }
    } catch (const boost::system::system_error &) {
        // The caller has disconnected.
    } catch (const std::exception &error) {
        telemetry::logRateLimited("http_handler_failed", {{"reason", error.what()}});
    }
    boost::system::error_code ignored;
    if (isResponseUnfinished) {
        stream.socket().close(ignored); // A shutdown would send a FIN before the reset.
    } else {
        stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    }
}

asio::awaitable<bool> Server::serveRequest(beast::tcp_stream &stream, beast::flat_buffer &buffer, bool &isResponseUnfinished)
{
    bhttp::request_parser<bhttp::string_body> parser;
    parser.header_limit(limits_.maxHeaderBytes);
    parser.body_limit(limits_.maxBodyBytes);
    boost::system::error_code error;
    if (buffer.size() == 0) {
        stream.expires_after(limits_.idleTimeout);
        const auto space = buffer.prepare(internal::firstReadBytes);
        const auto count = co_await stream.async_read_some(space, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return false;
        }
        buffer.commit(count);
    }
    stream.expires_never();
    // Uses a separate timer, because a timeout of the stream itself closes the socket and the caller would get no response.
    bool isLate = false;
    asio::steady_timer timer(stream.get_executor(), limits_.readTimeout);
    timer.async_wait([&stream, &isLate](const boost::system::error_code &timerError) {
        if (!timerError) {
            isLate = true;
            stream.cancel();
        }
    });
    co_await bhttp::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    const bool isTimerPending = timer.cancel() > 0;
    // An expired timer whose handler has not run yet: lets it run while the variables that it refers to exist.
    if (!isTimerPending && !isLate) {
        co_await asio::post(stream.get_executor(), asio::use_awaitable);
    }
    if (error == bhttp::error::end_of_stream) {
        co_return false;
    }
    if (error) {
        stream.expires_never();
        Request unreadable;
        unreadable.version(11);
        Responder responder(stream, unreadable, limits_.writeTimeout);
        responder.closeAfterResponse();
        const auto kind = isLate ? core::ErrorKind::SlowCaller : internal::errorKindOf(error);
        const std::string detail = isLate ? "the request was incomplete at the read timeout" : error.message();
        co_await refuse_(kind, detail, responder);
        co_return false;
    }
    const Request request = parser.release();
    Responder responder(stream, request, limits_.writeTimeout);
    if (isClosing_) {
        responder.closeAfterResponse();
    }
    stream.expires_never();
    std::exception_ptr failure;
    try {
        co_await handler_(request, responder);
    } catch (...) {
        failure = std::current_exception();
    }
    isResponseUnfinished = responder.isUnfinished();
    if (failure) {
        std::rethrow_exception(failure);
    }
    co_return responder.isKeepAlive() && !isClosing_;
}

void Server::close()
{
    isClosing_ = true;
    asio::post(acceptor_.get_executor(), [this] {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
    });
}

} // namespace cyclamenspool::http
