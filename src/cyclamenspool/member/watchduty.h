#pragma once

#include <cyclamenspool/core/now.h>
#include <cyclamenspool/world/vm.h>

#include <cstddef>
#include <map>
#include <string>

namespace cyclamenspool::member {

/** @brief Bounds on reading the platform's services. */
struct WatchRules {
    std::size_t watchersPerZone = 2; /**< VMs of an availability zone that watch the services. */
    core::Milliseconds silence{3000}; /**< Without news of the services for this long, every process polls them. */
    double callsPerSecond = 1000.0; /**< Calls that the whole fleet may spend on such polls; half of the services' budget. */
    core::Milliseconds shortestPoll{500};
};

/**
 * @brief Tells whether a VM is one of those that watch the platform's services for its availability zone.
 *
 * The VMs of a zone with the lowest hashes of their names watch; every process with the same list agrees.
 * @param vms List of VMs.
 * @param vm VM.
 * @param zone Its availability zone.
 * @param rules Rules.
 * @return True if so, or if the list does not name the VM.
 */
[[nodiscard]] bool isWatcher(const std::map<std::string, world::Vm> &vms, const std::string &vm, const std::string &zone, const WatchRules &rules);

/** @brief Returns the poll interval of a process that no watcher reaches. @param fleet Number of VMs. @param documents Documents polled. @param rules Rules.
 * @return Interval. */
[[nodiscard]] core::Milliseconds fallbackPoll(std::size_t fleet, std::size_t documents, const WatchRules &rules);

} // namespace cyclamenspool::member
