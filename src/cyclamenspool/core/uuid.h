#pragma once

#include <cyclamenspool/core/now.h>
#include <cyclamenspool/core/random.h>

#include <optional>
#include <string>
#include <string_view>

namespace cyclamenspool::core {

/**
 * @brief Creates a version 7 UUID (RFC 9562, section 5.7).
 * @param wall Creation time, stored in milliseconds.
 * @param random Generator of the random bits.
 * @return Canonical text form of 36 characters.
 */
[[nodiscard]] std::string makeUuid7(WallTime wall, RandomSource &random);

/**
 * @brief Parses the creation time of a version 7 UUID.
 * @param text Canonical text form.
 * @return Creation time; none if the text is not a version 7 UUID.
 */
[[nodiscard]] std::optional<WallTime> uuid7Time(std::string_view text);

} // namespace cyclamenspool::core
