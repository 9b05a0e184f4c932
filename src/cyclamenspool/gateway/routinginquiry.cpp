#include <cyclamenspool/gateway/routinginquiry.h>

#include <algorithm>
#include <limits>

namespace cyclamenspool::gateway {

namespace internal {

constexpr core::Milliseconds answerTime{1000}; /* a frozen peer must not keep the gateway from starting */
constexpr core::Milliseconds namingTime{300}; /* for a running peer to call if all asked ones start too; connections wait longer than that */
constexpr core::Milliseconds documentTime{3000}; /* the peer that named the version may have failed since */
constexpr core::Milliseconds startPullInterval{300};
constexpr core::Milliseconds pullInterval{1000}; /* doubled each time: a document of a later software version may not be readable here */
constexpr core::Milliseconds maxPullInterval{60000};
constexpr int maxDoublings = 6;

} // namespace internal

void RoutingInquiry::start(const std::set<std::string> &peers, core::MonotonicTime now)
{
    isAnyoneAsked_ = !peers.empty();
    unanswered_.clear();
    for (const auto &peer : peers) {
        unanswered_.emplace(peer, false);
    }
    startedAt_ = now;
}

void RoutingInquiry::onAnswered(const std::string &peer, std::optional<std::uint64_t> version)
{
    unanswered_.erase(peer);
    isTold_ = isTold_ || version.value_or(0) > 0;
    highestNamed_ = std::max(highestNamed_, version.value_or(0));
}

bool RoutingInquiry::onNamed(const std::string &peer, std::uint64_t version, core::MonotonicTime now)
{
    highestNamed_ = std::max(highestNamed_, version);
    if (version == 0 || !isWaiting(now)) {
        return false;
    }
    const auto [asked, isNew] = unanswered_.try_emplace(peer);
    asked->second = true;
    return isNew;
}

void RoutingInquiry::onFailed(const std::string &peer)
{
    unanswered_.erase(peer);
}

void RoutingInquiry::onUnreached(const std::string &peer)
{
    const auto found = unanswered_.find(peer);
    if (found != unanswered_.end() && !found->second) {
        unanswered_.erase(found);
    }
}

std::vector<std::string> RoutingInquiry::unanswered() const
{
    std::vector<std::string> peers;
    for (const auto &[peer, hasNamed] : unanswered_) {
        peers.push_back(peer);
    }
    return peers;
}

bool RoutingInquiry::isWaiting(core::MonotonicTime now) const noexcept
{
    const bool isAnswerMissing = !unanswered_.empty() && now < startedAt_ + internal::answerTime;
    const bool mayPeerCall = isAnyoneAsked_ && now < startedAt_ + internal::namingTime;
    return !isTold_ && !isStoreComplete_ && (isAnswerMissing || mayPeerCall);
}

void RoutingInquiry::onStoreRead(std::uint64_t era) noexcept
{
    isStoreComplete_ = isStoreComplete_ || era == 0;
}

std::optional<core::MonotonicTime> RoutingInquiry::nextChange(core::MonotonicTime now) const noexcept
{
    if (isWaiting(now)) {
        return startedAt_ + (now < startedAt_ + internal::namingTime ? internal::namingTime : internal::answerTime);
    }
    const bool isDocumentDue = highestNamed_ > 0 && now < startedAt_ + internal::documentTime;
    return isDocumentDue ? std::optional(startedAt_ + internal::documentTime) : std::nullopt;
}

std::uint64_t RoutingInquiry::lowestVersion(core::MonotonicTime now) const noexcept
{
    if (isWaiting(now)) {
        return std::numeric_limits<std::uint64_t>::max();
    }
    return now < startedAt_ + internal::documentTime ? highestNamed_ : 0;
}

bool RoutingInquiry::isPullDue(std::uint64_t version, const Versions &own, bool hasLaterCopy, core::MonotonicTime now) const noexcept
{
    const bool isStarting = own.inForce == 0;
    const auto doubled = internal::pullInterval * (1 << std::clamp(pulls_ - 1, 0, internal::maxDoublings));
    const auto interval = isStarting ? internal::startPullInterval : std::min(doubled, internal::maxPullInterval);
    const bool isAskedFor = version <= pulledVersion_ && now < pulledAt_ + interval;
    return version > own.known && (isStarting || !hasLaterCopy) && !isAskedFor;
}

void RoutingInquiry::onPull(std::uint64_t version, core::MonotonicTime now) noexcept
{
    pulls_ = version > pulledVersion_ ? 1 : pulls_ + 1;
    pulledVersion_ = std::max(pulledVersion_, version);
    pulledAt_ = now;
}

} // namespace cyclamenspool::gateway
