#pragma once

#include <cyclamenspool/core/now.h>

namespace cyclamenspool::gateway::scheduling {

/** @brief Milliseconds with fractions, for sums and means. */
using FloatMilliseconds = std::chrono::duration<double, std::milli>;

/** @brief Returns a number of milliseconds without its fraction. */
[[nodiscard]] inline core::Milliseconds toMilliseconds(double ms)
{
    return std::chrono::duration_cast<core::Milliseconds>(FloatMilliseconds(ms));
}

} // namespace cyclamenspool::gateway::scheduling
