#include <cyclamenspool/gateway/scheduling/servicecapacity.h>

#include <cyclamenspool/gateway/scheduling/floatmilliseconds.h>

#include <algorithm>
#include <cmath>

namespace cyclamenspool::gateway::scheduling {

namespace internal {

using Seconds = std::chrono::duration<double>;

constexpr Seconds meanMemory{0.5}; /* over which the work of a request in flight is averaged */
constexpr double freeSlotShare = 0.5; /* of the slots in use, up to which a server has room for a prompt at once */
constexpr double streamWeight = 1.0 / 32; /* of the latest request in the mean duration of a stream */
constexpr double mostUrgentShare = 0.8; /* of the objective; the rest covers the error of the estimate */
constexpr double nextUrgencyFactor = 0.5;
constexpr double shortWaitShare = 0.25; /* of the limit: a shorter wait for others is no reason to refuse a request */
constexpr double minShare = 0.1;

} // namespace internal

void ServiceCapacity::advance(core::MonotonicTime now)
{
    if (now <= advancedAt_) {
        return;
    }
    const double kept = std::exp(-internal::Seconds(now - advancedAt_) / internal::meanMemory);
    advancedAt_ = now;
    for (std::size_t i = 0; i < urgencyCount; ++i) {
        const auto waiting = pending_.upTo(static_cast<int>(i));
        const double requests = std::max(inFlight_, 1.0);
        auto &mean = waitingPerRequest_[i];
        mean.tokens = mean.tokens * kept + waiting.tokens / requests * (1 - kept);
        mean.requests = mean.requests * kept + waiting.requests / requests * (1 - kept);
    }
}

void ServiceCapacity::onSent(ServerCapacity &server, const SentPrompt &prompt)
{
    advance(prompt.sentAt);
    server.pending.add(prompt.work);
    pending_.add(prompt.work);
    inFlight_ += 1;
}

void ServiceCapacity::onFirstEvent(ServerCapacity &server, SentPrompt &prompt, core::MonotonicTime now)
{
    advance(now);
    server.pending.remove(prompt.work);
    pending_.remove(prompt.work);
    prompt.firstEventAt = now;
    if (prompt.estimate.hasFreeSlots) {
        rate_.add(prompt.work.tokens, prompt.estimate.tokensAhead, now - prompt.sentAt);
    }
}

void ServiceCapacity::onEnded(ServerCapacity &server, const SentPrompt &prompt, bool isAnswered, core::MonotonicTime now)
{
    advance(now);
    inFlight_ -= 1;
    if (!prompt.firstEventAt) {
        server.pending.remove(prompt.work);
        pending_.remove(prompt.work);
        return;
    }
    if (isAnswered) {
        const double duration = FloatMilliseconds(now - *prompt.firstEventAt).count();
        streamMs_ = streamMs_ == 0 ? duration : streamMs_ + (duration - streamMs_) * internal::streamWeight;
    }
}

FirstEventEstimate ServiceCapacity::estimate(const ServerCapacity &server, const ServerOccupancy &occupancy, const PromptWork &work, core::MonotonicTime now)
{
    advance(now);
    FirstEventEstimate estimate;
    const auto own = server.pending.upTo(work.urgency);
    const auto &perRequest = waitingPerRequest_[urgencyIndex(work.urgency)];
    estimate.tokensAhead = own.tokens + perRequest.tokens * occupancy.peers;
    estimate.ownTokens = work.tokens;
    estimate.peerUpdateAge = occupancy.peerUpdateAge;
    estimate.hasFreeSlots = occupancy.own + occupancy.peers <= internal::freeSlotShare * occupancy.slots;
    if (!rate_.isKnown()) {
        return estimate;
    }
    estimate.tokensPerMs = rate_.tokensPerMs();
    const double paceMultiple = std::max(server.pace().multiple(now), 1.0);
    const double total = estimate.tokensAhead + work.tokens;
    estimate.ownProcessing = rate_.processingTime(work.tokens * paceMultiple);
    const double missing = occupancy.own + occupancy.peers + 1 - occupancy.slots;
    if (occupancy.slots > 0 && missing > 0) {
        const double ahead = own.requests + perRequest.requests * occupancy.peers;
        estimate.slotWait = toMilliseconds(std::min(missing, ahead + 1) * streamMs_ / occupancy.slots);
    }
    estimate.behindOthers = rate_.processingTime(estimate.tokensAhead * paceMultiple) + estimate.slotWait;
    estimate.expected = rate_.expected(total * paceMultiple) + estimate.slotWait;
    return estimate;
}

core::Milliseconds ServiceCapacity::limitOf(const FirstEventDemand &demand, core::MonotonicTime now)
{
    const auto rank = demand_.add(demand.urgency, {demand.objective}, now);
    const double ranked = internal::mostUrgentShare * std::pow(internal::nextUrgencyFactor, rank.moreUrgent);
    const double share = std::max(ranked, internal::minShare) * demand.shareFactor;
    return toMilliseconds(static_cast<double>(rank.least.objective.count()) * std::min(share, 1.0));
}

bool ServiceCapacity::isWithin(const FirstEventEstimate &estimate, core::Milliseconds limit)
{
    // Most of the time is then for the request's own prompt, and it is as long at any later time.
    const bool isOwnTime = estimate.behindOthers <= limit * internal::shortWaitShare;
    return estimate.expected <= limit || isOwnTime;
}

Decision ServiceCapacity::decide(const FirstEventDemand &demand, const FirstEventEstimate &estimate, core::Milliseconds limit)
{
    if (isWithin(estimate, limit)) {
        return {};
    }
    const auto excess = estimate.expected - limit;
    if (estimate.expected <= demand.objective) {
        return {Verdict::Hold, excess, "more urgent requests need the capacity first"};
    }
    return {Verdict::Reject, excess, "its first event is expected later than its objective"};
}

} // namespace cyclamenspool::gateway::scheduling
