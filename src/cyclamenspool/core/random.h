#pragma once

#include <cstdint>
#include <random>

namespace cyclamenspool::core {

/** @brief Seedable pseudo-random number generator, injected into randomized decisions so that tests can reproduce them. */
class RandomSource
{
public:
    /** @brief Creates a generator; equal seeds give equal sequences. */
    explicit RandomSource(std::uint64_t seed)
        : generator_(seed)
    {
    }

    /** @brief Draws a uniformly distributed index. @param size Number of elements, at least 1. @return Index below size. */
    [[nodiscard]] std::size_t index(std::size_t size)
    {
        return std::uniform_int_distribution<std::size_t>(0, size - 1)(generator_);
    }

    /** @brief Draws a uniformly distributed number in [0, 1). */
    [[nodiscard]] double uniform()
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(generator_);
    }

    /** @brief Draws 64 random bits. */
    [[nodiscard]] std::uint64_t bits()
    {
        return generator_();
    }

private:
    std::mt19937_64 generator_;
};

} // namespace cyclamenspool::core
