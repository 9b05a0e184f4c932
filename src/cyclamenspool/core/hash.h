#pragma once

#include <cstdint>
#include <string_view>

namespace cyclamenspool::core {

/** @brief Returns the 64-bit XXH3 hash of a byte string; equal inputs give equal hashes in every process. */
[[nodiscard]] std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0) noexcept;

/** @brief Returns the 64-bit XXH3 hash of a number's bytes. */
[[nodiscard]] std::uint64_t hash64(std::uint64_t value) noexcept;

} // namespace cyclamenspool::core
