#pragma once

#include <cyclamenspool/core/errorkind.h>
#include <cyclamenspool/wire/listener.h>
#include <cyclamenspool/wire/openconnections.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenspool::http {

using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Headers = std::vector<std::pair<std::string, std::string>>;

/** @brief Size and time limits of a server. */
struct ServerLimits {
    std::size_t maxBodyBytes = 4UL * 1024 * 1024;
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::chrono::milliseconds readTimeout{10000}; /**< For receiving one complete request. */
    std::chrono::milliseconds idleTimeout{60000}; /**< For the first byte of a request on an idle connection. */
    std::chrono::milliseconds writeTimeout{10000}; /**< For each write of a response. */
};

/** @brief Numbers of requests since the start of a server; taken is the sum of the outcomes and of the open ones. */
struct RequestCounts {
    std::uint64_t taken = 0; /**< At least one byte was read. */
    std::uint64_t answered = 0; /**< A complete response was written. */
    std::uint64_t refused = 0; /**< A complete response was written, which says that the request was not run. */
    std::uint64_t abandoned = 0; /**< The caller disconnected or stopped reading before the end of the response. */
    std::uint64_t cut = 0; /**< The server ended the connection before the end of the response. */
    std::uint64_t closedUnread = 0; /**< Connections that the server reset without a request, as it closes or at the idle timeout; not part of taken. */
};

/** @brief Writes the response to one request. Each write throws boost::system::system_error if the caller disconnected or the write timed out. */
class Responder
{
public:
    /**
     * @brief Creates a responder.
     * @param stream Connection; must outlive the responder.
     * @param request Request to respond to.
     * @param timeout Limit for each write.
     * @param isDraining True from the moment at which responses announce that the connection closes; must outlive the responder.
     */
    Responder(boost::beast::tcp_stream &stream, const Request &request, std::chrono::milliseconds timeout, const std::atomic<bool> &isDraining);

    /** @brief Sets the handler that names the request. @param handler Called with the request's id. */
    void onRequestId(std::function<void(const std::string &)> handler)
    {
        onRequestId_ = std::move(handler);
    }

    /** @brief Sets the id of the request, under which the server logs it if it is cut. */
    void setRequestId(const std::string &id) const
    {
        if (onRequestId_) {
            onRequestId_(id);
        }
    }

    /** @brief Counts the request as refused, not as answered, once its response is written. */
    void markRefused() noexcept
    {
        isRefused_ = true;
    }

    /** @brief Returns whether the response says that the request was not run. */
    [[nodiscard]] bool isRefused() const noexcept
    {
        return isRefused_;
    }

    /** @brief Writes a complete response; the body is left out if the request method is HEAD. */
    boost::asio::awaitable<void> send(int status, const Headers &headers, const std::string &body);

    /** @brief Starts a chunked response. For an HTTP/1.0 caller it is sent unchunked and ends with the connection. */
    boost::asio::awaitable<void> beginChunked(int status, const Headers &headers);

    /** @brief Writes a chunk of a started response; does nothing if it is empty. */
    boost::asio::awaitable<void> writeChunk(const std::string &data);

    /** @brief Ends a chunked response. */
    boost::asio::awaitable<void> endChunked();

    /** @brief Closes the connection after this response; a chunked response that was not ended is cut off without its last chunk. */
    void closeAfterResponse() noexcept
    {
        keepAlive_ = false;
    }

    /** @brief Returns whether the connection stays open after this response. */
    [[nodiscard]] bool isKeepAlive() const noexcept
    {
        return keepAlive_;
    }

    /** @brief Returns whether a part of a response was passed to the connection. */
    [[nodiscard]] bool isStarted() const noexcept
    {
        return isStarted_;
    }

    /** @brief Returns whether a write has failed: the caller disconnected or the write timed out. */
    [[nodiscard]] bool isCallerGone() const noexcept
    {
        return isCallerGone_;
    }

    /** @brief Returns whether a started response has not ended, so that the connection's end must not look like the response's. */
    [[nodiscard]] bool isUnfinished() const noexcept
    {
        return isUnfinished_;
    }

private:
    void beginWrite();
    void endWrite(const boost::system::error_code &error);
    void setResetOnClose(bool isReset);
    static void setHeaders(boost::beast::http::fields &fields, const Headers &headers);

    boost::beast::tcp_stream &stream_;
    std::chrono::milliseconds timeout_;
    const std::atomic<bool> &isDraining_;
    std::function<void(const std::string &)> onRequestId_;
    bool keepAlive_;
    bool isHeadRequest_;
    bool isChunked_;
    bool isStarted_ = false;
    bool isCallerGone_ = false;
    bool isUnfinished_ = false; /* a response was begun and not ended */
    bool isRefused_ = false;
};

/** @brief Handles a request and writes its response. */
using RequestHandler = std::function<boost::asio::awaitable<void>(const Request &, Responder &)>;

/** @brief Writes the response to a request that could not be read. Arguments: error kind, detail, responder. */
using RefusalHandler = std::function<boost::asio::awaitable<void>(core::ErrorKind, const std::string &, Responder &)>;

/**
 * @brief HTTP/1.1 server. Requests of one connection, also pipelined ones, are handled one after the other.
 *
 * The server owns the count of what is owed to callers: a connection is counted from its acceptance until its last response is acknowledged, a request
 * from its first byte read. A byte is read only by the handler that parses it. Thread safe.
 */
class Server
{
public:
    /**
     * @brief Binds to an address; connections are accepted once the context runs.
     * @param context Context that runs the connections, each on a strand of its own.
     * @param address IP address and port.
     * @param limits Size and time limits.
     * @param handler Called for each request. If it sends no response, for example because it throws, the caller gets status 500.
     * @param refuse Called for a request that is malformed, too large or too slow; the connection closes after it.
     * @throws std::invalid_argument The address is malformed.
     * @throws boost::system::system_error The address cannot be bound.
     */
    Server(boost::asio::io_context &context, const std::string &address, const ServerLimits &limits, RequestHandler handler, RefusalHandler refuse);

    /** @brief Announces in each response whose head is not written yet that its connection closes; goes on to accept connections and requests. */
    void announceClose() noexcept
    {
        isDraining_ = true;
    }

    /**
     * @brief Accepts the connections that the kernel has completed, then stops accepting; serves the requests of which a byte has arrived, and closes the
     * connections without one unread, with a reset.
     * @param onQuiet Called once, on any thread, when every connection has ended; may be empty.
     */
    void close(std::function<void()> onQuiet = nullptr);

    /** @brief Counts the open requests as cut, with a log line for each; to be called before the process ends without waiting for them. */
    void cutOpenRequests();

    /** @brief Returns the numbers of requests. */
    [[nodiscard]] RequestCounts counts() const;

    /** @brief Returns the address that connections are accepted on, with the port that the system chose if it was 0. */
    [[nodiscard]] boost::asio::ip::tcp::endpoint endpoint() const
    {
        return listener_.endpoint();
    }

private:
    struct Connection;
    struct ReadTimeout;

    void addConnection(boost::asio::ip::tcp::socket socket);
    void removeConnection(const Connection &connection); /* once it is closed */
    boost::asio::awaitable<void> serveConnection(std::shared_ptr<Connection> connection);
    boost::asio::awaitable<bool> awaitRequest(const std::shared_ptr<Connection> &connection);
    static void cancelWhenLate(const std::shared_ptr<Connection> &connection, const std::shared_ptr<ReadTimeout> &timeout);
    boost::asio::awaitable<bool> serveRequest(const std::shared_ptr<Connection> &connection);
    boost::asio::awaitable<bool> endResponse(Connection &connection, Responder &responder, std::string failure);
    boost::asio::awaitable<void> endConnection(Connection &connection);
    void takeRequest(Connection &connection);
    void endRequest(Connection &connection, std::uint64_t RequestCounts::*outcome);
    void cutRequest(Connection &connection, const std::string &reason);
    [[nodiscard]] std::string idOfRequest(Connection &connection);
    void countCut(Connection &connection, const std::string &reason); /* under the lock */

    boost::asio::io_context &context_;
    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
    wire::Listener listener_; /* on the strand */
    ServerLimits limits_;
    RequestHandler handler_;
    RefusalHandler refuse_;
    std::atomic<bool> isDraining_{false};
    std::atomic<bool> isClosing_{false};
    wire::OpenConnections openConnections_;
    mutable std::mutex mutex_; /* guards the members below and the request of each connection; no other lock but the log's is taken while it is held */
    std::map<std::uint64_t, std::shared_ptr<Connection>> connections_;
    std::uint64_t nextConnection_ = 1;
    RequestCounts counts_;
};

} // namespace cyclamenspool::http
