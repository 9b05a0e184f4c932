#pragma once

#include <string_view>

namespace cyclamenspool::http {

/** @brief Returns the bytes up to the first blank line, which is included; empty if there is none yet. */
[[nodiscard]] std::string_view completeHead(std::string_view bytes) noexcept;

/** @brief Returns whether a text holds the beginning of a status line: "HTTP/", a version, a space and three digits. */
[[nodiscard]] bool holdsStatusLine(std::string_view text) noexcept;

/**
 * @brief Returns why the head of a response is invalid although the parser accepts it.
 *
 * - The status is outside 100 to 599, or is 101: no request asks for another protocol.
 * - A line is folded (RFC 9112, 5.2): the parser appends it to the value of the field before, also if it gives the length of the body.
 * - A second status line stands inside it: a response that broke off in its head stands before the next one on the connection.
 *
 * @param head Bytes from the status line to the blank line.
 * @return Reason; null if it has none of these faults.
 */
[[nodiscard]] const char *headFault(std::string_view head) noexcept;

} // namespace cyclamenspool::http
