#include <cyclamenspool/gateway/backendconnectionpool.h>

#include <cyclamenspool/wire/socketstate.h>

#include <algorithm>

namespace cyclamenspool::gateway {

namespace internal {

constexpr std::chrono::milliseconds evictionPeriod{1000};
constexpr std::size_t maxIdlePerServer = 32;

} // namespace internal

BackendConnectionPool::BackendConnectionPool(boost::asio::io_context &context)
    : context_(context)
    , evictionTimer_(context)
{
    evictExpired();
}

std::optional<BackendConnectionPool::Socket> BackendConnectionPool::acquire(const std::string &serverId, std::chrono::milliseconds maxIdleTime)
{
    const auto found = connections_.find(serverId);
    if (found == connections_.end()) {
        return std::nullopt;
    }
    const auto now = std::chrono::steady_clock::now();
    auto &connections = found->second;
    while (!connections.empty()) {
        const bool isWithinLimits = connections.back().reusableUntil > now && connections.back().idleSince + maxIdleTime > now;
        if (!isWithinLimits) {
            return std::nullopt;
        }
        auto socket = std::move(connections.back().socket);
        connections.pop_back();
        if (wire::isQuiet(socket)) {
            return socket;
        }
    }
    return std::nullopt;
}

void BackendConnectionPool::release(const std::string &serverId, Socket socket, std::chrono::milliseconds idleTimeout)
{
    const auto now = std::chrono::steady_clock::now();
    auto &connections = connections_[serverId];
    if (connections.size() < internal::maxIdlePerServer) {
        connections.push_back({std::move(socket), now, now + idleTimeout});
    }
}

void BackendConnectionPool::evictExpired()
{
    const auto now = std::chrono::steady_clock::now();
    for (auto server = connections_.begin(); server != connections_.end();) {
        auto &connections = server->second;
        const auto isExpired = [now](IdleConnection &connection) {
            return connection.reusableUntil <= now || !wire::isQuiet(connection.socket);
        };
        connections.erase(std::remove_if(connections.begin(), connections.end(), isExpired), connections.end());
        server = connections.empty() ? connections_.erase(server) : std::next(server);
    }
    evictionTimer_.expires_after(internal::evictionPeriod);
    evictionTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            evictExpired();
        }
    });
}

} // namespace cyclamenspool::gateway
