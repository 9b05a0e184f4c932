#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cyclamenspool::world {

/** @brief What may be repeated of a route's requests. */
enum class RouteKind : int { NonIdempotent, Idempotent, Streaming };

/** @brief Share of a route's requests that a service takes. */
struct TrafficShare {
    std::string service;
    double weight = 1.0;
};

/** @brief Where requests of a host and a path prefix go, and what may be done with them. */
struct Route {
    std::string name;
    std::string host; /**< Without a port, lower case. */
    std::string prefix; /**< Begins and ends with a slash. */
    RouteKind kind = RouteKind::NonIdempotent;
    std::vector<TrafficShare> services; /**< At least one. */
    std::chrono::milliseconds timeout{30000}; /**< Longest time that a request is kept waiting. */
    std::chrono::milliseconds latencyObjective{1000}; /**< To the answer; streams: to the first event. */
    std::chrono::milliseconds pauseObjective{1000}; /**< Longest pause between two events. */
    int priority = 5; /**< 0 is the most urgent. */
    int maxAttempts = 1; /**< Backend servers that one request may be sent to. */
    bool anonymous = false; /**< No API key is asked for. */
    bool resumable = false; /**< A stream may go on at another backend server. */
    bool warmHistory = false; /**< Requests carry a prompt whose parts may be cached. */

    /** @brief Tells whether a request may run more than once. @return True if so. */
    [[nodiscard]] bool mayRepeat() const noexcept
    {
        return kind == RouteKind::Idempotent || (kind == RouteKind::Streaming && resumable);
    }
};

/** @brief What the operators say of a service. */
struct ServiceTraits {
    std::string name;
    int maxConnections = 100; /**< Connections to one backend server from all VMs together. */
    std::chrono::milliseconds coldStart{0}; /**< Time that a backend server stays cold after its start. */
    double coldRequestsPerSecond = 0.0; /**< What a cold backend server bears; 0: no bound. */
    int slots = 0; /**< Requests that an engine runs at once; 0: unknown. */
};

/** @brief Bounds on what a caller may send, and how slowly. */
struct CallerLimits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 4UL * 1024 * 1024;
    std::chrono::milliseconds headerTimeout{3000};
    std::chrono::milliseconds idleTimeout{15000};
};

/** @brief A workspace as API keys name it. */
struct KeyHolder {
    std::string workspace;
    int priority = -1; /**< Goes before the route's; -1: none. */
};

/** @brief One version of the routing configuration. */
struct Routing {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, ServiceTraits> services;
    CallerLimits limits;
    bool hasWorkspaces = false; /**< API keys are asked for. */
    std::map<std::string, KeyHolder, std::less<>> keys; /**< By API key. */
};

} // namespace cyclamenspool::world
