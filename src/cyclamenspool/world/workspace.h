#pragma once

#include <string>
#include <vector>

namespace cyclamenspool::world {

/** @brief Workspace of a customer and its limits. */
struct Workspace {
    std::string name;
    double weight = 1.0; /**< Validated, but not used. */
    double requestsPerSecond = 0.0; /**< Rate limit over the whole fleet; 0: no limit. */
    int priority = 0; /**< Minimum priority of its requests, -10 to 10; a request with a larger number keeps its own. Not on the scale of Route::priority. */
    std::vector<std::string> pools; /**< Pools that it can use; empty: all. */
};

} // namespace cyclamenspool::world
