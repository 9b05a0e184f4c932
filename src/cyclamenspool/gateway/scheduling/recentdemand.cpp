#include <cyclamenspool/gateway/scheduling/recentdemand.h>

#include <algorithm>

namespace cyclamenspool::gateway::scheduling {

namespace internal {

constexpr core::Milliseconds demandWindow{2000}; /* in which requests of an urgency count as present */

} // namespace internal

RecentDemand::Rank RecentDemand::add(int urgency, const Request &request, core::MonotonicTime now)
{
    const auto index = urgencyIndex(urgency);
    latest_[index] = {now, request};
    Rank rank{request};
    for (std::size_t i = 0; i < index; ++i) {
        if (latest_[i].at + internal::demandWindow > now) {
            rank.least.objective = std::min(rank.least.objective, latest_[i].request.objective);
            rank.least.callerWait = std::min(rank.least.callerWait, latest_[i].request.callerWait);
            ++rank.moreUrgent;
        }
    }
    return rank;
}

} // namespace cyclamenspool::gateway::scheduling
