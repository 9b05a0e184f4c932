#pragma once

#include <cyclamenspool/core/now.h>

#include <chrono>

namespace cyclamenspool::policy {

/** @brief Capacity of an engine after a cold start: it grows linearly from the cold to the warm capacity. */
class ColdStartRamp
{
public:
    /** @brief Starts the ramp. @param start Time of the cold start. */
    explicit ColdStartRamp(core::MonotonicTime start) noexcept
        : start_(start)
    {
    }

    /** @brief Restarts the ramp after the engine restarted or lost its cache. @param at Time of the cold start. */
    void restart(core::MonotonicTime at) noexcept
    {
        start_ = at;
    }

    /**
     * @brief Returns the capacity at a point in time.
     * @param cold Capacity at cold start.
     * @param warm Capacity when warm.
     * @param warmUp Duration of the ramp.
     * @return Capacity in the unit of the arguments.
     */
    [[nodiscard]] double capacity(core::MonotonicTime at, double cold, double warm, core::Milliseconds warmUp) const noexcept
    {
        const std::chrono::duration<double, std::milli> elapsed = at - start_;
        const double fraction = elapsed.count() / static_cast<double>(warmUp.count());
        if (fraction >= 1.0) {
            return warm;
        }
        return fraction <= 0.0 ? cold : cold + (warm - cold) * fraction;
    }

    /** @brief Returns whether the ramp is still in progress. @param warmUp Duration of the ramp. */
    [[nodiscard]] bool isCold(core::MonotonicTime at, core::Milliseconds warmUp) const noexcept
    {
        return at - start_ < warmUp;
    }

private:
    core::MonotonicTime start_;
};

} // namespace cyclamenspool::policy
