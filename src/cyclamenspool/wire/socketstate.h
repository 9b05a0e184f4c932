#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>

namespace cyclamenspool::wire {

/** @brief Returns whether a connection is open and has no unread bytes. */
[[nodiscard]] bool isQuiet(boost::asio::ip::tcp::socket &socket);

/** @brief Returns whether the peer has closed or reset a connection whose bytes have all been read. */
[[nodiscard]] bool isClosedByPeer(boost::asio::ip::tcp::socket &socket);

/** @brief Returns the number of bytes sent, an end of the connection included, that the peer has not acknowledged; 0 if it is unknown. */
[[nodiscard]] std::size_t unacknowledgedBytes(boost::asio::ip::tcp::socket &socket);

} // namespace cyclamenspool::wire
