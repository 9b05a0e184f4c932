#include <cyclamenspool/member/watchduty.h>

#include <cyclamenspool/core/hash.h>

#include <algorithm>

namespace cyclamenspool::member {

bool isWatcher(const std::map<std::string, world::Vm> &vms, const std::string &vm, const std::string &zone, const WatchLimits &limits)
{
    if (vms.count(vm) == 0) {
        return true;
    }
    const auto ownHash = core::hash64(vm);
    std::size_t lowerHashes = 0;
    for (const auto &[name, other] : vms) {
        if (other.zone == zone && other.state == "live" && core::hash64(name) < ownHash) {
            ++lowerHashes;
        }
    }
    return lowerHashes < limits.watchersPerZone;
}

core::Milliseconds fallbackPollInterval(std::size_t fleetSize, std::size_t documentCount, const WatchLimits &limits)
{
    constexpr double millisPerSecond = 1000.0;
    const double calls = static_cast<double>(fleetSize) * static_cast<double>(documentCount);
    const core::Milliseconds interval(static_cast<long>(calls / limits.maxCallsPerSecond * millisPerSecond));
    return std::max(interval, limits.minPollInterval);
}

} // namespace cyclamenspool::member
