#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace cyclamenspool::world {

/** @brief Record of a backend server in the platform's store, as reported by the server; used by gateways. */
struct BackendServer {
    std::string id; /**< Usually different after each start. */
    std::string service; /**< Name of the service that it runs. */
    std::string address; /**< IP address and port. */
    std::string zone; /**< Availability zone. */
    int slots = 1; /**< Requests that it runs concurrently. */
    bool leaving = false; /**< Whether it is draining and accepts no new work. */
    std::chrono::milliseconds coldRemaining{0}; /**< Remaining duration of the cold start at the time of the report. */
    std::uint64_t startedUnixMs = 0; /**< Start time in milliseconds since the Unix epoch; 0: unknown. */
    std::optional<std::uint64_t> sequence; /**< Count that never falls within one process and begins anew with the next; empty: unknown. */
    std::uint64_t revision = 0; /**< Revision of the platform's store at which the record last changed. */

    [[nodiscard]] bool operator==(const BackendServer &) const = default;
};

} // namespace cyclamenspool::world
