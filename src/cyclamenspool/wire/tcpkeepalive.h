#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace cyclamenspool::wire {

/** @brief TCP time-outs that close a connection whose peer has stopped responding. */
struct TcpKeepAlive {
    std::chrono::milliseconds userTimeout{3000}; /**< Maximum time that sent data may stay unacknowledged. */
    std::chrono::seconds probeInterval{1}; /**< Idle time before the first keep-alive probe, and interval between probes. */
    int maxProbes = 2; /**< Unanswered probes after which the connection is closed. */
};

/** @brief Enables keep-alive probes and the user time-out, and disables Nagle's algorithm. @param socket Open socket. @param keepAlive Time-outs. */
void setTcpKeepAlive(boost::asio::ip::tcp::socket &socket, const TcpKeepAlive &keepAlive);

} // namespace cyclamenspool::wire
