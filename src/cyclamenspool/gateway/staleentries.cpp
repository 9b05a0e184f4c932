#include <cyclamenspool/gateway/staleentries.h>

#include <cyclamenspool/gateway/fleet.h>

#include <algorithm>
#include <limits>

namespace cyclamenspool::gateway {

namespace internal {

constexpr std::chrono::minutes staleTime{5}; /* far longer than the age of a copy and the time in which the entry of a silent server expires */
constexpr std::size_t maxRemembered = 1024; /* about 100 bytes each */

bool isWithin(const std::optional<core::MonotonicTime> &begin, core::MonotonicTime now)
{
    return begin && now < *begin + staleTime;
}

} // namespace internal

void StaleEntries::onStoreRestored(core::MonotonicTime now) noexcept
{
    restoredAt_ = now;
    // Revisions of two eras cannot be compared: the next listing of an entry counts as its first.
    for (auto &[hash, entry] : withheld_) {
        entry.revision = std::numeric_limits<std::uint64_t>::max();
    }
}

void StaleEntries::onRemoved(const std::string &id, const KnownProcess &process, core::MonotonicTime now)
{
    auto removed = process;
    removed.isRemoved = true;
    remember(id, removed, now);
}

void StaleEntries::onReported(const ProcessReport &report, core::MonotonicTime now)
{
    const auto known = rememberedProcess(report.server, now);
    const bool isLater = !known || report.process.startedUnixMs > known->startedUnixMs;
    const bool isEqual = known && report.process.startedUnixMs == known->startedUnixMs;
    if (isLater || (isEqual && report.process.isRemoved && !known->isRemoved)) {
        auto reported = report.process;
        reported.isReported = true;
        remember(report.server, reported, now);
    }
}

void StaleEntries::remember(const std::string &id, const KnownProcess &process, core::MonotonicTime now)
{
    std::erase_if(remembered_, [now](const auto &each) {
        return !internal::isWithin(each.second.since, now);
    });
    remembered_[id] = {process, now};
    if (remembered_.size() > internal::maxRemembered) {
        remembered_.erase(std::min_element(remembered_.begin(), remembered_.end(), [](const auto &left, const auto &right) {
            return left.second.since < right.second.since;
        }));
    }
}

std::optional<KnownProcess> StaleEntries::rememberedProcess(const std::string &id, core::MonotonicTime now) const
{
    const auto found = remembered_.find(id);
    const bool isKnown = found != remembered_.end() && internal::isWithin(found->second.since, now);
    return isKnown ? std::optional(found->second.process) : std::nullopt;
}

std::vector<ProcessReport> StaleEntries::rememberedProcesses(core::MonotonicTime now) const
{
    std::vector<ProcessReport> processes;
    for (const auto &[id, each] : remembered_) {
        if (internal::isWithin(each.since, now)) {
            processes.push_back({id, each.process});
        }
    }
    return processes;
}

bool StaleEntries::isWrittenAgain(const world::BackendServer &entry) const
{
    const auto found = withheld_.find(serverHash(entry.id));
    return found != withheld_.end() && found->second.id == entry.id && entry.revision > found->second.revision;
}

bool StaleEntries::isStale(const world::BackendServer &entry, const KnownProcess &known, core::MonotonicTime now) const
{
    const bool mayBeRestored = (known.isReported || internal::isWithin(restoredAt_, now)) && !isWrittenAgain(entry);
    if (entry.startedUnixMs != known.startedUnixMs) {
        // Without a restore, the clock of the server was set back.
        return mayBeRestored && entry.startedUnixMs != 0 && entry.startedUnixMs < known.startedUnixMs;
    }
    const bool isComparable = entry.startedUnixMs != 0 && entry.sequence && known.sequence;
    if (isComparable && *entry.sequence < *known.sequence) {
        return true;
    }
    const bool isLater = isComparable && *entry.sequence > *known.sequence && !known.isRemoved;
    const bool takesBack = known.isRemoved || (known.isLeaving && !entry.leaving);
    return mayBeRestored && takesBack && !isLater;
}

bool StaleEntries::withhold(const world::BackendServer &entry, const KnownProcess &known, core::MonotonicTime now)
{
    const bool isWithheld = isStale(entry, known, now);
    if (isWithheld) {
        withheld_[serverHash(entry.id)] = entry;
    }
    return isWithheld;
}

const world::BackendServer *StaleEntries::withheldEntry(std::uint32_t hash) const
{
    const auto found = withheld_.find(hash);
    return found == withheld_.end() ? nullptr : &found->second;
}

void StaleEntries::dropWithheld(const std::string &id)
{
    if (!withheld_.empty()) {
        withheld_.erase(serverHash(id));
    }
}

void StaleEntries::onListed(const std::string &id)
{
    dropWithheld(id);
    remembered_.erase(id);
}

} // namespace cyclamenspool::gateway
