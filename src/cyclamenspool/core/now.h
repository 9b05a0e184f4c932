#pragma once

#include <chrono>

namespace cyclamenspool::core {

using MonotonicTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;
using Milliseconds = std::chrono::milliseconds;

/** @brief Time at which an event is handled, on the monotonic and on the wall clock. */
struct Now {
    MonotonicTime monotonic{};
    WallTime wall{};

    /** @brief Reads both system clocks. */
    [[nodiscard]] static Now read() noexcept
    {
        return {std::chrono::steady_clock::now(), std::chrono::system_clock::now()};
    }

    /** @brief Returns this time advanced by a duration on both clocks. */
    [[nodiscard]] Now plus(Milliseconds duration) const noexcept
    {
        return {monotonic + duration, wall + duration};
    }
};

} // namespace cyclamenspool::core
