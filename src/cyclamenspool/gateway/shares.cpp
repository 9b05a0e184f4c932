#include <cyclamenspool/gateway/shares.h>

#include <cyclamenspool/core/hash.h>

#include <algorithm>

namespace cyclamenspool::gateway {

namespace internal {

/* A gateway that is silent for longer is taken for removed; restarts and cuts are shorter. */
constexpr std::chrono::seconds memory{30};

} // namespace internal

Shares::Shares(std::string self, std::size_t leastGateways)
    : self_(std::move(self))
    , leastGateways_(leastGateways)
{
}

void Shares::onGateway(const std::string &vm, core::MonotonicTime now)
{
    heard_[vm] = now;
}

std::vector<std::string> Shares::othersAlive(core::MonotonicTime now) const
{
    std::vector<std::string> others;
    for (const auto &[vm, heard] : heard_) {
        if (vm != self_ && heard + internal::memory > now) {
            others.push_back(vm);
        }
    }
    return others;
}

std::size_t Shares::gateways(core::MonotonicTime now) const
{
    const auto others = std::count_if(heard_.begin(), heard_.end(), [this, now](const auto &entry) {
        return entry.first != self_ && entry.second + internal::memory > now;
    });
    return std::max(static_cast<std::size_t>(others) + 1, leastGateways_);
}

std::size_t Shares::part(std::size_t whole, const std::string &subject, core::MonotonicTime now) const
{
    const auto others = othersAlive(now);
    const auto known = others.size() + 1;
    const auto count = std::max(known, leastGateways_);
    const auto seed = core::hash64(subject);
    const auto own = core::hash64(self_, seed);
    const auto ranksBefore = std::count_if(others.begin(), others.end(), [seed, own](const std::string &vm) {
        return core::hash64(vm, seed) < own;
    });
    // Gateways that are not known may rank before this one.
    const auto before = static_cast<std::size_t>(ranksBefore) + count - known;
    return whole / count + (before < whole % count ? 1 : 0);
}

} // namespace cyclamenspool::gateway
