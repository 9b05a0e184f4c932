#pragma once

#include <string>
#include <vector>

namespace cyclamenspool::world {

/** @brief A customer's share of the system. */
struct Workspace {
    std::string name;
    double weight = 1.0;
    double requestsPerSecond = 0.0; /**< Limit over the whole fleet; 0: no limit. */
    int priority = 0;
    std::vector<std::string> pools; /**< Pools it may use; empty: all. */
};

} // namespace cyclamenspool::world
