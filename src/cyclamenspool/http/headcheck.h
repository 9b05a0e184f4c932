#pragma once

#include <boost/beast/http/fields.hpp>

#include <string_view>

namespace cyclamenspool::http {

/** @brief Returns whether a text holds the beginning of a status line: "HTTP/", a version, a space and three digits. */
[[nodiscard]] bool holdsStatusLine(std::string_view text) noexcept;

/**
 * @brief Returns whether a second status line stands inside a parsed response head: in its reason phrase or in a value.
 *
 * It does if a response that broke off in its head stands before the next one on the connection; the parser then reads both as one.
 *
 * @param reason Reason phrase.
 * @param fields All fields.
 */
[[nodiscard]] bool holdsSecondHead(std::string_view reason, const boost::beast::http::fields &fields) noexcept;

} // namespace cyclamenspool::http
