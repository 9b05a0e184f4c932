#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace cyclamenspool::wire {

/** @brief TCP keep-alive and user time-out, which close a connection whose peer has stopped responding. */
struct TcpKeepAlive {
    std::chrono::milliseconds userTimeout{3000}; /**< Maximum time that sent data or keep-alive probes may stay unacknowledged (TCP_USER_TIMEOUT). */
    std::chrono::seconds probeInterval{1}; /**< Idle time before the first keep-alive probe, and interval between probes. */
    int maxProbes = 2; /**< Unanswered probes after which the connection is closed; Linux applies userTimeout instead if it is not 0. */
};

/** @brief Enables keep-alive probes and the user time-out, and disables Nagle's algorithm.
 * @param socket Open socket; errors are ignored, its next read reports them. @param keepAlive Time-outs. */
void setTcpKeepAlive(boost::asio::ip::tcp::socket &socket, const TcpKeepAlive &keepAlive);

/**
 * @brief Sets the user time-out alone.
 *
 * Linux also ends a connection by it if the peer's window stays closed for so long, although the peer acknowledges each probe of the window.
 *
 * @param socket Open socket; errors are ignored, its next read reports them. @param timeout Time-out; 0: that of the system, many minutes. */
void setUserTimeout(boost::asio::ip::tcp::socket &socket, std::chrono::milliseconds timeout);

} // namespace cyclamenspool::wire
