#pragma once

#include <string>
#include <vector>

namespace cyclamenspool::world {

/** @brief Backend servers that belong to one pool and share a weight. */
struct BackendServerGroup {
    std::string name;
    std::string pool;
    double weight = 1.0;
    std::string zone; /**< Availability zone of the members; empty: several. */
    bool checksFencing = false; /**< Whether the engines refuse an order with an old fencing number. */
    std::vector<std::string> servers; /**< Names of the members; needed for services with non-idempotent methods. */
};

} // namespace cyclamenspool::world
