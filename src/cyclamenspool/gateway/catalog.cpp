#include <cyclamenspool/gateway/catalog.h>

#include <cyclamenspool/platform/documents.h>
#include <cyclamenspool/telemetry/log.h>

#include <algorithm>

namespace cyclamenspool::gateway {

namespace internal {

constexpr std::array<std::string_view, 2> prefixes{platform::operatorPrefix, platform::serverPrefix};

/** @brief Applies a decoded document to the dispatcher and logs the result. */
class DocumentVisitor
{
public:
    DocumentVisitor(Dispatcher &dispatcher, std::uint64_t revision, const char *source)
        : dispatcher_(dispatcher)
        , revision_(revision)
        , source_(source)
    {
    }

    void operator()(const world::RoutingConfig &routing) const
    {
        const bool isNew = dispatcher_.onRouting(routing);
        log("routing", {{"version", routing.version}, {"routes", routing.routes.size()}, {"in_force", isNew}});
    }

    void operator()(const world::BackendServer &server) const
    {
        bool isChanged = false;
        dispatcher_.withFleet([&](Fleet &fleet, core::MonotonicTime now) {
            isChanged = fleet.onServerListed(server, now);
        });
        if (isChanged) {
            log("backend_server",
                {{"server", server.id},
                 {"service", server.service},
                 {"address", server.address},
                 {"zone", server.zone},
                 {"leaving", server.leaving},
                 {"cold_ms", server.coldRemaining.count()}});
        }
    }

    void operator()(const platform::RemovedServer &removed) const
    {
        bool isKept = false;
        dispatcher_.withFleet([&](Fleet &fleet, core::MonotonicTime now) {
            isKept = fleet.onServerRemoved(removed.id, now);
        });
        log("backend_server_gone", {{"server", removed.id}, {"kept", isKept}});
    }

    void operator()(const platform::ZoneEvacuation &evacuation) const
    {
        bool isEvacuated = false;
        dispatcher_.withFleet([&](Fleet &fleet, core::MonotonicTime now) {
            isEvacuated = fleet.onZoneEvacuation(evacuation.zone, evacuation.isActive, now);
        });
        log("zone", {{"zone", evacuation.zone}, {"leaving", evacuation.isActive}, {"kept", isEvacuated && !evacuation.isActive}});
    }

    void operator()(const platform::IgnoredItem &) const
    {
    }

private:
    void log(const char *event, boost::json::object line) const
    {
        line["revision"] = revision_;
        line["source"] = source_;
        telemetry::logRateLimited(event, std::move(line));
    }

    Dispatcher &dispatcher_;
    std::uint64_t revision_;
    const char *source_;
};

} // namespace internal

Catalog::Catalog(Dispatcher &dispatcher)
    : dispatcher_(dispatcher)
{
}

Catalog::SectionState &Catalog::stateOf(Section section)
{
    return states_[static_cast<std::size_t>(section)];
}

const Catalog::SectionState &Catalog::stateOf(Section section) const
{
    return states_[static_cast<std::size_t>(section)];
}

std::string_view Catalog::prefixOf(Section section)
{
    return internal::prefixes[static_cast<std::size_t>(section)];
}

std::optional<Catalog::Section> Catalog::sectionOf(std::string_view prefix)
{
    for (std::size_t i = 0; i < internal::prefixes.size(); ++i) {
        if (internal::prefixes[i] == prefix) {
            return static_cast<Section>(i);
        }
    }
    return std::nullopt;
}

void Catalog::onStoreList(Section section, const member::StoreSnapshot &list)
{
    onStoreAnswered(section);
    apply(section, stateOf(section).replica.replace(list), "store");
    onStoreSuccess(section, std::chrono::steady_clock::now());
}

void Catalog::onStoreChanges(Section section, const std::vector<member::StoreItem> &changes, std::uint64_t revision, core::MonotonicTime asOf)
{
    onStoreAnswered(section);
    auto &state = stateOf(section);
    if (!changes.empty()) {
        state.lastChange = std::chrono::steady_clock::now();
    }
    apply(section, state.replica.merge(changes, revision), "store");
    onStoreSuccess(section, asOf);
}

void Catalog::onStoreAnswered(Section section)
{
    if (section == Section::Servers) {
        dispatcher_.withFleet([](Fleet &fleet, core::MonotonicTime now) {
            fleet.onStoreAvailable(now);
        });
    }
}

void Catalog::onStoreSuccess(Section section, core::MonotonicTime asOf)
{
    auto &state = stateOf(section);
    if (state.isUnavailable) {
        telemetry::logRateLimited("store_regained",
                                  {{"section", std::string(prefixOf(section))}, {"revision", state.replica.revision()}, {"failed_calls", state.failedCalls}});
    }
    state.isUnavailable = false;
    state.failedCalls = 0;
    state.lastRefresh = std::max(state.lastRefresh, asOf);
    refreshComplete();
}

void Catalog::refreshComplete()
{
    complete_ = std::all_of(states_.begin(), states_.end(), [](const SectionState &each) {
        return each.replica.revision() > 0;
    });
}

void Catalog::onStoreFailure(Section section, const std::string &reason)
{
    auto &state = stateOf(section);
    ++state.failedCalls;
    if (state.failedCalls == 1) {
        telemetry::logRateLimited("store_lost", {{"section", std::string(prefixOf(section))}, {"reason", reason}, {"revision", state.replica.revision()}});
    }
    state.isUnavailable = true;
    if (section == Section::Servers) {
        dispatcher_.withFleet([](Fleet &fleet, core::MonotonicTime) {
            fleet.onStoreUnavailable();
        });
    }
}

void Catalog::onPeerSnapshot(Section section, const member::StoreSnapshot &peerSnapshot, const std::optional<StoreUptime> &uptime)
{
    if (uptime) {
        dispatcher_.withFleet([&uptime](Fleet &fleet, core::MonotonicTime) {
            fleet.onStoreUptimeReported(*uptime);
        });
    }
    apply(section, stateOf(section).replica.replace(peerSnapshot), "peer");
    refreshComplete();
}

ListDelta Catalog::reduceServerChanges(const std::vector<member::StoreItem> &changes, std::uint64_t revision)
{
    auto delta = reduceListChanges(stateOf(Section::Servers).replica, changes, revision);
    dispatcher_.withFleet([&delta](Fleet &fleet, core::MonotonicTime now) {
        fleet.onStoreAvailable(now);
        delta.storeUptime = fleet.storeUptime();
    });
    return delta;
}

bool Catalog::onPeerListDelta(const ListDelta &delta)
{
    auto &state = stateOf(Section::Servers);
    const auto ownRevision = state.replica.revision();
    if (ownRevision == 0 || ownRevision < delta.baseRevision || ownRevision > delta.revision) {
        return false;
    }
    dispatcher_.withFleet([&delta](Fleet &fleet, core::MonotonicTime now) {
        if (delta.storeUptime) {
            fleet.onStoreUptimeReported(*delta.storeUptime);
        } else {
            fleet.onStoreAvailable(now);
        }
    });
    apply(Section::Servers, state.replica.merge(delta.items, delta.revision), "peer");
    const auto reported = reportedServers(delta, state.replica);
    dispatcher_.withFleet([&reported](Fleet &fleet, core::MonotonicTime now) {
        for (const auto hash : reported) {
            fleet.onServerReported(hash, now);
        }
    });
    state.lastRefresh = std::chrono::steady_clock::now();
    return true;
}

void Catalog::apply(Section section, const std::vector<member::StoreItem> &changes, const char *source)
{
    auto &latest = stateOf(section).changeRevision;
    for (const auto &item : changes) {
        latest = std::max(latest, item.revision);
        applyOne(item, source);
    }
    if (section == Section::Servers) {
        dispatcher_.withFleet([](Fleet &fleet, core::MonotonicTime now) {
            fleet.removeExpired(now);
        });
    }
}

void Catalog::applyOne(const member::StoreItem &item, const char *source)
{
    try {
        std::visit(internal::DocumentVisitor(dispatcher_, item.revision, source), platform::decode(item));
    } catch (const std::exception &error) {
        telemetry::logRateLimited("item_passed_over", {{"key", item.key}, {"revision", item.revision}, {"reason", error.what()}});
    }
}

member::StoreSnapshot Catalog::snapshot(Section section) const
{
    return stateOf(section).replica.toSnapshot();
}

std::uint64_t Catalog::revision(Section section) const
{
    return stateOf(section).replica.revision();
}

std::uint64_t Catalog::changeRevision(Section section) const
{
    return stateOf(section).changeRevision;
}

core::Milliseconds Catalog::age(Section section) const
{
    return std::chrono::duration_cast<core::Milliseconds>(std::chrono::steady_clock::now() - stateOf(section).lastRefresh);
}

core::Milliseconds Catalog::timeSinceChange(Section section) const
{
    return std::chrono::duration_cast<core::Milliseconds>(std::chrono::steady_clock::now() - stateOf(section).lastChange);
}

bool Catalog::isStoreUnavailable(Section section) const
{
    return stateOf(section).isUnavailable;
}

} // namespace cyclamenspool::gateway
