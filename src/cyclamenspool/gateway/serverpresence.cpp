#include <cyclamenspool/gateway/serverpresence.h>

#include <cyclamenspool/gateway/backendconnectionpool.h>
#include <cyclamenspool/wire/endpoint.h>

#include <chrono>
#include <utility>

namespace cyclamenspool::gateway {

ServerPresence::ServerPresence(boost::asio::io_context &context, Callback callback)
    : socket_(context)
    , timer_(context)
    , callback_(std::move(callback))
{
}

void ServerPresence::start(const std::string &address)
{
    auto self = shared_from_this();
    timer_.expires_after(backendConnectTimeout);
    timer_.async_wait([self](const boost::system::error_code &error) {
        if (!error) {
            self->finish(false);
        }
    });
    socket_.async_connect(wire::parseEndpoint(address), [self](const boost::system::error_code &error) {
        self->finish(!error);
    });
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
