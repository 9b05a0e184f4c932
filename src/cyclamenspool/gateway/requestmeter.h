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

namespace cyclamenspool::gateway {

/** @brief What is counted of a request that has ended. */
struct EndedRequest {
    world::RouteKind kind = world::RouteKind::NonIdempotent;
    std::string workspace; /**< Empty: none. */
    bool isAnswered = false; /**< A whole answer, whatever its status. */
    std::chrono::nanoseconds took{0}; /**< From its first byte. */
    std::optional<std::chrono::nanoseconds> beforeHead; /**< From its first byte until the backend server's answer began. */
};

/** @brief Latencies by route kind and counts by workspace. Thread safe; no other lock is taken under its own. */
class RequestMeter
{
public:
    /** @brief Counts a request. @param request Request. */
    void onEnded(const EndedRequest &request);

    /** @brief Writes everything as Prometheus text. @param out Output. */
    void write(std::ostream &out) const;

private:
    static constexpr std::size_t kinds = 3;

    /** @brief Requests of a workspace. */
    struct Counts {
        std::uint64_t answered = 0;
        std::uint64_t unanswered = 0;
    };

    mutable std::mutex mutex_; /* guards the members below */
    std::array<telemetry::Histogram, kinds> took_;
    std::array<telemetry::Histogram, kinds> beforeHead_;
    std::map<std::string, Counts> workspaces_; /* as many as the configuration has named */
};

} // namespace cyclamenspool::gateway
