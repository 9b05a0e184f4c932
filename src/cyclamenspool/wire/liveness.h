#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace cyclamenspool::wire {

/** @brief How soon a connection that has fallen silent is ended. */
struct Liveness {
    std::chrono::milliseconds unacknowledged{3000}; /**< Longest time that sent bytes may wait for their acknowledgement. */
    std::chrono::seconds probePeriod{1}; /**< Between keep-alive probes on a quiet connection. */
    int probes = 2; /**< Unanswered probes that end it. */
};

/** @brief Sets keep-alive probes, the acknowledgement time-out and no-delay. @param socket Open socket. @param liveness Times. */
void setLiveness(boost::asio::ip::tcp::socket &socket, const Liveness &liveness);

} // namespace cyclamenspool::wire
