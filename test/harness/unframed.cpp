#include "unframed.h"

#include "eventstream.h"

#include <cyclamenspool/wire/endpoint.h>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <thread>

namespace cyclamenspool::harness {

namespace bhttp = boost::beast::http;

bool sendUnframed(const PlainRequest &request, PlainSocket &socket, const std::string &body, std::size_t bodyBytes, ConnectionEnd end)
{
    const std::string id(request["Cyclamenspool-Request-Id"]);
    const std::string type = request.target().find("/stream") == 0 || request.target().find("/resumed") == 0 ? "text/event-stream" : "text/plain";
    writeAll(socket,
             "HTTP/1.1 200 OK\r\nContent-Type: " + type + "\r\nCyclamenspool-Response-Seal: seal\r\nCyclamenspool-Request-Id: " + id + "\r\n\r\n"
                 + body.substr(0, bodyBytes));
    if (end == ConnectionEnd::Fin) {
        return false;
    }
    // A reset discards bytes that the peer has not read yet.
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    return resetConnection(socket);
}

SeenResponse callWithVersion(const std::string &address, const std::string &path, const std::string &id, unsigned version)
{
    boost::asio::io_context context(1);
    PlainSocket socket(context);
    socket.connect(wire::parseEndpoint(address));
    const std::string http = version == 10 ? "HTTP/1.0" : "HTTP/1.1";
    writeAll(socket,
             "POST " + path + " " + http + "\r\nHost: desk.example\r\nAuthorization: Bearer key-1\r\nCyclamenspool-Request-Id: " + id
                 + "\r\nCyclamenspool-Deadline-Ms: 2500\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    boost::beast::flat_buffer buffer;
    bhttp::response_parser<bhttp::string_body> parser;
    boost::system::error_code error;
    bhttp::read(socket, buffer, parser, error);
    SeenResponse seen;
    seen.status = parser.is_header_done() ? parser.get().result_int() : 0;
    seen.body = parser.get().body();
    seen.isComplete = !error && parser.is_done();
    return seen;
}

} // namespace cyclamenspool::harness
