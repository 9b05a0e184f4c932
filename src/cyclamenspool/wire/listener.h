#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>

namespace cyclamenspool::wire {

/**
 * @brief Accepts connections at an address; pauses after a failed accept, for example without free descriptors. Its handlers run on its executor, which
 * must also run start() and close() or not be running yet. Must outlive the handlers that run on its executor.
 */
class Listener
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    /** @brief Takes one connection. */
    struct Destination {
        boost::asio::any_io_executor executor; /**< Executor of the connection's socket. */
        std::function<void(Socket)> onConnection; /**< Called on the listener's executor. */
    };

    /**
     * @brief Binds to an address and listens, so that the kernel completes connections.
     * @param executor Strand, or executor of a context that one thread runs.
     * @param address IP address and port.
     * @param nextDestination Called once for each connection, possibly before it arrives.
     * @throws std::invalid_argument The address is malformed.
     * @throws boost::system::system_error The address cannot be bound.
     */
    Listener(const boost::asio::any_io_executor &executor, const std::string &address, std::function<Destination()> nextDestination);

    /** @brief Starts to accept; does nothing if it is closed. */
    void start();

    /**
     * @brief Accepts the connections that the kernel has completed, as closing would reset them, then closes; does nothing if it is closed.
     * @param onClosed Called once after the last connection was passed on, possibly within the call; may be empty.
     */
    void close(std::function<void()> onClosed = nullptr);

    /** @brief Returns whether it has not been closed. */
    [[nodiscard]] bool isOpen() const
    {
        return acceptor_.is_open();
    }

    /** @brief Returns the address that connections are accepted on, with the port that the system chose if it was 0. */
    [[nodiscard]] boost::asio::ip::tcp::endpoint endpoint() const
    {
        return endpoint_;
    }

private:
    void accept();
    void onAccepted(const boost::system::error_code &error);
    void finish();

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::tcp::endpoint endpoint_;
    boost::asio::steady_timer retryTimer_;
    std::function<Destination()> nextDestination_;
    std::function<void()> onClosed_;
    bool isPending_ = false; /* an accept, or the pause after a failed one */
};

} // namespace cyclamenspool::wire
