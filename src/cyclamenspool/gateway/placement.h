#pragma once

#include <cyclamenspool/core/errorkind.h>
#include <cyclamenspool/gateway/fleet.h>
#include <cyclamenspool/gateway/historyprefixes.h>
#include <cyclamenspool/gateway/scheduling/servicecapacity.h>
#include <cyclamenspool/world/route.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenspool::gateway {

/** @brief Prompt of a request whose time to the first event is to be estimated. */
struct PromptDemand {
    scheduling::ServiceCapacity *capacity = nullptr; /**< Of its service; null: the time is not estimated. */
    std::uint32_t tokens = 0; /**< Of the whole prompt. */
    int urgency = 0; /**< 0 is the most urgent. */
    int slots = 0; /**< Requests that a backend server can run at once; 0: not known. */
    core::Milliseconds limit{0}; /**< Longest expected time with which the request is sent. */
    core::Milliseconds objective{0}; /**< Longest expected time with which the first choice is kept while another server is within the limit. */
};

/** @brief Request for which a backend server is to be chosen. */
struct PlacementQuery {
    std::string service;
    std::uint64_t historyKey = 0; /**< Hash that identifies the history, see HistoryDirectory; 0: none. */
    std::uint32_t historyTokens = 0; /**< Tokens of all prompt parts but the last one, which belongs to this request alone. */
    HistoryHolders holders; /**< Backend servers that were sent the history, or its beginning, recently. */
    std::vector<std::string> tried; /**< Ids of the backend servers that were already chosen for this request; they are not chosen again. */
    PromptDemand prompt{};
};

/** @brief Limits on the choice of a backend server, and the zone of this gateway. The limits hold for all gateways together. */
struct PlacementLimits {
    std::string zone; /**< Own zone. */
    double loadFactor = 2.0; /**< Load bound of a backend server, as a multiple of the mean load of the service's servers. */
    double coldRequestsPerSecond
        = 0.0; /**< Request rate limit of a backend server during its cold start, after the factor and slack of the settings; 0: no limit. */
    int maxConnections
        = 100; /**< Maximum number of requests in flight at one backend server, each on a connection of its own; idle connections are not counted. */
};

/**
 * @brief Finds a backend server from which the chosen one can fetch a history, or its beginning, out of the prompt cache.
 * @param fleet Backend servers.
 * @param query Request; it has a history.
 * @param chosen Backend server that the request goes to.
 * @param now Current time.
 * @return Source; null if the chosen server was sent the history already, or no other server is likely to hold any of it.
 */
[[nodiscard]] ServerPtr findHistorySource(const Fleet &fleet, const PlacementQuery &query, const ServerState &chosen, core::MonotonicTime now);

/** @brief Chosen backend server, or the reason why there is none. */
struct Placement {
    ServerPtr server;
    core::ErrorKind refusal = core::ErrorKind::NoCandidate; /**< Meaningful without a server only. */
    const char *reason = ""; /**< Reason of the choice or of the refusal, for the log. */
    core::Milliseconds availableIn{0}; /**< Time until a server may get a request again, as the servers say; zero: not known. Without a server only. */
    std::optional<scheduling::FirstEventEstimate> estimate{}; /**< At the server; empty without a server or if the time is not estimated. */
    bool hasRoomElsewhere = false; /**< Over the limit at the server, but another one is within it. */
};

/**
 * @brief Chooses a backend server by rendezvous hashing with bounded loads.
 *
 * A request with a history goes to the first server in the rendezvous order of the history that is below the load bound. Servers that hold a large history,
 * of more than 1,000 tokens, rank before all others. For a small one, servers of the own zone rank first, so that each zone keeps a copy: copying it costs
 * less than the requests that would cross zones. Requests without a history go to the least loaded server of the own zone, and to other zones when none
 * there is below the bound. If no server is below the bound, the least loaded one is chosen, and a suspect one only if there is no other.
 *
 * With an estimate of the time to the first event, the choice among the servers below the bound is kept while that time is within the limit. Otherwise the
 * server with the least sum of that time and of the time to process the request's own prompt is chosen: the latter is time that others have to wait, so a
 * server that holds a shared part, or is processing it, is preferred to a second one that would process it too.
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
