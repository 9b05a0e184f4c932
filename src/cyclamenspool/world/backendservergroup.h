#pragma once

#include <string>
#include <vector>

namespace cyclamenspool::world {

/** @brief Backend servers of one pool that have the same weight. */
struct BackendServerGroup {
    std::string name;
    std::string pool; /**< Name of the pool. */
    double weight = 1.0; /**< Relative capacity of each server. */
    std::string zone; /**< Availability zone of the servers; empty: more than one. */
    bool checksFencing = false; /**< Whether the engines reject an order to load a model if its fencing token is outdated. */
    std::vector<std::string> servers; /**< Names of the servers; required for services with non-idempotent methods. */
};

} // namespace cyclamenspool::world
