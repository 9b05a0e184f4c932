#pragma once

#include <cyclamenspool/core/now.h>
#include <cyclamenspool/core/random.h>

#include <optional>
#include <string>
#include <string_view>

namespace cyclamenspool::core {

/**
 * @brief Creates a UUID of version 7 (RFC 9562, section 5.7).
 * @param wall Creation time, kept in milliseconds.
 * @param random Source of the random bits.
 * @return Canonical text of 36 characters.
 */
[[nodiscard]] std::string makeUuid7(WallTime wall, RandomSource &random);

/**
 * @brief Reads the creation time of a UUID of version 7.
 * @param text Canonical text.
 * @return Creation time; none if the text is not a UUID of version 7.
 */
[[nodiscard]] std::optional<WallTime> uuid7Time(std::string_view text);

} // namespace cyclamenspool::core
