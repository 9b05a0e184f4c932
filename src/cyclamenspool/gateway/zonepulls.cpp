#include <cyclamenspool/gateway/zonepulls.h>

#include <cyclamenspool/core/hash.h>
#include <cyclamenspool/gateway/fanout.h>

#include <algorithm>
#include <utility>

namespace cyclamenspool::gateway {

namespace internal {

using core::Milliseconds;

constexpr Milliseconds minPullPeriod{100};
constexpr Milliseconds pullTimeout{400};
constexpr Milliseconds partnerAvoidance{5000}; /* longer than a restart */
constexpr Milliseconds minTotalsMaxAge{1500};
constexpr int maxAgePeriods = 3; /* the same age in periods; the longer one applies */
constexpr double sharePeriods = 1.5; /* time without a shared reply, in periods, after which a gateway asks for itself */
constexpr Milliseconds shareMargin{100}; /* added to that time: a share passes through several gateways */
constexpr Milliseconds neverReplied{60000};
constexpr double replyBytesPerSecond = 9000; /* of the 19 KB/s that a gateway may use for control messages */
constexpr std::size_t messageOverhead = 200; /* bytes of a request and of the headers of both messages */

} // namespace internal

ZonePulls::ZonePulls(std::string self)
    : self_(std::move(self))
{
}

void ZonePulls::addGateway(const std::string &address, const std::string &zone)
{
    gateways_[address].zone = zone;
    zones_.try_emplace(zone);
}

void ZonePulls::removeGateway(const std::string &address)
{
    const auto found = gateways_.find(address);
    if (found == gateways_.end()) {
        return;
    }
    const auto zone = found->second.zone;
    gateways_.erase(found);
    const bool isZoneEmpty = std::none_of(gateways_.begin(), gateways_.end(), [&zone](const auto &entry) {
        return entry.second.zone == zone;
    });
    if (isZoneEmpty) {
        zones_.erase(zone);
    }
}

const std::string *ZonePulls::choosePartner(const std::string &zone, core::MonotonicTime now) const
{
    const std::string *best = nullptr;
    std::pair<bool, std::uint64_t> bestRank;
    for (const auto &[address, gateway] : gateways_) {
        if (gateway.zone != zone) {
            continue;
        }
        const std::pair rank(gateway.avoidUntil > now, core::hash64(address, core::hash64(self_)));
        if (best == nullptr || rank < bestRank) {
            best = &address;
            bestRank = rank;
        }
    }
    return best;
}

std::vector<ZonePullRequest> ZonePulls::takeDue(core::MonotonicTime now, const std::vector<std::string> &members)
{
    const auto shareTimeout = std::chrono::duration_cast<core::Milliseconds>(period() * internal::sharePeriods) + internal::shareMargin;
    std::vector<ZonePullRequest> requests;
    for (auto &[name, zone] : zones_) {
        const auto sinceRequest = now - zone.requestedAt;
        const bool isTimedOut = !zone.pendingAddress.empty() && sinceRequest >= internal::pullTimeout;
        if (isTimedOut) {
            avoid(std::exchange(zone.pendingAddress, {}), now);
        }
        const bool isExpected = now - zone.repliedAt < shareTimeout && !isOnDuty(name, self_, members);
        const bool isDue = zone.pendingAddress.empty() && !isExpected && (isTimedOut || sinceRequest >= period());
        const auto *partner = isDue ? choosePartner(name, now) : nullptr;
        if (partner == nullptr) {
            continue;
        }
        zone.requestedAt = now;
        zone.pendingAddress = *partner;
        const bool hasReplied = zone.repliedAt != core::MonotonicTime{};
        const auto sinceReply = std::chrono::duration_cast<core::Milliseconds>(now - zone.repliedAt);
        requests.push_back({name, *partner, hasReplied ? std::min(sinceReply, internal::neverReplied) : internal::neverReplied});
    }
    return requests;
}

void ZonePulls::onReply(const std::string &zone, std::size_t bytes, core::MonotonicTime now)
{
    const auto found = zones_.find(zone);
    if (found == zones_.end()) {
        return;
    }
    found->second.repliedAt = now;
    found->second.pendingAddress.clear();
    found->second.replyBytes = bytes;
}

void ZonePulls::onRequestEnded(const std::string &zone, const std::string &address, core::MonotonicTime now)
{
    const auto found = zones_.find(zone);
    if (found == zones_.end() || found->second.pendingAddress != address) {
        return;
    }
    found->second.pendingAddress.clear();
    // The next partner is asked without waiting for the period.
    found->second.requestedAt = now - period();
    avoid(address, now);
}

void ZonePulls::avoid(const std::string &address, core::MonotonicTime now)
{
    const auto found = gateways_.find(address);
    if (found != gateways_.end()) {
        found->second.avoidUntil = now + internal::partnerAvoidance;
    }
}

core::Milliseconds ZonePulls::period() const
{
    std::size_t bytes = 0;
    for (const auto &[name, zone] : zones_) {
        bytes += zone.replyBytes + internal::messageOverhead;
    }
    const std::chrono::duration<double> budgeted(static_cast<double>(bytes) / internal::replyBytesPerSecond);
    return std::max(internal::minPullPeriod, std::chrono::duration_cast<core::Milliseconds>(budgeted));
}

core::Milliseconds ZonePulls::maxAge() const
{
    return std::max(internal::minTotalsMaxAge, period() * internal::maxAgePeriods);
}

} // namespace cyclamenspool::gateway
