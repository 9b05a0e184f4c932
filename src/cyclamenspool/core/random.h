#pragma once

#include <cstdint>
#include <random>

namespace cyclamenspool::core {

/** @brief Seedable source of random numbers, injected wherever a decision is drawn. */
class RandomSource
{
public:
    /** @brief Creates a source. @param seed Seed. */
    explicit RandomSource(std::uint64_t seed)
        : engine_(seed)
    {
    }

    /** @brief Draws an index. @param size Number of choices, at least 1. @return Index below size. */
    [[nodiscard]] std::size_t index(std::size_t size)
    {
        return std::uniform_int_distribution<std::size_t>(0, size - 1)(engine_);
    }

    /** @brief Draws a real number. @return Number in [0, 1). */
    [[nodiscard]] double unit()
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(engine_);
    }

    /** @brief Draws 64 random bits. @return Random bits. */
    [[nodiscard]] std::uint64_t bits()
    {
        return engine_();
    }

private:
    std::mt19937_64 engine_;
};

} // namespace cyclamenspool::core
