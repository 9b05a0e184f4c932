#pragma once

#include <cyclamenspool/core/now.h>
#include <cyclamenspool/gateway/scheduling/servercapacity.h>
#include <cyclamenspool/gateway/serverstatements.h>
#include <cyclamenspool/policy/slidingwindowcounter.h>
#include <cyclamenspool/world/backendserver.h>

#include <array>
#include <chrono>
#include <optional>
#include <string_view>

namespace cyclamenspool::gateway {

/** @brief Availability of a backend server for new requests. */
enum class Availability : int {
    Usable,
    Cold, /**< Usable, but with a limited request rate because of its cold start. */
    Probing, /**< Half open after failures seen by this gateway made it suspect: gets one request at a time until one succeeds. */
    Suspect, /**< Ejected: for a time after failures seen by this gateway or reported by a peer, or while it is unresponsive. */
    BackingOff, /**< Gets no new requests of this gateway until a time that it has named. */
    Evacuated, /**< Its zone gets no new requests. */
    Leaving, /**< It shuts down, as its entry or its responses say, or its entry was removed from the store. */
    Count
};

/** @brief Returns the name of an availability in metrics and on the status page. */
[[nodiscard]] constexpr std::string_view nameOf(Availability availability) noexcept
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(Availability::Count)> names{
        "usable", "cold", "on_trial", "suspect", "backing_off", "evacuated", "leaving"};
    const auto index = static_cast<std::size_t>(availability);
    return index < names.size() ? names[index] : "unknown";
}

/** @brief How a request to a backend server ended. */
enum class Outcome : int {
    Answered, /**< Complete response with a status below 500. */
    Failed, /**< Response with a 5xx status, or an unusable one, such as a success without the backend server's digest. */
    TransportError, /**< The connection was lost, the response was malformed, or no byte was received for too long. */
    Unreachable, /**< No connection could be made; nothing was sent. */
    AtCapacity, /**< The backend server reported that it did not run the request, other than with status 421; treated as at capacity. */
    AddressReused, /**< Status 421: the address now belongs to another backend server, which did not run the request. */
    Abandoned, /**< The caller disconnected or the deadline passed. */
    Count
};

/** @brief Returns the name of an outcome in logs and metrics. */
[[nodiscard]] constexpr std::string_view nameOf(Outcome outcome) noexcept
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(Outcome::Count)> names{
        "answered", "failed", "broken", "unreachable", "full", "elsewhere", "abandoned"};
    const auto index = static_cast<std::size_t>(outcome);
    return index < names.size() ? names[index] : "unknown";
}

/** @brief A backend server with the state that its availability depends on, and its request statistics. Guarded by the dispatcher's lock. */
struct ServerState {
    /** @brief Creates the state of a backend server without requests. @param storeEntry Its entry in the store. */
    explicit ServerState(world::BackendServer storeEntry)
        : entry(std::move(storeEntry))
    {
    }

    world::BackendServer entry;
    core::MonotonicTime reportedAt{}; /**< Time at which its entry was last listed; the backend server renews the entry with each report. */
    core::MonotonicTime joinedAt{}; /**< Time at which it was first listed; MonotonicTime::min() if it was listed before this process started. */
    std::optional<core::MonotonicTime> entryExpiredAt; /**< Time at which its entry expired while the store was unavailable. */
    bool isRemoved = false; /**< No longer in the fleet: its entry was removed or expired, or it restarted under the same id. */
    bool isColdUntilReport = false; /**< Treated as cold until its next report: it may have restarted, or its zone's evacuation has just ended. */
    core::MonotonicTime coldUntil{}; /**< End of its cold start, as last reported. */
    core::MonotonicTime suspectUntil{};
    core::MonotonicTime unreachableUntil{}; /**< Until then it is suspect because it did not respond to this gateway or to a peer. */
    core::MonotonicTime advertiseUntil{}; /**< Until then peers are told that this gateway's own requests found it suspect. */
    core::MonotonicTime zoneSuspectUntil{}; /**< Until then other zones are told that another gateway of the own zone found it suspect. */
    core::MonotonicTime atCapacityUntil{}; /**< End of the pause after Outcome::AtCapacity. */
    ServerStatements statements;
    scheduling::ServerCapacity capacity;
    bool needsProbe = false; /**< No request has succeeded since this gateway's own requests made it suspect. */
    int consecutiveFailures = 0; /**< Outcomes TransportError and Unreachable since the last Answered. */
    double failureRatio = 0.0; /**< Moving average over its requests: 1 for Outcome::Failed, 0 for Outcome::Answered; others are left out. */
    std::uint64_t answered = 0; /**< Requests of this gateway that ended as Outcome::Answered. */
    std::uint64_t failed = 0; /**< Requests of this gateway with any other outcome except Outcome::Abandoned. */
    int outstanding = 0; /**< Requests of this gateway in flight. */
    std::optional<std::chrono::duration<double>> timeToHeaders; /**< Moving average of the time from a request's placement to its response headers. */
    std::optional<core::MonotonicTime> awaitingBytesSince; /**< Time of the last byte, or of the first request in flight; empty if none is in flight. */
    int peersOutstanding = 0; /**< Requests of the other gateways in flight, as last reported. */
    policy::SlidingWindowCounter recentSends{std::chrono::seconds(1)}; /**< Requests of this gateway, compared with the rate limit of a cold start. */
    policy::SlidingWindowCounter peerEstimateSends{std::chrono::seconds(2)}; /**< Requests of this gateway, to estimate what peers have not reported yet. */
};

} // namespace cyclamenspool::gateway
