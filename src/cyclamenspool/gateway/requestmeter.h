#pragma once

#include <cyclamenspool/telemetry/histogram.h>
#include <cyclamenspool/world/route.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace cyclamenspool::gateway {

/** @brief Measurements of an admitted request whose response has ended; a request whose caller disconnected is not recorded. */
struct EndedRequest {
    world::RouteKind kind = world::RouteKind::NonIdempotent;
    std::string route; /**< Name. */
    std::string workspace; /**< Empty: none. */
    bool isAnswered = false; /**< A complete response was relayed, whatever its status. */
    std::chrono::nanoseconds duration{0}; /**< From the request's first byte to the end. */
    std::optional<std::chrono::nanoseconds> timeToHeaders; /**< From the request's first byte to the response headers; empty if there were none. */
};

/** @brief Latency histograms by route kind, usual durations by route and request counts by workspace. Thread safe; no other lock is taken while its own is
 * held. */
class RequestMeter
{
public:
    /** @brief Adds a request to the histograms and counts. @param request Ended request. */
    void record(const EndedRequest &request);

    /**
     * @brief Returns how long requests of a route usually take to be answered: 95 in 100 take no longer.
     * @param route Route; if it is not non-idempotent, or none of its requests was answered yet, the requests of its kind are used.
     * @return Duration, 30 s at most; zero if none was answered yet.
     */
    [[nodiscard]] std::chrono::nanoseconds usualDuration(const world::Route &route) const;

    /** @brief Forgets the durations of all other routes. @param routes Routes in force. */
    void retainRoutes(const std::vector<world::Route> &routes);

    /** @brief Writes all metrics in the Prometheus text format. @param out Output stream. */
    void write(std::ostream &out) const;

private:
    static constexpr std::size_t kindCount = 3;

    /** @brief Request counts of a workspace. */
    struct Counts {
        std::uint64_t answered = 0;
        std::uint64_t unanswered = 0;
    };

    mutable std::mutex mutex_; /* guards the members below */
    std::array<telemetry::Histogram, kindCount> durations_;
    std::array<telemetry::Histogram, kindCount> answeredDurations_;
    std::map<std::string, telemetry::Histogram> routeDurations_; /* of answered requests by name of a non-idempotent route; bounded by retainRoutes() */
    std::array<telemetry::Histogram, kindCount> timesToHeaders_;
    std::map<std::string, Counts> workspaces_; /* by name; only names from the configuration occur, which bounds the size */
};

} // namespace cyclamenspool::gateway
