#include <cyclamenspool/gateway/starthold.h>

#include <algorithm>

namespace cyclamenspool::gateway {

namespace internal {

constexpr core::Milliseconds answerTime{1000}; /* of the store, and of a peer that was asked for the list */
constexpr core::Milliseconds maxHoldTime{1000}; /* a peer that does not answer is given up after a second */
constexpr core::Milliseconds assumedCallerTimeout{1000}; /* if the caller names none */
constexpr double maxHoldShare = 0.3; /* of the caller's time; callers give a request that is not read, or that is refused, a third of it */

} // namespace internal

StartOutlook outlookOf(const StartFacts &facts) noexcept
{
    if (facts.isRoutingInForce && facts.isListKnown) {
        return StartOutlook::Known;
    }
    const bool isStoreAwaited = !facts.hasStoreFailed && facts.uptime < internal::answerTime;
    const bool isListAwaited = facts.isPeerRunning && facts.uptime < internal::answerTime;
    if (isStoreAwaited || (facts.isRoutingInForce ? isListAwaited : facts.isRoutingAwaited)) {
        return StartOutlook::Pending;
    }
    return facts.isRoutingInForce ? StartOutlook::Known : StartOutlook::Away;
}

const char *nameOf(StartOutlook outlook) noexcept
{
    constexpr const char *names[] = {"pending", "away", "known"};
    return names[static_cast<int>(outlook)];
}

std::optional<StartHold::Ticket> StartHold::hold(const Request &request, core::MonotonicTime now)
{
    const auto timeout = request.callerTimeout.value_or(internal::assumedCallerTimeout);
    const auto share = std::chrono::duration_cast<core::Milliseconds>(timeout * internal::maxHoldShare);
    const auto until = request.arrivedAt + std::min(share, internal::maxHoldTime);
    const bool hasRoom = held_.size() < limits_.requests && bytes_ + request.bytes <= limits_.bytes;
    if (!isHolding() || !hasRoom || until <= now) {
        return std::nullopt;
    }
    held_[++lastTicket_] = {until, request.bytes};
    bytes_ += request.bytes;
    return lastTicket_;
}

void StartHold::remove(Ticket ticket)
{
    const auto found = held_.find(ticket);
    if (found != held_.end()) {
        bytes_ -= found->second.bytes;
        held_.erase(found);
    }
}

std::optional<StartHold::Ticket> StartHold::takeNext(core::MonotonicTime now)
{
    const auto next = std::find_if(held_.begin(), held_.end(), [this, now](const auto &each) {
        return isOver() || each.second.until <= now;
    });
    if (next == held_.end()) {
        return std::nullopt;
    }
    const auto ticket = next->first;
    remove(ticket);
    return ticket;
}

std::optional<core::MonotonicTime> StartHold::nextDue(core::MonotonicTime now) const
{
    if (held_.empty()) {
        return std::nullopt;
    }
    if (isOver()) {
        return now;
    }
    const auto first = std::min_element(held_.begin(), held_.end(), [](const auto &left, const auto &right) {
        return left.second.until < right.second.until;
    });
    return first->second.until;
}

} // namespace cyclamenspool::gateway
