#include <cyclamenspool/gateway/limitsplitter.h>

#include <cyclamenspool/core/hash.h>

#include <algorithm>

namespace cyclamenspool::gateway {

namespace internal {

/* A gateway without an update for this time no longer counts for the shares; restarts and network partitions are shorter. */
constexpr std::chrono::seconds gatewayExpiry{30};

} // namespace internal

LimitSplitter::LimitSplitter(std::string self, std::size_t minGateways)
    : self_(std::move(self))
    , minGateways_(minGateways)
{
}

void LimitSplitter::onGatewaySeen(const std::string &gateway, core::MonotonicTime seenAt)
{
    auto &latest = lastSeen_[gateway];
    latest = std::max(latest, seenAt);
}

std::vector<std::string> LimitSplitter::knownPeers(core::MonotonicTime now) const
{
    std::vector<std::string> peers;
    for (const auto &[gateway, seen] : lastSeen_) {
        if (gateway != self_ && seen + internal::gatewayExpiry > now) {
            peers.push_back(gateway);
        }
    }
    return peers;
}

std::size_t LimitSplitter::gatewayCount(core::MonotonicTime now) const
{
    const auto others = std::count_if(lastSeen_.begin(), lastSeen_.end(), [this, now](const auto &entry) {
        return entry.first != self_ && entry.second + internal::gatewayExpiry > now;
    });
    return std::max(static_cast<std::size_t>(others) + 1, minGateways_);
}

std::size_t LimitSplitter::shareOf(std::size_t total, const std::string &limitKey, core::MonotonicTime now) const
{
    const auto peers = knownPeers(now);
    const auto known = peers.size() + 1;
    const auto count = std::max(known, minGateways_);
    const auto seed = core::hash64(limitKey);
    const auto own = core::hash64(self_, seed);
    const auto ranksBefore = std::count_if(peers.begin(), peers.end(), [seed, own](const std::string &gateway) {
        return core::hash64(gateway, seed) < own;
    });
    // Gateways that are not known yet may rank before this one: assume that all of them do.
    const auto before = static_cast<std::size_t>(ranksBefore) + count - known;
    return total / count + (before < total % count ? 1 : 0);
}

} // namespace cyclamenspool::gateway
