#include "brokenoffserver.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <chrono>

namespace cyclamenspool::harness {

namespace asio = boost::asio;
using asio::ip::tcp;

bool WireResponse::isComplete(std::size_t sentBytes, BreakOff end) const
{
    if (isUnframed) {
        return end == BreakOff::Fin && sentBytes >= head.size();
    }
    return sentBytes == head.size() + body.size();
}

std::vector<WireResponse> wireResponses()
{
    // The digest comes before the length: a head that is cut after a complete line is a valid but shorter set of fields.
    const std::string fields = "Content-Type: text/plain\r\nCyclamenspool-Response-Seal: seal\r\nCyclamenspool-Request-Id: r1\r\n";
    const std::string start = "HTTP/1.1 200 OK\r\n" + fields;
    const std::string content = "the whole body of a response in 42 letters";
    const std::string length = "Content-Length: 42\r\n\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    return {
        {"length", start + length, content, content},
        {"length of zero", start + "Content-Length: 0\r\n\r\n", "", ""},
        {"chunks", start + chunked, "a\r\nten letter\r\n1\r\ns\r\n0\r\n\r\n", "ten letters"},
        {"chunks with an extension and a trailer", start + chunked, "A;name=\"x\"\r\nten letter\r\n1\r\ns\r\n0;last=1\r\nX-Trailer: t\r\n\r\n", "ten letters"},
        {"no length", start + "\r\n", content, content, true},
        {"interim response before a length", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + start + length, content, content},
        {"no content", "HTTP/1.1 204 No Content\r\n" + fields + "\r\n", "", "", false, 204},
        {"not modified", "HTTP/1.1 304 Not Modified\r\n" + fields + length, "", "", false, 304},
    };
}

std::vector<std::string> invalidResponses()
{
    using namespace std::string_literals;
    const std::string identity = "Cyclamenspool-Request-Id: r1\r\nCyclamenspool-Response-Seal: s\r\n";
    const std::string length = "Content-Length: 2\r\n";
    const std::string end = "\r\nok";
    std::vector<std::string> responses;
    for (const std::string status : {"000", "001", "099", "101", "600", "999"}) {
        responses.push_back("HTTP/1.1 " + status + " OK\r\n" + identity + length + end);
    }
    const std::string statusLine = "HTTP/1.1 200 OK\r\n";
    for (const std::string &blank : {" "s, "\t"s, "  \t"s}) {
        responses.push_back(statusLine + identity + blank + length + end);
        responses.push_back(statusLine + identity + length + blank + "folded\r\n" + end);
        responses.push_back(statusLine + identity + blank + "\r\n" + length + end);
        responses.push_back(statusLine + identity + blank + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
        responses.push_back(statusLine + blank + "X-Note: 1\r\n" + identity + length + end);
    }
    for (const std::string &byte : {" "s, "\t"s, "\0"s, "\x01"s, "\x0b"s, "\x1f"s, "\x7f"s}) {
        for (const std::string &name : {byte + "X-Note", "X-" + byte + "Note", "X-Note" + byte}) {
            responses.push_back(statusLine + name + ": 1\r\n" + identity + length + end);
            responses.push_back(statusLine + identity + length + name + ": 1\r\n" + end);
        }
    }
    return responses;
}

BrokenOffServer::BrokenOffServer(asio::io_context &context)
    : context_(context)
    , acceptor_(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
{
}

std::string BrokenOffServer::address() const
{
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void BrokenOffServer::serve(BrokenOffConnection connection)
{
    isClosed_ = false;
    requestCount_ = 0;
    asio::co_spawn(context_, run(std::move(connection)), asio::detached);
}

asio::awaitable<void> BrokenOffServer::readRequest(tcp::socket &socket)
{
    std::string request;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", asio::use_awaitable);
    ++requestCount_;
}

asio::awaitable<void> BrokenOffServer::run(BrokenOffConnection connection)
{
    tcp::socket socket = co_await acceptor_.async_accept(asio::use_awaitable);
    socket.set_option(tcp::no_delay(true));
    boost::system::error_code ignored;
    if (!connection.earlierResponse.empty()) {
        co_await readRequest(socket);
        co_await asio::async_write(socket, asio::buffer(connection.earlierResponse), asio::use_awaitable);
    }
    co_await readRequest(socket);
    const auto step = connection.isBytewise ? std::size_t{1} : connection.bytes.size();
    boost::system::error_code closed; /* the reader has closed the connection */
    for (std::size_t sent = 0; sent < connection.bytes.size() && !closed; sent += step) {
        co_await asio::async_write(socket, asio::buffer(connection.bytes.data() + sent, step), asio::redirect_error(asio::use_awaitable, closed));
        if (!closed) {
            // Lets the reader read these bytes by themselves.
            co_await asio::post(context_, asio::use_awaitable);
        }
    }
    if (connection.end == BreakOff::Reset) {
        // A reset discards bytes that the peer has not read yet.
        asio::steady_timer pause(context_, std::chrono::milliseconds(1));
        co_await pause.async_wait(asio::use_awaitable);
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    socket.close(ignored);
    isClosed_ = true;
}

} // namespace cyclamenspool::harness
