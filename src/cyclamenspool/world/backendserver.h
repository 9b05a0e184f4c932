#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace cyclamenspool::world {

/** @brief What a backend server says of itself in the platform's list. */
struct BackendServer {
    std::string id; /**< New at almost every start. */
    std::string service;
    std::string address; /**< IP number and port. */
    std::string zone;
    int slots = 1;
    bool leaving = false;
    std::chrono::milliseconds coldRemaining{0}; /**< At the time of the report. */
    std::uint64_t started = 0; /**< Unix milliseconds of its start; 0: unknown. */
    std::uint64_t revision = 0; /**< Revision of the list at which the report was accepted. */
};

} // namespace cyclamenspool::world
