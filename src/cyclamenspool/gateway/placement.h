#pragma once

#include <cyclamenspool/core/errorkind.h>
#include <cyclamenspool/gateway/fleet.h>
#include <cyclamenspool/world/route.h>

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenspool::gateway {

/** @brief What a placement is asked for. */
struct PlacementQuery {
    std::string service;
    std::uint64_t historyKey = 0; /**< Hash of the prompt part that should be warm; 0: none. */
    std::uint32_t historyTokens = 0; /**< Size of the prompt up to that part. */
    std::vector<std::string> holders; /**< Backend servers that were sent the history lately. */
    std::vector<std::string> tried; /**< Backend servers that were asked already. */
};

/** @brief Bounds that hold over all gateways. */
struct PlacementBounds {
    std::string zone; /**< Own zone. */
    double loadFactor = 2.0; /**< Largest multiple of the mean load. */
    double coldRequests = 0.0; /**< Requests in a second that a cold backend server bears; 0: no bound. */
    int connections = 100; /**< Connections to a backend server. */
};

/**
 * @brief Finds a backend server from which a history's cache may be fetched.
 * @param fleet Fleet.
 * @param historyKey Hash of the prompt part; not 0.
 * @param chosen Backend server that the request goes to.
 * @param holders Backend servers that were sent the history, the newest first.
 * @param now Time.
 * @return Source; null: the chosen one holds it already, or nobody does.
 */
[[nodiscard]] ServerPtr findHistorySource(const Fleet &fleet,
                                          std::uint64_t historyKey,
                                          const ServerState &chosen,
                                          const std::vector<std::string> &holders,
                                          core::MonotonicTime now);

/** @brief Result of a placement: a backend server, or why there is none. */
struct Placement {
    ServerPtr server;
    core::ErrorKind refusal = core::ErrorKind::NoCandidate;
    const char *reason = "";
};

/**
 * @brief Chooses a backend server.
 *
 * A prompt goes to the first of its rendezvous order that is under the load bound, those that hold its history before all others. A small history is
 * kept once in each zone, as its copy costs less than the requests that would cross zones. Other requests stay in the zone while the bound allows.
 * @param fleet Fleet.
 * @param shares Split of the bounds.
 * @param query Query.
 * @param bounds Bounds.
 * @param now Time.
 * @return Placement.
 */
[[nodiscard]] Placement place(const Fleet &fleet, const Shares &shares, const PlacementQuery &query, const PlacementBounds &bounds, core::MonotonicTime now);

} // namespace cyclamenspool::gateway
