#pragma once

#include <string>

namespace cyclamenspool::world {

/** @brief An entry of the platform's list of VMs. */
struct Vm {
    std::string name;
    std::string zone; /**< Availability zone. */
    std::string role; /**< "router" or "agent". */
    std::string address; /**< IP number and port for the system's own processes. */
    std::string group; /**< Backend server group of an agent. */
    std::string server; /**< Backend server of an agent. */
    std::string state = "live"; /**< "live" or "leaving". */
};

/** @brief Operators' mark that an availability zone or a VM takes no new work. */
struct LeavingMark {
    std::string name;
    std::string kind; /**< "zone" or "vm". */
};

} // namespace cyclamenspool::world
