#include <cyclamenspool/gateway/routinginquiry.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace cyclamenspool::gateway {

namespace internal {

constexpr core::Milliseconds answerTime{1000}; /* a frozen peer must not keep the gateway from starting */
constexpr core::Milliseconds documentTime{3000}; /* the peer that named the version may have failed since */
constexpr core::Milliseconds startPullInterval{300};
constexpr core::Milliseconds pullInterval{1000}; /* a document that cannot be read here is asked for again and again */

} // namespace internal

void RoutingInquiry::start(std::set<std::string> peers, core::MonotonicTime now)
{
    unanswered_ = std::move(peers);
    startedAt_ = now;
}

void RoutingInquiry::onAnswered(const std::string &peer, std::optional<std::uint64_t> version)
{
    unanswered_.erase(peer);
    isTold_ = isTold_ || version.value_or(0) > 0;
    onNamed(version.value_or(0));
}

void RoutingInquiry::onNamed(std::uint64_t version) noexcept
{
    highestNamed_ = std::max(highestNamed_, version);
}

void RoutingInquiry::onFailed(const std::string &peer)
{
    unanswered_.erase(peer);
}

std::uint64_t RoutingInquiry::lowestVersion(core::MonotonicTime now) const noexcept
{
    if (!isTold_ && !unanswered_.empty() && now < startedAt_ + internal::answerTime) {
        return std::numeric_limits<std::uint64_t>::max();
    }
    return now < startedAt_ + internal::documentTime ? highestNamed_ : 0;
}

bool RoutingInquiry::isPullDue(std::uint64_t version, const Versions &own, bool hasLaterCopy, core::MonotonicTime now) const noexcept
{
    const bool isStarting = own.inForce == 0;
    const bool isAskedFor = version <= pulledVersion_ && now < pulledAt_ + (isStarting ? internal::startPullInterval : internal::pullInterval);
    return version > own.known && (isStarting || !hasLaterCopy) && !isAskedFor;
}

void RoutingInquiry::onPull(std::uint64_t version, core::MonotonicTime now) noexcept
{
    pulledVersion_ = version;
    pulledAt_ = now;
}

} // namespace cyclamenspool::gateway
