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

/** @brief Bounds of a server. */
struct ServerLimits {
    std::size_t bodyBytes = 4UL * 1024 * 1024;
    std::uint32_t headerBytes = 16 * 1024;
    std::chrono::milliseconds readTimeout{10000}; /**< For one request to arrive. */
    std::chrono::milliseconds idleTimeout{60000}; /**< Between two requests of a connection. */
    std::chrono::milliseconds writeTimeout{10000}; /**< For the caller to take a part of an answer. */
};

/** @brief Writes one answer. Every function throws boost::system::system_error when the caller is gone. */
class Responder
{
public:
    /** @brief Creates a responder. @param stream Connection. @param request Request that is answered. @param timeout Longest wait for a write. */
    Responder(boost::beast::tcp_stream &stream, const Request &request, std::chrono::milliseconds timeout);

    /** @brief Writes a whole answer. @param status Status. @param headers Headers. @param body Body. @return Completion. */
    boost::asio::awaitable<void> send(int status, const Headers &headers, const std::string &body);

    /** @brief Starts a chunked answer. @param status Status. @param headers Headers. @return Completion. */
    boost::asio::awaitable<void> begin(int status, const Headers &headers);

    /** @brief Writes a part of a chunked answer. @param data Bytes. @return Completion. */
    boost::asio::awaitable<void> chunk(const std::string &data);

    /** @brief Ends a chunked answer. @return Completion. */
    boost::asio::awaitable<void> end();

    /** @brief Makes the connection close after this answer, without the end mark if the answer is chunked and not ended. */
    void closeAfter() noexcept
    {
        keepAlive_ = false;
    }

    /** @brief Tells whether the connection stays open. @return True if so. */
    [[nodiscard]] bool keepsAlive() const noexcept
    {
        return keepAlive_;
    }

private:
    static void fill(boost::beast::http::fields &fields, const Headers &headers);

    boost::beast::tcp_stream &stream_;
    std::chrono::milliseconds timeout_;
    bool keepAlive_;
    bool isHead_;
    bool chunked_;
};

/** @brief Answers one request. */
using Handler = std::function<boost::asio::awaitable<void>(const Request &, Responder &)>;

/** @brief Writes the answer to a request that could not be read. Arguments: kind, detail, responder. */
using RefusalHandler = std::function<boost::asio::awaitable<void>(core::ErrorKind, const std::string &, Responder &)>;

/** @brief HTTP/1.1 server; requests of one connection are answered one after the other, pipelined ones included. */
class Server
{
public:
    /**
     * @brief Binds to an address.
     * @param context Context of the sockets.
     * @param address IP number and port.
     * @param limits Bounds.
     * @param handler Request handler.
     * @param refuse Refusal handler.
     * @throws boost::system::system_error If the address cannot be bound.
     */
    Server(boost::asio::io_context &context, const std::string &address, const ServerLimits &limits, Handler handler, RefusalHandler refuse);

    /** @brief Stops accepting; connections close after the answer under way. */
    void close();

private:
    boost::asio::awaitable<void> listen();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<bool> serveOne(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer);

    boost::asio::io_context &context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    ServerLimits limits_;
    Handler handler_;
    RefusalHandler refuse_;
    std::atomic<bool> closing_{false};
};

} // namespace cyclamenspool::http
