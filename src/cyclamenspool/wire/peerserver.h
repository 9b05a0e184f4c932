#pragma once

#include <cyclamenspool/wire/listener.h>
#include <cyclamenspool/wire/openconnections.h>
#include <cyclamenspool/wire/session.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include <functional>
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

    /**
     * @brief Accepts the connections that the kernel has completed, then stops accepting and ends each session with Session::closeAfterStreams().
     * @param onQuiet Called once, on any thread, when every session has ended; may be empty.
     */
    void close(std::function<void()> onQuiet = nullptr);

    /** @brief Closes all sessions; their streams are cut. */
    void closeSessions();

    /** @brief Returns the address that sessions are accepted on, with the port that the system chose if it was 0. */
    [[nodiscard]] boost::asio::ip::tcp::endpoint endpoint() const
    {
        return listener_.endpoint();
    }

private:
    void addSession(Session::Socket socket);
    [[nodiscard]] std::vector<std::shared_ptr<Session>> openSessions();

    boost::asio::io_context &context_;
    SessionLimits limits_;
    RequestHandler handler_;
    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
    Listener listener_; /* on the strand */
    OpenConnections openConnections_;
    std::mutex mutex_; /* guards the sessions; no other lock is taken while it is held */
    std::vector<std::weak_ptr<Session>> sessions_;
};

} // namespace cyclamenspool::wire
