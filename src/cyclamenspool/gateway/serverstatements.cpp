#include <cyclamenspool/gateway/serverstatements.h>

#include <cyclamenspool/gateway/limitsplitter.h>

#include <algorithm>

namespace cyclamenspool::gateway {

namespace internal {

constexpr std::chrono::seconds limitExpiry{30}; /* without a further statement */
constexpr double burstRequests = 4; /* above the rate, over all holders */
constexpr double burstSeconds = 1.5; /* worth of the limit, in addition */
constexpr std::chrono::duration<double> bucketTime{0.5}; /* worth of its share that a gateway may save up, at least one request */
constexpr core::Milliseconds reportTolerance{50}; /* the age in a report lacks the time that the message took */
constexpr core::Milliseconds notHolderWait{1000}; /* for a gateway without a share */

} // namespace internal

std::size_t limitHolders(double perSecond, std::size_t gateways) noexcept
{
    const double holders = std::min(perSecond * internal::burstSeconds + internal::burstRequests, static_cast<double>(gateways));
    return std::max<std::size_t>(static_cast<std::size_t>(holders), 1);
}

bool ServerStatements::onResponse(const platform::ServerStatement &statement, core::MonotonicTime sentAt, core::MonotonicTime now)
{
    const bool beginsToLeave = statement.isLeaving && !isLeaving_;
    isLeaving_ = isLeaving_ || statement.isLeaving;
    if (statement.retryAfter) {
        backOffUntil_ = std::max(backOffUntil_, now + *statement.retryAfter);
    }
    const bool wasLimited = limit(now).has_value();
    const bool endsLimit = !statement.limit && !statement.isLimitMalformed && wasLimited && sentAt > limit_.statedAt;
    if (statement.limit || endsLimit) {
        limit_ = {statement.limit, now};
    }
    return beginsToLeave || wasLimited != limit(now).has_value();
}

void ServerStatements::onReportedLimit(const StatedLimit &reported)
{
    if (reported.statedAt > limit_.statedAt + internal::reportTolerance) {
        limit_ = reported;
    }
}

std::optional<double> ServerStatements::limit(core::MonotonicTime now) const noexcept
{
    return now < limit_.statedAt + internal::limitExpiry ? limit_.perSecond : std::nullopt;
}

core::Milliseconds ServerStatements::waitTime(const LimitSplitter &splitter, const std::string &serverId, core::MonotonicTime now)
{
    const auto perSecond = limit(now);
    if (!perSecond) {
        bucket_.reset();
        return core::Milliseconds(0);
    }
    const auto holders = limitHolders(*perSecond, splitter.gatewayCount(now));
    const double rate = *perSecond / static_cast<double>(holders);
    const double depth = std::max(rate * internal::bucketTime.count(), 1.0);
    if (!bucket_) {
        // Empty, as the requests that were sent before the statement count too.
        bucket_.emplace(rate, depth, now, 0.0);
    }
    bucket_->configure(rate, depth, now);
    const bool isHolder = rate > 0 && splitter.shareOf(holders, serverId, now) > 0;
    return isHolder ? bucket_->waitTime(now) : internal::notHolderWait;
}

void ServerStatements::onSent(core::MonotonicTime now)
{
    if (bucket_) {
        static_cast<void>(bucket_->take(now));
    }
}

} // namespace cyclamenspool::gateway
