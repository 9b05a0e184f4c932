#include <cyclamenspool/wire/peerpool.h>

#include <cyclamenspool/wire/endpoint.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>

namespace cyclamenspool::wire {

namespace asio = boost::asio;

namespace internal {

constexpr std::chrono::milliseconds connectTimeout{500};

} // namespace internal

PeerPool::PeerPool(asio::io_context &context, const SessionLimits &limits)
    : context_(context)
    , limits_(limits)
{
}

std::shared_ptr<ClientStream> PeerPool::submit(const std::string &address, const std::string &path, std::string message, StreamEvents events)
{
    const std::lock_guard lock(mutex_);
    auto &peer = peers_[address];
    if (peer.session != nullptr && peer.session->isOpen()) {
        return peer.session->submit(path, std::move(message), std::move(events));
    }
    auto handle = std::make_shared<ClientStream>();
    peer.waiting.push_back({path, std::move(message), std::move(events), handle});
    if (!peer.connecting) {
        peer.connecting = true;
        connect(address);
    }
    return handle;
}

void PeerPool::connect(const std::string &address)
{
    const auto endpoint = endpointOf(address);
    auto socket = std::make_shared<Session::Socket>(asio::make_strand(context_));
    auto timer = std::make_shared<asio::steady_timer>(socket->get_executor(), internal::connectTimeout);
    timer->async_wait([socket](const boost::system::error_code &error) {
        if (!error) {
            boost::system::error_code ignored;
            socket->close(ignored);
        }
    });
    socket->async_connect(endpoint, [this, address, socket, timer](const boost::system::error_code &error) {
        timer->cancel();
        if (error) {
            onFailed(address, "cannot connect to " + address + ": " + error.message());
        } else {
            onConnected(address, std::move(*socket));
        }
    });
}

void PeerPool::onConnected(const std::string &address, Session::Socket socket)
{
    const std::lock_guard lock(mutex_);
    auto &peer = peers_[address];
    peer.connecting = false;
    peer.session = Session::connectTo(std::move(socket), limits_);
    for (auto &waiting : peer.waiting) {
        peer.session->submitWith(waiting.handle, waiting.path, std::move(waiting.message), std::move(waiting.events));
    }
    peer.waiting.clear();
}

void PeerPool::onFailed(const std::string &address, const std::string &reason)
{
    std::vector<Waiting> failed;
    {
        const std::lock_guard lock(mutex_);
        auto &peer = peers_[address];
        peer.connecting = false;
        failed.swap(peer.waiting);
    }
    for (const auto &waiting : failed) {
        if (waiting.events.onEnd) {
            waiting.events.onEnd({false, false, reason});
        }
    }
}

void PeerPool::close()
{
    const std::lock_guard lock(mutex_);
    for (auto &[address, peer] : peers_) {
        if (peer.session != nullptr) {
            peer.session->close("shutting down");
        }
    }
}

} // namespace cyclamenspool::wire
