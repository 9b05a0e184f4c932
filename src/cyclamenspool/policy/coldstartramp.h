#pragma once

#include <cyclamenspool/core/now.h>

#include <chrono>

namespace cyclamenspool::policy {

/** @brief Capacity of an engine that warms up: grows linearly from the cold to the warm capacity after a cold start. */
class ColdStartRamp
{
public:
    /** @brief Starts cold. @param start Time of the cold start. */
    explicit ColdStartRamp(core::MonotonicTime start) noexcept
        : start_(start)
    {
    }

    /** @brief Starts over, because the engine restarted or lost its cache. @param at Time of the cold start. */
    void restart(core::MonotonicTime at) noexcept
    {
        start_ = at;
    }

    /**
     * @brief Returns the capacity.
     * @param at Time.
     * @param cold Capacity at cold start.
     * @param warm Capacity when warm.
     * @param warmUp Length of the ramp.
     * @return Capacity in the unit of the arguments.
     */
    [[nodiscard]] double capacity(core::MonotonicTime at, double cold, double warm, core::Milliseconds warmUp) const noexcept
    {
        const std::chrono::duration<double, std::milli> elapsed = at - start_;
        const double part = elapsed.count() / static_cast<double>(warmUp.count());
        if (part >= 1.0) {
            return warm;
        }
        return part <= 0.0 ? cold : cold + (warm - cold) * part;
    }

    /** @brief Tells whether the ramp is under way. @param at Time. @param warmUp Length of the ramp. @return True if so. */
    [[nodiscard]] bool isCold(core::MonotonicTime at, core::Milliseconds warmUp) const noexcept
    {
        return at - start_ < warmUp;
    }

private:
    core::MonotonicTime start_;
};

} // namespace cyclamenspool::policy
