#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace cyclamenspool::gateway {

/**
 * @brief Finds out whether a backend server's process still accepts connections. All calls on the worker's thread.
 *
 * While the sockets of a killed process are closed one by one, the kernel may still accept a connection; it resets it with the listening socket. Therefore a
 * connection counts only if it stays open for 50 ms, or if a second one is accepted after it has ended.
 */
class ServerPresence : public std::enable_shared_from_this<ServerPresence>
{
public:
    /** @brief Receives the result. @param isPresent The process accepts connections; each connect may take 200 ms. */
    using Callback = std::function<void(bool isPresent)>;

    /** @brief Creates a check. @param context Worker's event loop. @param callback Called once, unless cancelled before. */
    ServerPresence(boost::asio::io_context &context, Callback callback);

    /** @brief Begins the check, which ends with its connections closed. @param address IP address and port. */
    void start(const std::string &address);

    /** @brief Ends the check; the callback is not called. */
    void cancel();

private:
    void connect(const boost::asio::ip::tcp::endpoint &endpoint, void (ServerPresence::*onConnected)());
    void watchConnection();
    void confirm();
    void finish(bool isPresent);

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    Callback callback_;
    boost::asio::ip::tcp::endpoint endpoint_;
    char byte_ = 0; /* received from the server */
};

} // namespace cyclamenspool::gateway
