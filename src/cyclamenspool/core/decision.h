#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenspool::core {

/** @brief Routing or placement decision, logged as one line. */
struct Decision {
    std::string kind; /**< Event name of the log line: "route", "answer", "admit", "order" or "view". */
    std::string request; /**< Request ID. */
    std::string chat;
    std::string workspace;
    std::string pool;
    std::vector<std::string> candidates; /**< Backend servers that were considered. */
    std::string choice; /**< Result of the decision. */
    std::string reason;
    std::uint64_t revision = 0; /**< Revision of the fleet view. */
};

} // namespace cyclamenspool::core
