#pragma once

#include <boost/beast/http/fields.hpp>

#include <cstdint>

namespace cyclamenspool::platform {

/**
 * @brief Reads the era of the store from the header of a response.
 * @param header Header fields of any response, whatever its status.
 * @return Era; 0 if the response names none.
 * @throws std::runtime_error If the field is not a decimal number of 64 bits, or appears more than once.
 */
[[nodiscard]] std::uint64_t readStoreEra(const boost::beast::http::fields &header);

} // namespace cyclamenspool::platform
