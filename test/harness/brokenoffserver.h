#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace cyclamenspool::harness {

/** @brief How a server ends a connection after the bytes that it sends. */
enum class BreakOff : int {
    Fin,
    Reset, /**< After the peer has read all bytes that were sent. */
};

/** @brief A complete response as bytes, and what its reader must make of it. */
struct WireResponse {
    std::string name;
    std::string head; /**< Interim responses, status line, headers and blank line. */
    std::string body; /**< Bytes on the wire. */
    std::string content; /**< Body without chunk framing. */
    bool isUnframed = false; /**< The end of the connection ends the body. */
    unsigned status = 200;

    /** @brief Returns the bytes on the wire. */
    [[nodiscard]] std::string bytes() const
    {
        return head + body;
    }

    /** @brief Returns whether its first bytes, ended so, are a complete response. @param sentBytes Bytes sent. @param end End of the connection. */
    [[nodiscard]] bool isComplete(std::size_t sentBytes, BreakOff end) const;
};

/** @brief Returns successful responses to the request "r1" in each framing: length, empty, chunks, chunks with extension and trailer, none, after an interim
 * response, and without a body by its status. */
[[nodiscard]] std::vector<WireResponse> wireResponses();

/** @brief Returns responses to the request "r1" that would be complete but for one fault in the head: a status that is none, a folded line, a name with a blank
 * or a control byte. */
[[nodiscard]] std::vector<std::string> invalidResponses();

/** @brief Connection on which a server sends the first bytes of a response and breaks off. */
struct BrokenOffConnection {
    std::string earlierResponse; /**< Complete response to an earlier request on the connection; empty: the request is the first. */
    std::string bytes; /**< What the server sends in response to the request. */
    BreakOff end = BreakOff::Fin;
    bool isBytewise = false; /**< Each byte is sent by itself. */
};

/**
 * @brief Server on loopback that accepts one connection at a time and breaks off its response; requests have no body.
 *
 * It runs on the context of the reader under test, which therefore reads whatever was sent before the end of the connection.
 */
class BrokenOffServer
{
public:
    /** @brief Listens on a free port. @param context Context of the reader. */
    explicit BrokenOffServer(boost::asio::io_context &context);

    /** @brief Starts to wait for a connection. @param connection What is sent on it. */
    void serve(BrokenOffConnection connection);

    /** @brief Returns whether the connection is closed. */
    [[nodiscard]] bool isClosed() const noexcept
    {
        return isClosed_;
    }

    /** @brief Returns the number of requests received since serve(). */
    [[nodiscard]] int requestCount() const noexcept
    {
        return requestCount_;
    }

    /** @brief Returns the IP address and port. */
    [[nodiscard]] std::string address() const;

private:
    boost::asio::awaitable<void> run(BrokenOffConnection connection);
    boost::asio::awaitable<void> readRequest(boost::asio::ip::tcp::socket &socket);

    boost::asio::io_context &context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    bool isClosed_ = false;
    int requestCount_ = 0;
};

} // namespace cyclamenspool::harness
