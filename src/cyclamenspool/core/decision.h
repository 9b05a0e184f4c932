#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenspool::core {

/** @brief A routing or placement decision, written as one log line. */
struct Decision {
    std::string kind; /**< "route", "answer", "admit", "order", "handover" or "view". */
    std::string request;
    std::string chat;
    std::string workspace;
    std::string pool;
    std::vector<std::string> candidates;
    std::string choice;
    std::string reason;
    std::uint64_t revision = 0;
};

} // namespace cyclamenspool::core
