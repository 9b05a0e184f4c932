#pragma once

#include <cyclamenspool/core/errorkind.h>
#include <cyclamenspool/gateway/fleet.h>
#include <cyclamenspool/world/route.h>

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenspool::gateway {

/** @brief Request for which a backend server is to be chosen. */
struct PlacementQuery {
    std::string service;
    std::uint64_t historyKey = 0; /**< Hash of the prompt prefix that should be in the server's cache; 0: none. */
    std::uint32_t historyTokens = 0; /**< Prompt tokens before the part that belongs to this request alone. */
    std::vector<std::string> holders; /**< Backend servers that were sent the history recently. */
    std::vector<std::string> tried; /**< Backend servers that this request was sent to already. */
};

/** @brief Limits that hold for all gateways together, and the zone of this one. */
struct PlacementLimits {
    std::string zone; /**< Own zone. */
    double loadFactor = 2.0; /**< Load bound of a backend server, as a multiple of the mean load. */
    double coldRequestsPerSecond = 0.0; /**< Requests per second that a cold backend server may get; 0: no limit. */
    int maxConnections = 100; /**< Connections to one backend server. */
};

/**
 * @brief Finds a backend server from which the cache of a history may be fetched.
 * @param fleet Backend servers.
 * @param historyKey Hash of the prompt prefix; not 0.
 * @param chosen Backend server that the request goes to.
 * @param holders Backend servers that were sent the history, the latest first.
 * @param now Current time.
 * @return Source; null if the chosen server was sent the history already, or no other server is likely to hold it.
 */
[[nodiscard]] ServerPtr findHistorySource(const Fleet &fleet,
                                          std::uint64_t historyKey,
                                          const ServerState &chosen,
                                          const std::vector<std::string> &holders,
                                          core::MonotonicTime now);

/** @brief Chosen backend server, or the reason why there is none. */
struct Placement {
    ServerPtr server;
    core::ErrorKind refusal = core::ErrorKind::NoCandidate;
    const char *reason = "";
};

/**
 * @brief Chooses a backend server by rendezvous hashing with bounded loads.
 *
 * A request with a history goes to the first server in the rendezvous order of the history that is below the load bound. Servers that hold a large history
 * rank before all others; for a small one, servers of the own zone do, so that each zone keeps a copy: copying it costs less than the requests that would
 * cross zones. Requests without a history go to the least loaded server of the own zone, and to other zones when none there is below the bound.
 * @param fleet Backend servers.
 * @param splitter Splits the limits among the gateways.
 * @param query Request.
 * @param limits Limits.
 * @param now Current time.
 * @return Placement.
 */
[[nodiscard]] Placement place(const Fleet &fleet,
                              const LimitSplitter &splitter,
                              const PlacementQuery &query,
                              const PlacementLimits &limits,
                              core::MonotonicTime now);

} // namespace cyclamenspool::gateway
