#pragma once

#include <cyclamenspool/core/now.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenspool::gateway {

/** @brief Time limit of a connect to a backend server: several round trips between availability zones. */
inline constexpr std::chrono::milliseconds backendConnectTimeout{200};

/**
 * @brief Keeps one worker's idle connections to backend servers for reuse. Not thread safe.
 *
 * Expired connections, and those that the backend server has closed, are evicted every second.
 */
class BackendConnectionPool
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    /** @brief Creates an empty pool and starts the eviction timer. @param context Context of the worker. */
    explicit BackendConnectionPool(boost::asio::io_context &context);

    /**
     * @brief Removes and returns the most recently used connection that is still open.
     * @param serverId Id of the backend server.
     * @param maxIdleTime Connections that were idle for longer are not used.
     * @return Connection; empty if there is none.
     */
    [[nodiscard]] std::optional<Socket> acquire(const std::string &serverId, std::chrono::milliseconds maxIdleTime);

    /**
     * @brief Adds a connection; it is closed instead if the pool already holds 32 of this backend server.
     * @param serverId Id of the backend server.
     * @param socket Connection without a request.
     * @param idleTimeout Time after which it must not be reused.
     */
    void release(const std::string &serverId, Socket socket, std::chrono::milliseconds idleTimeout);

    /** @brief Returns the worker's context. */
    [[nodiscard]] boost::asio::io_context &context() noexcept
    {
        return context_;
    }

private:
    struct IdleConnection {
        Socket socket;
        core::MonotonicTime idleSince;
        core::MonotonicTime reusableUntil;
    };

    void evictExpired();

    boost::asio::io_context &context_;
    boost::asio::steady_timer evictionTimer_;
    std::map<std::string, std::vector<IdleConnection>> connections_; /* by server id; the most recently used last */
};

} // namespace cyclamenspool::gateway
