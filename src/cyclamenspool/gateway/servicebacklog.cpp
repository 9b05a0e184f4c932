#include <cyclamenspool/gateway/servicebacklog.h>

#include <algorithm>
#include <cmath>

namespace cyclamenspool::gateway {

namespace internal {

using core::Milliseconds;

constexpr Milliseconds responseWindow{500}; /* responses that count as the latest */
constexpr std::size_t minResponses = 4; /* fewer in a window say nothing of a service */
constexpr double callerWaitShare = 0.5; /* of the time that the caller waits, for the longest wait of the most urgent requests */
constexpr int maxEqualShares = 2; /* of the waiting requests, above which a workspace gets less time */
constexpr double largeShareFactor = 0.5; /* of the longest wait, for a workspace above that */
constexpr double smallShareFactor = 1.5; /* of the longest wait, for a workspace below its equal share */

} // namespace internal

void ServiceBacklog::onSent(const std::string &workspace)
{
    ++waiting_;
    ++waitingByWorkspace_[workspace];
}

void ServiceBacklog::onEndedWithoutHeaders(const std::string &workspace)
{
    endWaiting(workspace);
}

void ServiceBacklog::endWaiting(const std::string &workspace)
{
    --waiting_;
    const auto found = waitingByWorkspace_.find(workspace);
    if (found != waitingByWorkspace_.end() && --found->second == 0) {
        waitingByWorkspace_.erase(found);
    }
}

double ServiceBacklog::shareFactor(const std::string &workspace) const
{
    const auto found = waitingByWorkspace_.find(workspace);
    const auto workspaces = static_cast<int>(waitingByWorkspace_.size());
    const int scaled = found == waitingByWorkspace_.end() ? 0 : found->second * workspaces; /* equal to waiting_ at an equal share */
    if (workspaces > 1 && scaled > internal::maxEqualShares * waiting_) {
        return internal::largeShareFactor;
    }
    return scaled < waiting_ ? internal::smallShareFactor : 1.0;
}

void ServiceBacklog::onHeaders(core::MonotonicTime now, core::MonotonicTime::duration wait, const std::string &workspace)
{
    endWaiting(workspace);
    responses_.push_back({now, wait});
    totalWait_ += wait;
    discardOld(now);
}

void ServiceBacklog::discardOld(core::MonotonicTime now)
{
    while (!responses_.empty() && responses_.front().at + internal::responseWindow < now) {
        totalWait_ -= responses_.front().wait;
        responses_.pop_front();
    }
}

core::Milliseconds ServiceBacklog::latestWait(core::MonotonicTime now)
{
    discardOld(now);
    if (responses_.size() < internal::minResponses) {
        return core::Milliseconds(0);
    }
    return std::chrono::duration_cast<core::Milliseconds>(totalWait_ / static_cast<int>(responses_.size()));
}

core::Milliseconds ServiceBacklog::timeToServe(core::MonotonicTime now)
{
    discardOld(now);
    if (responses_.size() < internal::minResponses) {
        return core::Milliseconds(0);
    }
    return internal::responseWindow * waiting_ / static_cast<int>(responses_.size());
}

ServiceBacklog::Limits ServiceBacklog::limitsOf(const BacklogQuery &query, core::MonotonicTime now)
{
    const auto rank = demand_.add(query.urgency, {query.objective, query.callerWait}, now);
    const double share = std::ldexp(internal::callerWaitShare, -rank.moreUrgent);
    const auto wait = std::chrono::duration_cast<core::Milliseconds>(rank.least.callerWait * share);
    return {std::max(wait, rank.least.objective), rank.least.objective};
}

bool ServiceBacklog::isAdmitted(const BacklogQuery &query, core::MonotonicTime now)
{
    const auto limits = limitsOf(query, now);
    const auto scaled = std::chrono::duration_cast<core::Milliseconds>(limits.wait * shareFactor(query.workspace));
    const auto limit = std::max(scaled, limits.objective);
    // Waiting requests alone may be a burst that is served at once, or be held by servers that are silent.
    return latestWait(now) <= limits.objective || timeToServe(now) <= limit;
}

} // namespace cyclamenspool::gateway
