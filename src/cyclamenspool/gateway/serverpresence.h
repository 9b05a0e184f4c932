#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace cyclamenspool::gateway {

/** @brief Finds out whether a backend server's process still accepts connections. All calls on the worker's thread. */
class ServerPresence : public std::enable_shared_from_this<ServerPresence>
{
public:
    /** @brief Receives the result. @param isPresent A connection was accepted within 200 ms. */
    using Callback = std::function<void(bool isPresent)>;

    /** @brief Creates a check. @param context Worker's event loop. @param callback Called once, unless cancelled before. */
    ServerPresence(boost::asio::io_context &context, Callback callback);

    /** @brief Connects to the server and closes the connection at once. @param address IP address and port. */
    void start(const std::string &address);

    /** @brief Ends the check; the callback is not called. */
    void cancel();

private:
    void finish(bool isPresent);

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    Callback callback_;
};

} // namespace cyclamenspool::gateway
