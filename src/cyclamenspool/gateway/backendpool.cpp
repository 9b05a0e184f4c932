#include <cyclamenspool/gateway/backendpool.h>

#include <algorithm>

namespace cyclamenspool::gateway {

namespace internal {

constexpr std::chrono::milliseconds sweepPeriod{1000};
constexpr std::size_t idlePerServer = 32;

/** @brief Tells whether a connection is open and silent. */
bool isQuiet(boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code error;
    socket.non_blocking(true, error);
    if (error) {
        return false;
    }
    char byte = 0;
    socket.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, error);
    return error == boost::asio::error::would_block;
}

} // namespace internal

BackendPool::BackendPool(boost::asio::io_context &context)
    : context_(context)
    , sweepTimer_(context)
{
    sweep();
}

std::optional<BackendPool::Socket> BackendPool::take(const std::string &server, std::chrono::milliseconds longestIdle)
{
    const auto found = idle_.find(server);
    if (found == idle_.end()) {
        return std::nullopt;
    }
    const auto now = std::chrono::steady_clock::now();
    auto &connections = found->second;
    while (!connections.empty()) {
        const bool isFresh = connections.back().until > now && connections.back().since + longestIdle > now;
        if (!isFresh) {
            return std::nullopt;
        }
        auto socket = std::move(connections.back().socket);
        connections.pop_back();
        if (internal::isQuiet(socket)) {
            return socket;
        }
    }
    return std::nullopt;
}

void BackendPool::keep(const std::string &server, Socket socket, std::chrono::milliseconds idleTimeout)
{
    const auto now = std::chrono::steady_clock::now();
    auto &connections = idle_[server];
    if (connections.size() < internal::idlePerServer) {
        connections.push_back({std::move(socket), now, now + idleTimeout});
    }
}

void BackendPool::sweep()
{
    const auto now = std::chrono::steady_clock::now();
    for (auto server = idle_.begin(); server != idle_.end();) {
        auto &connections = server->second;
        const auto isOver = [now](Idle &idle) {
            return idle.until <= now || !internal::isQuiet(idle.socket);
        };
        connections.erase(std::remove_if(connections.begin(), connections.end(), isOver), connections.end());
        server = connections.empty() ? idle_.erase(server) : std::next(server);
    }
    sweepTimer_.expires_after(internal::sweepPeriod);
    sweepTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            sweep();
        }
    });
}

} // namespace cyclamenspool::gateway
