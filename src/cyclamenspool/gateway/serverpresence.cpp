#include <cyclamenspool/gateway/serverpresence.h>

#include <cyclamenspool/gateway/backendconnectionpool.h>
#include <cyclamenspool/wire/endpoint.h>
#include <cyclamenspool/wire/socketstate.h>

#include <boost/asio/buffer.hpp>

#include <chrono>
#include <utility>

namespace cyclamenspool::gateway {

namespace internal {

constexpr std::chrono::milliseconds settleTime{50}; /* for the kernel to close the sockets of a killed process on a busy VM */

} // namespace internal

ServerPresence::ServerPresence(boost::asio::io_context &context, Callback callback)
    : socket_(context)
    , timer_(context)
    , callback_(std::move(callback))
{
}

void ServerPresence::start(const std::string &address)
{
    connect(wire::parseEndpoint(address), &ServerPresence::watchConnection);
}

void ServerPresence::connect(const boost::asio::ip::tcp::endpoint &endpoint, void (ServerPresence::*onConnected)())
{
    auto self = shared_from_this();
    timer_.expires_after(backendConnectTimeout);
    timer_.async_wait([self](const boost::system::error_code &error) {
        if (!error) {
            self->finish(false);
        }
    });
    socket_.async_connect(endpoint, [self, endpoint, onConnected](const boost::system::error_code &error) {
        if (error) {
            self->finish(false);
        } else if (self->callback_) {
            self->endpoint_ = endpoint;
            (*self.*onConnected)();
        }
    });
}

void ServerPresence::watchConnection()
{
    auto self = shared_from_this();
    timer_.expires_after(internal::settleTime);
    timer_.async_wait([self](const boost::system::error_code &error) {
        // A late event loop can find the connection ended and the time over at once; the read tells then.
        if (!error && wire::isQuiet(self->socket_)) {
            self->finish(true);
        }
    });
    socket_.async_read_some(boost::asio::buffer(&byte_, 1), [self](const boost::system::error_code &error, std::size_t) {
        if (!self->callback_) {
            return;
        }
        if (!error) {
            self->finish(true);
            return;
        }
        // A server at its limit of connections ends this one too, but still accepts the next.
        boost::system::error_code ignored;
        self->socket_.close(ignored);
        self->connect(self->endpoint_, &ServerPresence::confirm);
    });
}

void ServerPresence::confirm()
{
    finish(true);
}

void ServerPresence::finish(bool isPresent)
{
    const auto callback = std::exchange(callback_, nullptr);
    cancel();
    if (callback) {
        callback(isPresent);
    }
}

void ServerPresence::cancel()
{
    callback_ = nullptr;
    timer_.cancel();
    boost::system::error_code ignored;
    socket_.close(ignored);
}

} // namespace cyclamenspool::gateway
