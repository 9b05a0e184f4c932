#pragma once

#include <cyclamenspool/core/now.h>
#include <cyclamenspool/world/vm.h>

#include <cstddef>
#include <map>
#include <string>

namespace cyclamenspool::member {

/** @brief Limits on the fleet's calls to the platform's services, that is the configuration service and the VM list. */
struct WatchLimits {
    std::size_t watchersPerZone = 2; /**< VMs of each availability zone that watch the services. */
    core::Milliseconds updateTimeout{3000}; /**< Time without updates after which a process polls the services itself. */
    double maxCallsPerSecond = 1000.0; /**< Limit of the calls for such polls over the whole fleet; half of the rate that the services allow. */
    core::Milliseconds minPollInterval{500}; /**< Lower bound of the poll interval. */
};

/**
 * @brief Returns whether a VM watches the platform's services on behalf of its availability zone.
 *
 * A VM is a watcher if fewer than WatchLimits::watchersPerZone live VMs of its zone have a lower hash of their name, so that processes
 * with the same list agree. As only live VMs are counted, a leaving VM can be one more watcher.
 * @param vms VMs of the fleet by name.
 * @param vm Name of the VM.
 * @param zone Its availability zone.
 * @param limits Number of watchers per zone.
 * @return True if the VM is a watcher or not listed.
 */
[[nodiscard]] bool isWatcher(const std::map<std::string, world::Vm> &vms, const std::string &vm, const std::string &zone, const WatchLimits &limits);

/**
 * @brief Returns the interval at which a process that receives no updates from watchers polls the services.
 * @param fleetSize Number of VMs.
 * @param documentCount Number of documents polled by each VM.
 * @param limits Call rate limit and shortest interval.
 */
[[nodiscard]] core::Milliseconds fallbackPollInterval(std::size_t fleetSize, std::size_t documentCount, const WatchLimits &limits);

} // namespace cyclamenspool::member
