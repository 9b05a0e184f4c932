#include "httpcall.h"

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

std::string Answer::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
}

http::ClientRequest clientRequest(const Call &call)
{
    http::ClientRequest request;
    request.address = call.address;
    request.method = call.method;
    request.target = call.target;
    request.headers = call.headers;
    request.body = call.body;
    request.timeout = call.timeout;
    return request;
}

Answer run(const Call &call)
{
    Answer answer;
    asio::io_context context(1);
    http::ClientEvents events;
    events.onHead = [&answer](const http::ClientHead &head) {
        answer.status = head.status;
        answer.headers = head.headers;
    };
    events.onData = [&answer, &call](const std::string &data) {
        if (answer.body.empty() && call.onFirstByte) {
            call.onFirstByte(std::chrono::steady_clock::now());
        }
        answer.body += data;
    };
    asio::co_spawn(context, http::stream(clientRequest(call), events), [&answer](const std::exception_ptr &error) {
        answer.whole = error == nullptr;
    });
    context.run_for(call.timeout);
    return answer;
}

std::string exchangeRaw(const std::string &address, const std::string &bytes, bool halfClose, std::chrono::milliseconds timeout)
{
    asio::io_context context(1);
    asio::ip::tcp::socket socket(context);
    socket.connect(wire::endpointOf(address));
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
