#pragma once

#include "platformfakes.h"

#include <boost/beast/http/status.hpp>

#include <cstddef>
#include <string>

namespace cyclamenspool::harness {

/** @brief How a fake backend server ends the connection of a response without a length or chunks. */
enum class ConnectionEnd : int {
    Fin,
    Reset,
};

/** @brief Sends the head of a response without a length or chunks and the first bytes of its body, then ends the connection.
 * @param bodyBytes Bytes of the body to send. @return False: the connection takes no further request. */
bool sendUnframed(const PlainRequest &request, PlainSocket &socket, const std::string &body, std::size_t bodyBytes, ConnectionEnd end);

/** @brief What a caller sees of a response. */
struct SeenResponse {
    unsigned status = 0; /**< 0: no complete head. */
    std::string body; /**< Bytes received. */
    bool isComplete = false; /**< Its framing says that it is complete: length, last chunk, or a connection that ended without a reset. */
};

/** @brief Sends a POST request with the key of the workspace "desk" and reads the response. @param version HTTP version, 10 or 11. */
[[nodiscard]] SeenResponse callWithVersion(const std::string &address, const std::string &path, const std::string &id, unsigned version);

} // namespace cyclamenspool::harness
