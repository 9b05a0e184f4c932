#pragma once

#include <boost/beast/http/basic_parser.hpp>

namespace cyclamenspool::http {

/**
 * @brief Returns whether the end of its connection completes a response.
 *
 * It does only after the blank line, and only if neither a length nor chunks end the body. A reset completes nothing.
 *
 * @param parser Parser that was given all received bytes.
 */
[[nodiscard]] bool isCompleteAtConnectionEnd(boost::beast::http::basic_parser<false> &parser);

} // namespace cyclamenspool::http
