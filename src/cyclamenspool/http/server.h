#pragma once

#include <cyclamenspool/core/errorkind.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
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

/** @brief Writes the response to one request. Each write throws boost::system::system_error if the caller disconnected or the write timed out. */
class Responder
{
public:
    /**
     * @brief Creates a responder.
     * @param stream Connection; must outlive the responder.
     * @param request Request to respond to.
     * @param timeout Limit for each write.
     */
    Responder(boost::beast::tcp_stream &stream, const Request &request, std::chrono::milliseconds timeout);

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

    /** @brief Returns whether a started response has not ended, so that the connection's end must not look like the response's. */
    [[nodiscard]] bool isUnfinished() const noexcept
    {
        return isUnfinished_;
    }

private:
    void setResetOnClose(bool isReset);
    static void setHeaders(boost::beast::http::fields &fields, const Headers &headers);

    boost::beast::tcp_stream &stream_;
    std::chrono::milliseconds timeout_;
    bool keepAlive_;
    bool isHeadRequest_;
    bool isChunked_;
    bool isUnfinished_ = false; /* a response was begun and not ended */
};

/** @brief Handles a request and writes its response. */
using RequestHandler = std::function<boost::asio::awaitable<void>(const Request &, Responder &)>;

/** @brief Writes the response to a request that could not be read. Arguments: error kind, detail, responder. */
using RefusalHandler = std::function<boost::asio::awaitable<void>(core::ErrorKind, const std::string &, Responder &)>;

/** @brief HTTP/1.1 server. Requests of one connection, also pipelined ones, are handled one after the other. */
class Server
{
public:
    /**
     * @brief Binds to an address; connections are accepted once the context runs.
     * @param context Context that runs the connections, each on a strand of its own.
     * @param address IP address and port.
     * @param limits Size and time limits.
     * @param handler Called for each request.
     * @param refuse Called for a request that is malformed, too large or too slow; the connection closes after it.
     * @throws std::invalid_argument The address is malformed.
     * @throws boost::system::system_error The address cannot be bound.
     */
    Server(boost::asio::io_context &context, const std::string &address, const ServerLimits &limits, RequestHandler handler, RefusalHandler refuse);

    /** @brief Stops accepting connections; open ones close after their current response, or, if idle, after the next one or at the idle timeout. */
    void close();

    /** @brief Returns the address that connections are accepted on, with the port that the system chose if it was 0. */
    [[nodiscard]] boost::asio::ip::tcp::endpoint endpoint() const
    {
        return endpoint_;
    }

private:
    boost::asio::awaitable<void> acceptConnections();
    boost::asio::awaitable<void> serveConnection(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<bool> serveRequest(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer, bool &isResponseUnfinished);

    boost::asio::io_context &context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::tcp::endpoint endpoint_;
    ServerLimits limits_;
    RequestHandler handler_;
    RefusalHandler refuse_;
    std::atomic<bool> isClosing_{false};
};

} // namespace cyclamenspool::http
