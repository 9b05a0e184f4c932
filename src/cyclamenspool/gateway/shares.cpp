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

bool Shares::isAlive(core::MonotonicTime heard, core::MonotonicTime now) const
{
    return heard + internal::memory > now;
}

std::size_t Shares::gateways(core::MonotonicTime now) const
{
    std::size_t count = 1;
    for (const auto &[vm, heard] : heard_) {
        if (vm != self_ && isAlive(heard, now)) {
            ++count;
        }
    }
    return std::max(count, leastGateways_);
}

std::size_t Shares::part(std::size_t whole, const std::string &subject, core::MonotonicTime now) const
{
    const auto count = gateways(now);
    const auto rest = whole % count;
    const auto rankOf = [&subject](const std::string &vm) {
        return core::hash64(vm, core::hash64(subject));
    };
    std::size_t before = 0;
    for (const auto &[vm, heard] : heard_) {
        if (vm != self_ && isAlive(heard, now) && rankOf(vm) < rankOf(self_)) {
            ++before;
        }
    }
    // Gateways that are not known may rank before this one.
    std::size_t known = 1;
    for (const auto &[vm, heard] : heard_) {
        known += vm != self_ && isAlive(heard, now) ? 1 : 0;
    }
    before += count - std::min(count, known);
    return whole / count + (before < rest ? 1 : 0);
}

} // namespace cyclamenspool::gateway
