#pragma once

#include <cyclamenspool/wire/session.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace cyclamenspool::wire {

/** @brief Accepts sessions from the other processes of the system. Must outlive the handlers that run on its context. */
class PeerServer
{
public:
    /**
     * @brief Binds to an address and starts to accept.
     * @param context Context of the sockets.
     * @param address IP address and port.
     * @param limits Limits of each session.
     * @param handler Handler of the requests of every session.
     * @throws std::invalid_argument If the port or the separator is missing or malformed.
     * @throws boost::system::system_error If the address is not an IP address or cannot be bound.
     */
    PeerServer(boost::asio::io_context &context, const std::string &address, const SessionLimits &limits, RequestHandler handler);

    /** @brief Stops accepting and closes all sessions. */
    void close();

private:
    void accept();
    void trackSession(const std::shared_ptr<Session> &session);

    boost::asio::io_context &context_;
    SessionLimits limits_;
    RequestHandler handler_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer retryTimer_;
    std::mutex mutex_;
    std::vector<std::weak_ptr<Session>> sessions_;
};

} // namespace cyclamenspool::wire
