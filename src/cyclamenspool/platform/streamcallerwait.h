#pragma once

#include <cyclamenspool/world/route.h>

#include <algorithm>
#include <chrono>

namespace cyclamenspool::platform {

/** @brief Returns how long a caller waits for the next event of a stream, also for the first one, before it leaves. Source: the protocol's streaming routes. */
[[nodiscard]] inline std::chrono::milliseconds streamCallerWait(const world::Route &route) noexcept
{
    constexpr std::chrono::milliseconds shortest{2000};
    constexpr int objectives = 4;
    constexpr int pauses = 8;
    return std::max({shortest, route.latencyObjective * objectives, route.pauseObjective * pauses});
}

} // namespace cyclamenspool::platform
