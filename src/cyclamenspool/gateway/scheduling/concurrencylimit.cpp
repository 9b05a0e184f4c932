#include <cyclamenspool/gateway/scheduling/concurrencylimit.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace cyclamenspool::gateway::scheduling {

namespace internal {

using core::Milliseconds;

constexpr std::size_t maxSamples = 8;
constexpr std::size_t minSamples = 4;
constexpr Milliseconds sampleAge{1000};
constexpr double objectiveShare = 0.45; /* of the objective, for the time at the backend servers; the rest is for waiting at the gateway */
constexpr double unloadedFactor = 2.0; /* a service whose requests take most of the objective anyway counts as slow at this multiple */
constexpr double risingFactor = 1.5; /* of the response time without load; below that, the servers are not taken for full whatever their slots */
constexpr double queueShare = 0.7; /* of the target, that the requests in flight have to account for: slower servers are no reason to send less */
constexpr double increase = 0.02; /* for each arrival that finds the limit reached */
constexpr double minFactor = 0.5;
constexpr double maxFactor = 0.9;
constexpr double latestWeight = 0.1; /* of a response, in the expected response time */
constexpr double rejectionFactor = 0.7;
constexpr Milliseconds minDecreaseInterval{50};
constexpr Milliseconds unusedTime{2000}; /* after which a limit that is not reached ends */

double ratioOf(core::MonotonicTime::duration time, Milliseconds objective)
{
    return std::chrono::duration<double>(time) / std::chrono::duration<double>(objective);
}

} // namespace internal

bool ConcurrencyLimit::record(double ratio, core::MonotonicTime now)
{
    samples_.push_back({now, ratio});
    while (samples_.size() > internal::maxSamples || samples_.front().at + internal::sampleAge < now) {
        samples_.pop_front();
    }
    if (samples_.size() < internal::minSamples) {
        return false;
    }
    // The median leaves out single servers that are slow or silent.
    std::vector<double> ratios;
    ratios.reserve(samples_.size());
    for (const auto &sample : samples_) {
        ratios.push_back(sample.ratio);
    }
    const auto middle = ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
    std::nth_element(ratios.begin(), middle, ratios.end());
    median_ = *middle;
    return true;
}

double ConcurrencyLimit::targetRatio() const noexcept
{
    return std::max(internal::objectiveShare, internal::unloadedFactor * unloaded_.value_or(0));
}

void ConcurrencyLimit::onResponse(core::MonotonicTime::duration time, core::Milliseconds objective, const ServiceLoad &load, core::MonotonicTime now)
{
    const auto ratio = internal::ratioOf(time, objective);
    expected_ = expected_ ? *expected_ + (ratio - *expected_) * internal::latestWeight : ratio;
    if (!record(ratio, now)) {
        return;
    }
    const auto median = *median_;
    if (!limit_) {
        unloaded_ = std::min(unloaded_.value_or(median), median);
    }
    followSlots(load.slots);
    const auto target = targetRatio();
    const bool isSlow = median > target && isQueueLong(load);
    risesUntil_ = isSlow ? now : now + internal::sampleAge;
    if (isSlow && now >= nextDecreaseAt_) {
        decrease(std::clamp(target / median, internal::minFactor, internal::maxFactor), load, now);
        nextDecreaseAt_ = now + std::max(std::chrono::duration_cast<core::Milliseconds>(time), internal::minDecreaseInterval);
    }
}

void ConcurrencyLimit::onRejected(const ServiceLoad &load, core::MonotonicTime now)
{
    if (load.isQueued() && now >= nextDecreaseAt_) {
        decrease(internal::rejectionFactor, load, now);
        nextDecreaseAt_ = now + internal::minDecreaseInterval;
    }
}

void ConcurrencyLimit::decrease(double factor, const ServiceLoad &load, core::MonotonicTime now)
{
    const auto used = std::min(limit_.value_or(load.own), static_cast<double>(load.own));
    limit_ = std::max(1.0, used * factor);
    slots_ = load.slots;
    reachedAt_ = now;
    risesUntil_ = now;
    samples_.clear(); // Responses to what was sent before the change say nothing of the new limit.
}

void ConcurrencyLimit::followSlots(int slots)
{
    if (limit_ && slots_ > 0 && slots > 0 && slots != slots_) {
        limit_ = std::max(1.0, *limit_ * slots / slots_);
        slots_ = slots;
    }
}

bool ConcurrencyLimit::isQueueLong(const ServiceLoad &load) const noexcept
{
    const double expected = unloaded_.value_or(0) * load.total;
    return load.isQueued() && (!unloaded_ || expected > internal::queueShare * targetRatio() * load.slots);
}

bool ConcurrencyLimit::isOverloadExpected(const ServiceLoad &load) const noexcept
{
    if (!unloaded_ || !median_ || load.slots == 0 || *median_ < internal::risingFactor * *unloaded_) {
        return false;
    }
    return *unloaded_ * load.total > targetRatio() * load.slots;
}

void ConcurrencyLimit::onDemand(const ServiceLoad &load, bool isNew, core::MonotonicTime now)
{
    if (!limit_) {
        if (isOverloadExpected(load)) {
            decrease(1, load, now);
        }
        return;
    }
    followSlots(load.slots);
    if (load.own >= *limit()) {
        reachedAt_ = now;
        *limit_ += isNew && now < risesUntil_ ? internal::increase : 0;
    } else if (now > reachedAt_ + internal::unusedTime) {
        limit_.reset();
    }
}

std::optional<int> ConcurrencyLimit::limit() const noexcept
{
    return limit_ ? std::optional<int>(static_cast<int>(*limit_)) : std::nullopt;
}

core::Milliseconds ConcurrencyLimit::responseTime(core::Milliseconds objective) const
{
    return std::chrono::duration_cast<core::Milliseconds>(objective * expected_.value_or(internal::objectiveShare));
}

} // namespace cyclamenspool::gateway::scheduling
