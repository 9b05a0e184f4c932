#include <cyclamenspool/gateway/storeavailability.h>

#include <algorithm>

namespace cyclamenspool::gateway {

namespace internal {

constexpr core::Milliseconds maxAnswerGap{1500}; /* less than the time in which an entry expires; several checks of the store */
constexpr core::Milliseconds renewalTime{2200}; /* servers renew their entries within 2 s after the store is available again */

} // namespace internal

void StoreAvailability::onAnswered(core::MonotonicTime at)
{
    if (!uptime_) {
        uptime_ = {at, at};
        isAfterOutage_ = hasFailed_;
        return;
    }
    if (at > uptime_->until + internal::maxAnswerGap) {
        uptime_->since = at;
        isAfterOutage_ = true;
    }
    uptime_->until = std::max(uptime_->until, at);
}

void StoreAvailability::onRestored(core::MonotonicTime at)
{
    uptime_ = {at, at};
    isAfterOutage_ = true;
}

void StoreAvailability::onReported(const StoreUptime &reported)
{
    const bool isLater = !uptime_ || reported.since > uptime_->until + internal::maxAnswerGap;
    if (isLater) {
        uptime_ = reported;
        isAfterOutage_ = true;
        return;
    }
    const bool isEarlier = uptime_->since > reported.until + internal::maxAnswerGap;
    if (isEarlier) {
        return;
    }
    isAfterOutage_ = isAfterOutage_ || reported.since <= uptime_->since + internal::maxAnswerGap;
    uptime_->since = std::min(uptime_->since, reported.since);
    uptime_->until = std::max(uptime_->until, reported.until);
}

std::optional<StoreUptime> StoreAvailability::uptime() const noexcept
{
    const bool isKnown = uptime_ && (isAfterOutage_ || uptime_->until >= uptime_->since + internal::renewalTime);
    return isKnown ? uptime_ : std::nullopt;
}

bool StoreAvailability::mayEntryHaveExpired(core::MonotonicTime now) const noexcept
{
    return uptime_ ? isAfterOutage_ && now < uptime_->since + internal::renewalTime : hasFailed_;
}

} // namespace cyclamenspool::gateway
