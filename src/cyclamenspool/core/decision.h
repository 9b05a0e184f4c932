#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenspool::core {

/** @brief Routing or placement decision, logged as one line. */
struct Decision {
    /**
     * @brief Event name of the log line.
     *
     * "route": a router sends a request to an agent; "answer": a router ends a request; "admit": an agent admits or refuses a request, or
     * its engine begins a cold start; "order": an agent orders its engine to load a model; "view": a new view of the fleet is applied.
     */
    std::string kind;
    std::string request; /**< Request ID. */
    std::string chat;
    std::string workspace;
    std::string pool;
    std::vector<std::string> candidates; /**< Backend servers that were considered. */
    std::string choice; /**< Chosen backend server, model or outcome. */
    std::string reason;
    std::uint64_t revision = 0; /**< Revision of the fleet view. */
};

} // namespace cyclamenspool::core
