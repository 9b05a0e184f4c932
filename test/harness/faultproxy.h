#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace cyclamenspool::harness {

/** @brief What a FaultProxy does with the connections through it. */
enum class ProxyMode : int {
    Pass,
    Delay, /**< Forwards each piece 100 ms late. */
    Refuse, /**< Resets new connections at once. */
    Silent, /**< Reads and forwards nothing, without closing. */
    DropToTarget, /**< Forwards nothing to the target; bytes back still pass. */
    DropFromTarget, /**< Forwards nothing from the target; bytes to it still pass. */
};

/** @brief TCP proxy on loopback in front of one address, whose faults are switched while it runs. Runs on a thread of its own. */
class FaultProxy
{
public:
    /** @brief Starts to listen on a free port. @param target IP address and port behind the proxy. */
    explicit FaultProxy(const std::string &target);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    /** @brief Returns the IP address and port of the proxy. */
    [[nodiscard]] const std::string &address() const noexcept
    {
        return address_;
    }

    /** @brief Changes the mode of all present and future connections. */
    void setMode(ProxyMode mode) noexcept
    {
        mode_ = mode;
    }

    /** @brief Limits the bytes from the target, of all connections together, as a VM's link does. @param bytesPerSecond Rate; 0: no limit. */
    void setBandwidth(std::uint64_t bytesPerSecond) noexcept
    {
        pace_.bytesPerSecond = bytesPerSecond;
    }

    /** @brief Resets all open connections (TCP RST). */
    void resetConnections();

private:
    class Link;

    /** @brief Bandwidth that the connections share. */
    struct Pace {
        [[nodiscard]] std::chrono::steady_clock::duration takeTurn(std::size_t bytes); /* time until the bytes have passed */

        std::atomic<std::uint64_t> bytesPerSecond{0};
        std::chrono::steady_clock::time_point freeAt{}; /* on the proxy's thread only */
    };

    void accept();

    std::string address_;
    boost::asio::ip::tcp::endpoint target_;
    std::atomic<ProxyMode> mode_{ProxyMode::Pass};
    Pace pace_;
    boost::asio::io_context context_{1};
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<std::weak_ptr<Link>> links_; /* on the proxy's thread only */
    std::thread thread_;
};

} // namespace cyclamenspool::harness
