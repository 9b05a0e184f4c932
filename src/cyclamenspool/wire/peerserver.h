#pragma once

#include <cyclamenspool/wire/session.h>

#include <boost/asio/io_context.hpp>

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace cyclamenspool::wire {

/** @brief Accepts sessions from other processes. */
class PeerServer
{
public:
    /**
     * @brief Binds to an address.
     * @param context Context of the sockets.
     * @param address IP number and port.
     * @param limits Bounds of each session.
     * @param handler Request handler.
     * @throws boost::system::system_error If the address cannot be bound.
     */
    PeerServer(boost::asio::io_context &context, const std::string &address, const SessionLimits &limits, RequestHandler handler);

    /** @brief Stops accepting and closes all sessions. */
    void close();

private:
    void accept();
    void remember(const std::shared_ptr<Session> &session);

    boost::asio::io_context &context_;
    SessionLimits limits_;
    RequestHandler handler_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::mutex mutex_;
    std::vector<std::weak_ptr<Session>> sessions_;
};

} // namespace cyclamenspool::wire
