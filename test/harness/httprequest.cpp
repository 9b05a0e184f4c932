#include "httprequest.h"

#include <cyclamenspool/http/client.h>
#include <cyclamenspool/wire/endpoint.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace cyclamenspool::harness {

namespace asio = boost::asio;

std::string HttpResponse::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
}

http::ClientRequest toClientRequest(const HttpRequest &request)
{
    http::ClientRequest converted;
    converted.address = request.address;
    converted.method = request.method;
    converted.target = request.target;
    converted.headers = request.headers;
    converted.body = request.body;
    converted.timeout = request.timeout;
    converted.acceptsUnframed = true;
    return converted;
}

HttpResponse sendRequest(const HttpRequest &request)
{
    HttpResponse response;
    asio::io_context context(1);
    http::ClientCallbacks events;
    events.onResponseHead = [&response](const http::ClientResponseHead &head) {
        response.status = head.status;
        response.headers = head.headers;
    };
    events.onResponseData = [&response, &request](const std::string &data) {
        if (response.body.empty() && request.onFirstByte) {
            request.onFirstByte(std::chrono::steady_clock::now());
        }
        response.body += data;
    };
    asio::co_spawn(context, http::streamResponse(toClientRequest(request), events), [&response](const std::exception_ptr &error) {
        response.isComplete = error == nullptr;
    });
    context.run_for(request.timeout);
    return response;
}

std::string exchangeRaw(const std::string &address, const std::string &bytes, bool halfClose, std::chrono::milliseconds timeout)
{
    asio::io_context context(1);
    asio::ip::tcp::socket socket(context);
    socket.connect(wire::parseEndpoint(address));
    boost::system::error_code ignored;
    asio::write(socket, asio::buffer(bytes), ignored);
    if (halfClose) {
        socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    }
    std::string received;
    asio::async_read(socket, asio::dynamic_buffer(received), [](const boost::system::error_code &, std::size_t) {});
    context.run_for(timeout);
    return received;
}

} // namespace cyclamenspool::harness
