#pragma once

#include <cyclamenspool/core/now.h>

#include <array>

namespace cyclamenspool::gateway::scheduling {

/**
 * @brief Estimates how much of its time a caller had spent before its request arrived, as one that returns after a refusal has. Not thread safe.
 *
 * Callers of a route usually state the same time limit in their first attempt, and what is left of it when they return.
 */
class SpentTimeEstimator
{
public:
    /** @brief Handles a request of the route. @param limit Time limit that its caller states. @param now Current time. @return Time by which it falls short of
     * the longest limit within the last 10 to 20 s. */
    [[nodiscard]] core::Milliseconds spentBefore(core::Milliseconds limit, core::MonotonicTime now);

private:
    std::array<core::Milliseconds, 2> longest_{}; /* of the present and the previous period */
    core::MonotonicTime periodEndsAt_{};
};

} // namespace cyclamenspool::gateway::scheduling
