#include <cyclamenspool/gateway/watchpolicy.h>

#include <algorithm>

namespace cyclamenspool::gateway {

namespace internal {

constexpr core::Milliseconds watcherTime{5000};
constexpr core::Milliseconds longWatchTime{20000};
constexpr int leavingDivisor = 3; /* of the bound for leaving servers; the rest is for the call, the message to the zone and the requests on their way */
constexpr int updateDivisor = 4; /* of the watcher's pause, for its update to arrive */
constexpr int configurationDivisor = 4; /* of the bound for the configuration; the rest is for calls that fail */
constexpr double listOverdueShare = 0.55; /* of the bound for leaving servers; longer than the pause of a gateway that does not watch the list */
constexpr double configurationOverdueShare = 0.375; /* of the bound for the configuration; longer than the pause after a change */

constexpr int unansweredDivisor = 8; /* of the smaller bound */
constexpr int checkDivisor = 4; /* of the smaller bound; the rest is for an unanswered check, messages to the zone and requests on their way */
constexpr core::Milliseconds maxCheckPeriod{500};
constexpr double restoredListShare = 0.375; /* of the smaller bound; longer than a check and an update */
constexpr std::uint64_t smallResponseBytes = 256UL * 1024; /* 0.2 s at 10 Mbit/s */

core::Milliseconds scale(core::Milliseconds time, double factor) noexcept
{
    return std::chrono::duration_cast<core::Milliseconds>(time * factor);
}

} // namespace internal

core::Milliseconds listPause(const WatchBounds &bounds, bool isWatcher, core::Milliseconds age) noexcept
{
    const auto pause = bounds.leaving / internal::leavingDivisor;
    return pause + (isWatcher ? core::Milliseconds(0) : pause / internal::updateDivisor) - age;
}

core::Milliseconds listWatchTime(bool isWatcher) noexcept
{
    return isWatcher ? internal::watcherTime : internal::longWatchTime;
}

core::Milliseconds configurationPause(const WatchBounds &bounds, core::Milliseconds sinceChange) noexcept
{
    return bounds.configuration / internal::configurationDivisor - sinceChange;
}

core::Milliseconds listOverdueAge(const WatchBounds &bounds) noexcept
{
    return internal::scale(bounds.leaving, internal::listOverdueShare);
}

core::Milliseconds configurationOverdueTime(const WatchBounds &bounds) noexcept
{
    return internal::scale(bounds.configuration, internal::configurationOverdueShare);
}

core::Milliseconds unansweredTime(const WatchBounds &bounds) noexcept
{
    return std::min(bounds.leaving, bounds.configuration) / internal::unansweredDivisor;
}

core::Milliseconds storeCheckPeriod(const WatchBounds &bounds) noexcept
{
    return std::min(std::min(bounds.leaving, bounds.configuration) / internal::checkDivisor, internal::maxCheckPeriod);
}

core::Milliseconds restoredListDelay(const WatchBounds &bounds, bool isChecker, core::Milliseconds sinceRestore) noexcept
{
    const auto delay = internal::scale(std::min(bounds.leaving, bounds.configuration), internal::restoredListShare);
    return isChecker ? core::Milliseconds(0) : delay - sinceRestore;
}

std::uint64_t maxWatchBytes(std::uint64_t listBytes) noexcept
{
    return std::max(internal::smallResponseBytes, listBytes + listBytes / 2);
}

core::Milliseconds configurationWatchTime() noexcept
{
    return internal::longWatchTime;
}

} // namespace cyclamenspool::gateway
