#include <cyclamenspool/gateway/scheduling/machinepace.h>

#include <algorithm>
#include <cmath>

namespace cyclamenspool::gateway::scheduling {

namespace internal {

using Seconds = std::chrono::duration<double>;

constexpr Seconds paceMemory{0.5}; /* a machine's pace changes several times a second */
constexpr double maxSampleWeight = 0.5; /* a single sample says little of the time until the next one */
constexpr double minPace = 0.1; /* a smaller multiple is taken for a fault of the report */
constexpr double maxPace = 20.0;

} // namespace internal

void MachinePace::add(double multiple, core::MonotonicTime now)
{
    const double bounded = std::clamp(multiple, internal::minPace, internal::maxPace);
    const double kept = std::exp(-internal::Seconds(now - sampledAt_) / internal::paceMemory);
    excess_ = excess_ * kept + (bounded - 1) * std::min(1 - kept, internal::maxSampleWeight);
    sampledAt_ = now;
}

double MachinePace::multiple(core::MonotonicTime now) const
{
    return 1 + excess_ * std::exp(-internal::Seconds(now - sampledAt_) / internal::paceMemory);
}

} // namespace cyclamenspool::gateway::scheduling
