#pragma once

#include <cyclamenspool/core/now.h>
#include <cyclamenspool/policy/slidingcounter.h>
#include <cyclamenspool/world/backendserver.h>

#include <array>
#include <chrono>
#include <optional>
#include <string_view>

namespace cyclamenspool::gateway {

/** @brief What the evidence on a backend server allows. */
enum class Standing : int {
    Usable,
    Cold, /**< Usable within the bound of a cold start. */
    OnTrial, /**< Was suspect; one request at a time may show that it works. */
    Suspect, /**< Its own requests or a peer's say that it does not work. */
    Evacuated, /**< Its zone gets nothing new. */
    Leaving, /**< It leaves, or its entry is gone. */
    Count
};

/** @brief Names a standing in metrics and on the status page. @param standing Standing. @return Name. */
[[nodiscard]] constexpr std::string_view nameOf(Standing standing) noexcept
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(Standing::Count)> names{"usable", "cold", "on_trial", "suspect", "evacuated", "leaving"};
    const auto index = static_cast<std::size_t>(standing);
    return index < names.size() ? names[index] : "unknown";
}

/** @brief How a request at a backend server ended. */
enum class Outcome : int {
    Answered, /**< A whole answer that is no failure. */
    Failed, /**< A whole answer with a server failure. */
    Broken, /**< The connection ended, or the bytes were no answer. */
    Unreachable, /**< No connection could be made; nothing was sent. */
    Full, /**< The backend server says that it did not run the request. */
    Elsewhere, /**< Another backend server has the address; not run. */
    Abandoned, /**< The caller left or the time was up. */
    Count
};

/** @brief Names an outcome in logs and metrics. @param outcome Outcome. @return Name. */
[[nodiscard]] constexpr std::string_view nameOf(Outcome outcome) noexcept
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(Outcome::Count)> names{
        "answered", "failed", "broken", "unreachable", "full", "elsewhere", "abandoned"};
    const auto index = static_cast<std::size_t>(outcome);
    return index < names.size() ? names[index] : "unknown";
}

/** @brief A backend server with all evidence on it. Guarded by the dispatcher's lock. */
struct ServerState {
    /** @brief Creates a state. @param listed What the list says. */
    explicit ServerState(world::BackendServer listed)
        : record(std::move(listed))
    {
    }

    world::BackendServer record;
    core::MonotonicTime listed{}; /**< Its last report was taken. */
    core::MonotonicTime joined{}; /**< First seen; the minimum if it was there before this process. */
    std::optional<core::MonotonicTime> lapsed; /**< Its entry vanished while the store was ill. */
    bool isGone = false; /**< Its entry vanished while the store was well. */
    bool coldUnknown = false; /**< Treated as cold until its next report. */
    core::MonotonicTime coldUntil{};
    core::MonotonicTime suspectUntil{};
    core::MonotonicTime tellUntil{}; /**< Suspect by this gateway's own requests: peers are told. */
    core::MonotonicTime fullUntil{}; /**< It refused work as full. */
    bool onTrial = false; /**< Has not answered since it was suspect. */
    int failuresInRow = 0;
    double failureRatio = 0.0; /**< Moving average over its answers. */
    std::uint64_t answered = 0; /**< Requests of this gateway that ended with an answer that is no failure. */
    std::uint64_t failed = 0; /**< Requests of this gateway that ended otherwise, callers' leaving apart. */
    int outstanding = 0; /**< Requests of this gateway. */
    std::optional<std::chrono::duration<double>> headTime; /**< Moving average of the time until an answer begins. */
    std::optional<core::MonotonicTime> unheardSince; /**< Requests wait, and no byte has come since. */
    int peersOutstanding = 0; /**< Requests of the other gateways. */
    policy::SlidingCounter recentSends{std::chrono::seconds(1)}; /**< Of this gateway, for the bound of a cold start. */
    policy::SlidingCounter trendSends{std::chrono::seconds(2)}; /**< Of this gateway, for the guess of what peers sent meanwhile. */
};

} // namespace cyclamenspool::gateway
