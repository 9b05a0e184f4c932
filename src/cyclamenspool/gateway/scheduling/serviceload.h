#pragma once

namespace cyclamenspool::gateway::scheduling {

/** @brief Requests in flight at the backend servers of a service that accept new ones, and the room that these state. */
struct ServiceLoad {
    int own = 0; /**< Requests of this gateway. */
    int total = 0; /**< Requests of all gateways, as far as they are reported. */
    int slots = 0; /**< Requests that the servers run concurrently. */

    /** @brief Returns whether requests queue at the servers. */
    [[nodiscard]] bool isQueued() const noexcept
    {
        return total > slots;
    }
};

} // namespace cyclamenspool::gateway::scheduling
