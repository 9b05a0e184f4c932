#pragma once

#include <string>

namespace cyclamenspool::world {

/** @brief Entry of the platform's VM list. */
struct Vm {
    std::string name;
    std::string zone; /**< Availability zone. */
    std::string role; /**< "router" or "agent". */
    std::string address; /**< IP address and port for the traffic between the fleet's own processes. */
    std::string group; /**< Backend server group; agents only. */
    std::string server; /**< Name of the backend server; agents only. */
    std::string state = "live"; /**< "live" or "leaving". */
};

/** @brief Mark set by the operators on an availability zone, VM or backend server that accepts no new work. */
struct LeavingMark {
    std::string name;
    std::string kind; /**< "zone", "vm" or "server". */
};

} // namespace cyclamenspool::world
