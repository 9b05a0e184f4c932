#pragma once

#include "platformfakes.h"

#include <string>

namespace cyclamenspool::harness {

/** @brief Formats a chunk of a chunked body. @param bytes Content. */
[[nodiscard]] std::string chunk(const std::string &bytes);

/** @brief Formats a server-sent event whose data is "token" and its id. */
[[nodiscard]] std::string serverSentEvent(int id);

/** @brief Formats the status line and headers of a chunked event stream with the request's id and the digest header. */
[[nodiscard]] std::string responseHeadFor(const PlainRequest &request);

/** @brief Resets a connection (TCP RST). @return False: it takes no further request. */
bool resetConnection(PlainSocket &socket);

} // namespace cyclamenspool::harness
