#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cyclamenspool::world {

/** @brief Retry semantics of a route's requests. */
enum class RouteKind : int {
    NonIdempotent, /**< A request must not run more than once. */
    Idempotent, /**< A request can be retried. */
    Streaming /**< The response is an event stream; it can be retried if the route is resumable. */
};

/** @brief Weighted share of a route's requests that is sent to a service. */
struct TrafficShare {
    std::string service;
    double weight = 1.0;
};

/** @brief Route for the requests of a host and path prefix: target services, time limits and retry rules. */
struct Route {
    std::string name;
    std::string host; /**< Host name in lower case, without a port. */
    std::string prefix; /**< Path prefix; begins and ends with a slash. */
    RouteKind kind = RouteKind::NonIdempotent;
    std::vector<TrafficShare> services; /**< At least one. */
    std::chrono::milliseconds timeout{30000}; /**< Time limit of a request; a shorter one of the caller takes precedence. */
    std::chrono::milliseconds latencyObjective{1000}; /**< Target for the time to the response; streams: to the first event. */
    std::chrono::milliseconds pauseObjective{1000}; /**< Target for the longest pause between two events of a stream. */
    int priority = 5; /**< 0 is the most urgent. Not on the scale of Workspace::priority, where a larger number takes precedence. */
    int maxAttempts = 1; /**< Maximum number of backend servers that a request is sent to. */
    bool anonymous = false; /**< Whether requests need no API key. */
    bool resumable = false; /**< Whether an interrupted stream can continue on another backend server. */
    bool usesPromptCache = false; /**< Whether requests carry a prompt whose parts can be cached by backend servers. */

    /** @brief Returns whether a request can safely run more than once. */
    [[nodiscard]] bool isRetryable() const noexcept
    {
        return kind == RouteKind::Idempotent || (kind == RouteKind::Streaming && resumable);
    }
};

/** @brief Settings of a service from the routing configuration. */
struct ServiceSettings {
    std::string name;
    int maxConnections = 100; /**< Limit of connections from all VMs together to one backend server. */
    std::chrono::milliseconds coldStart{0}; /**< Duration of the cold start of a backend server. */
    double coldRequestsPerSecond = 0.0; /**< Requests per second that a backend server has capacity for during its cold start; 0: no limit. */
    int slots = 0; /**< Requests that an engine runs concurrently; 0: unknown. */
};

/** @brief Limits on the size of requests and the time to receive them. */
struct CallerLimits {
    std::uint32_t headerBytes = 16 * 1024; /**< Maximum size of the headers. */
    std::uint64_t bodyBytes = 4UL * 1024 * 1024; /**< Maximum size of the body. */
    std::chrono::milliseconds headerTimeout{3000}; /**< Time limit for receiving the headers. */
    std::chrono::milliseconds idleTimeout{15000}; /**< Longest time without progress on a connection. */
};

/** @brief Workspace to which an API key belongs. */
struct ApiKeyOwner {
    std::string workspace;
    int priority = -1; /**< Takes precedence over Route::priority; 0 is the most urgent, -1: none. */
};

/** @brief One version of the gateways' routing configuration. */
struct RoutingConfig {
    std::uint64_t version = 0; /**< Increases with each version. */
    std::vector<Route> routes;
    std::map<std::string, ServiceSettings> services; /**< By name. */
    CallerLimits limits;
    bool requiresApiKey = false; /**< Whether requests need an API key, except on anonymous routes. */
    std::map<std::string, ApiKeyOwner, std::less<>> apiKeys; /**< By API key. */
};

} // namespace cyclamenspool::world
