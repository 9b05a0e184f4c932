#pragma once

#include <chrono>

namespace cyclamenspool::core {

using MonotonicTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;
using Milliseconds = std::chrono::milliseconds;

/** @brief The time at which an event is handled, on both clocks. */
struct Now {
    MonotonicTime monotonic{};
    WallTime wall{};

    /** @brief Reads the clocks of the system. @return Current time. */
    [[nodiscard]] static Now read() noexcept
    {
        return {std::chrono::steady_clock::now(), std::chrono::system_clock::now()};
    }

    /** @brief Returns this time moved forward. @param by Distance. @return Later time. */
    [[nodiscard]] Now plus(Milliseconds by) const noexcept
    {
        return {monotonic + by, wall + by};
    }
};

} // namespace cyclamenspool::core
