#pragma once

#include <cstdint>
#include <string_view>

namespace cyclamenspool::core {

/** @brief Hashes bytes with XXH3. @param bytes Input. @param seed Seed. @return 64-bit hash, equal in every process. */
[[nodiscard]] std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0) noexcept;

} // namespace cyclamenspool::core
