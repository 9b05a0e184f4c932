#include <cyclamenspool/core/hash.h>

#include <xxhash.h>

namespace cyclamenspool::core {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t hash64(std::uint64_t value) noexcept
{
    return XXH3_64bits(&value, sizeof(value));
}

} // namespace cyclamenspool::core
