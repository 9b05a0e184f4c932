#include <cyclamenspool/gateway/scheduling/spenttimeestimator.h>

#include <algorithm>

namespace cyclamenspool::gateway::scheduling {

namespace internal {

constexpr std::chrono::seconds period{10};

} // namespace internal

core::Milliseconds SpentTimeEstimator::spentBefore(core::Milliseconds limit, core::MonotonicTime now)
{
    if (now >= periodEndsAt_) {
        const bool isNextPeriod = now < periodEndsAt_ + internal::period;
        longest_ = {core::Milliseconds(0), isNextPeriod ? longest_[0] : core::Milliseconds(0)};
        periodEndsAt_ = now + internal::period;
    }
    longest_[0] = std::max(longest_[0], limit);
    return std::max(longest_[0], longest_[1]) - limit;
}

} // namespace cyclamenspool::gateway::scheduling
