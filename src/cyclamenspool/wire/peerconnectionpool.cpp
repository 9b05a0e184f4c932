#include <cyclamenspool/wire/peerconnectionpool.h>

#include <cyclamenspool/wire/endpoint.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>

namespace cyclamenspool::wire {

namespace asio = boost::asio;

namespace internal {

constexpr std::chrono::milliseconds connectTimeout{500};

} // namespace internal

PeerConnectionPool::PeerConnectionPool(asio::io_context &context, const SessionLimits &limits)
    : context_(context)
    , limits_(limits)
{
}

std::shared_ptr<ClientStream> PeerConnectionPool::submit(const std::string &address, const std::string &path, std::string message, StreamCallbacks callbacks)
{
    const auto endpoint = parseEndpoint(address); /* before any state changes: it throws if the address is malformed */
    const std::lock_guard lock(mutex_);
    auto &peer = peers_[address];
    if (peer.session != nullptr && peer.session->isOpen()) {
        return peer.session->submit(path, std::move(message), std::move(callbacks));
    }
    auto handle = std::make_shared<ClientStream>();
    peer.pending.push_back({path, std::move(message), std::move(callbacks), handle});
    if (!peer.connecting) {
        peer.connecting = true;
        connect(address, endpoint);
    }
    return handle;
}

void PeerConnectionPool::connect(const std::string &address, const asio::ip::tcp::endpoint &endpoint)
{
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
            onConnectFailed(address, "cannot connect to " + address + ": " + error.message());
        } else {
            onConnected(address, std::move(*socket));
        }
    });
}

void PeerConnectionPool::onConnected(const std::string &address, Session::Socket socket)
{
    const std::lock_guard lock(mutex_);
    auto &peer = peers_[address];
    peer.connecting = false;
    peer.session = Session::startClient(std::move(socket), limits_);
    for (auto &pending : peer.pending) {
        peer.session->submitWithHandle(pending.handle, pending.path, std::move(pending.message), std::move(pending.callbacks));
    }
    peer.pending.clear();
}

void PeerConnectionPool::onConnectFailed(const std::string &address, const std::string &reason)
{
    std::vector<PendingRequest> unsent;
    {
        const std::lock_guard lock(mutex_);
        auto &peer = peers_[address];
        peer.connecting = false;
        unsent.swap(peer.pending);
    }
    for (const auto &pending : unsent) {
        if (pending.callbacks.onEnd) {
            pending.callbacks.onEnd({false, false, reason});
        }
    }
}

bool PeerConnectionPool::isConnecting(const std::string &address) const
{
    const std::lock_guard lock(mutex_);
    const auto found = peers_.find(address);
    return found != peers_.end() && found->second.connecting;
}

void PeerConnectionPool::close()
{
    const std::lock_guard lock(mutex_);
    for (auto &[address, peer] : peers_) {
        if (peer.session != nullptr) {
            peer.session->close("this process is shutting down");
        }
    }
}

} // namespace cyclamenspool::wire
