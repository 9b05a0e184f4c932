#include "earlyanswer.h"

#include "ports.h"

#include <cyclamenspool/wire/endpoint.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace cyclamenspool::harness {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

constexpr int smallBufferBytes = 16 * 1024; /* so that the peer is still writing the body when the connection is reset */

std::string requestIdIn(const std::string &head)
{
    const std::string name = "Cyclamenspool-Request-Id: ";
    const auto begin = head.find(name);
    return begin == std::string::npos ? "" : head.substr(begin + name.size(), head.find('\r', begin) - begin - name.size());
}

} // namespace

EarlyAnswerServer::EarlyAnswerServer(EarlyAnswer answer)
    : answer_(std::move(answer))
    , address_(findFreeAddress())
    , acceptor_(context_, wire::parseEndpoint(address_))
{
    acceptor_.set_option(asio::socket_base::receive_buffer_size(smallBufferBytes));
    thread_ = std::thread([this] {
        listen();
    });
}

EarlyAnswerServer::~EarlyAnswerServer()
{
    isStopping_ = true;
    boost::system::error_code ignored;
    Tcp::socket(context_).connect(wire::parseEndpoint(address_), ignored);
    thread_.join();
}

void EarlyAnswerServer::listen()
{
    while (!isStopping_) {
        boost::system::error_code error;
        auto socket = acceptor_.accept(error);
        if (!error && !isStopping_) {
            serve(socket);
        }
    }
}

void EarlyAnswerServer::serve(Tcp::socket &socket) const
{
    std::string head;
    boost::system::error_code error;
    while (!error && head.find("\r\n\r\n") == std::string::npos) {
        char byte = 0;
        socket.read_some(asio::buffer(&byte, 1), error);
        head += byte;
    }
    const auto bytes = "HTTP/1.1 " + answer_.status + "\r\nCyclamenspool-Request-Id: " + requestIdIn(head) + "\r\nCyclamenspool-Response-Seal: seal\r\n"
        + answer_.fields + "\r\n" + answer_.body;
    if (!error) {
        asio::write(socket, asio::buffer(bytes), error);
    }
    std::this_thread::sleep_for(answer_.resetAfter);
    socket.set_option(asio::socket_base::linger(true, 0), error);
}

} // namespace cyclamenspool::harness
