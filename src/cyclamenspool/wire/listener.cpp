#include <cyclamenspool/wire/listener.h>

#include <cyclamenspool/telemetry/log.h>
#include <cyclamenspool/wire/endpoint.h>

#include <chrono>
#include <utility>

namespace cyclamenspool::wire {

namespace internal {

constexpr std::chrono::milliseconds acceptRetryPause{50};

} // namespace internal

Listener::Listener(const boost::asio::any_io_executor &executor, const std::string &address, std::function<Destination()> nextDestination)
    : acceptor_(executor, parseEndpoint(address))
    , endpoint_(acceptor_.local_endpoint())
    , retryTimer_(executor)
    , nextDestination_(std::move(nextDestination))
{
}

void Listener::start()
{
    if (isOpen()) {
        isPending_ = true;
        accept();
    }
}

void Listener::accept()
{
    auto destination = nextDestination_();
    acceptor_.async_accept(destination.executor,
                           [this, onConnection = std::move(destination.onConnection)](const boost::system::error_code &error, Socket socket) {
                               if (!error) {
                                   onConnection(std::move(socket));
                               }
                               onAccepted(error);
                           });
}

void Listener::onAccepted(const boost::system::error_code &error)
{
    if (!isOpen()) {
        finish();
    } else if (!error) {
        accept();
    } else {
        telemetry::logRateLimited("accept_failed", {{"reason", error.message()}});
        retryTimer_.expires_after(internal::acceptRetryPause);
        retryTimer_.async_wait([this](const boost::system::error_code &) {
            isOpen() ? accept() : finish();
        });
    }
}

void Listener::close(std::function<void()> onClosed)
{
    if (!isOpen()) {
        return;
    }
    onClosed_ = std::move(onClosed);
    boost::system::error_code error;
    acceptor_.non_blocking(true, error);
    while (!error) {
        const auto destination = nextDestination_();
        Socket socket(destination.executor);
        acceptor_.accept(socket, error);
        if (!error) {
            destination.onConnection(std::move(socket));
        }
    }
    acceptor_.close(error);
    retryTimer_.cancel();
    if (!isPending_) {
        finish();
    }
}

void Listener::finish()
{
    isPending_ = false;
    if (onClosed_) {
        std::exchange(onClosed_, nullptr)();
    }
}

} // namespace cyclamenspool::wire
