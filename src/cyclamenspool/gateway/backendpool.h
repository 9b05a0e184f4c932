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

/** @brief Idle connections to backend servers of one worker. Not thread safe. */
class BackendPool
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    /** @brief Creates an empty pool. @param context Context of the worker. */
    explicit BackendPool(boost::asio::io_context &context);

    /**
     * @brief Takes an idle connection that is still open.
     * @param server Id of the backend server.
     * @param longestIdle Connections that were idle for longer are passed over.
     * @return Connection; empty: none.
     */
    [[nodiscard]] std::optional<Socket> take(const std::string &server, std::chrono::milliseconds longestIdle);

    /** @brief Keeps a connection. @param server Id of the backend server. @param socket Connection. @param idleTimeout Time until the backend server closes it.
     */
    void keep(const std::string &server, Socket socket, std::chrono::milliseconds idleTimeout);

    /** @brief Returns the worker's context. @return Context. */
    [[nodiscard]] boost::asio::io_context &context() noexcept
    {
        return context_;
    }

private:
    struct Idle {
        Socket socket;
        core::MonotonicTime since;
        core::MonotonicTime until;
    };

    void sweep();

    boost::asio::io_context &context_;
    boost::asio::steady_timer sweepTimer_;
    std::map<std::string, std::vector<Idle>> idle_; /* by id; the one used last is at the end */
};

} // namespace cyclamenspool::gateway
