#include <cyclamenspool/gateway/catalog.h>

#include <cyclamenspool/platform/documents.h>
#include <cyclamenspool/telemetry/log.h>

#include <algorithm>
#include <utility>

namespace cyclamenspool::gateway {

namespace internal {

constexpr std::array<std::string_view, 2> prefixes{platform::operatorPrefix, platform::serverPrefix};

/** @brief Applies a decoded document of a backend server or a zone to the dispatcher and logs the result; all others are ignored. */
class DocumentVisitor
{
public:
    DocumentVisitor(Dispatcher &dispatcher, const member::StorePosition &position, const char *source)
        : dispatcher_(dispatcher)
        , position_(position)
        , source_(source)
    {
    }

    void operator()(const world::RoutingConfig &) const
    {
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
        line["revision"] = position_.revision;
        line["era"] = position_.era;
        line["source"] = source_;
        telemetry::logRateLimited(event, std::move(line));
    }

    Dispatcher &dispatcher_;
    member::StorePosition position_;
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

bool Catalog::onStoreEra(std::uint64_t era, const char *source)
{
    const auto before = era_.value();
    const auto now = std::chrono::steady_clock::now();
    if (!era_.onReported(era, now)) {
        return !era_.hasEnded(era);
    }
    const bool isRestored = std::any_of(states_.begin(), states_.end(), [](const SectionState &each) {
        return !each.replica.position().isEmpty();
    });
    if (isRestored) {
        const auto &configuration = position(Section::OperatorConfig);
        const auto &servers = position(Section::Servers);
        telemetry::logRateLimited("store_restored",
                                  {{"era_before", before},
                                   {"era", era},
                                   {"operator_revision_before", configuration.revision},
                                   {"server_revision_before", servers.revision},
                                   {"source", source}});
        dispatcher_.withFleet([](Fleet &fleet, core::MonotonicTime time) {
            fleet.onStoreRestored(time);
        });
    }
    return true;
}

void Catalog::onStoreList(Section section, const member::StoreSnapshot &list)
{
    if (!onStoreEra(list.position.era, "store")) {
        return;
    }
    onStoreAnswered(section);
    replace(section, list, "store");
    onStoreSuccess(section, std::chrono::steady_clock::now());
}

void Catalog::onStoreChanges(Section section, const std::vector<member::StoreItem> &changes, const member::StorePosition &position, core::MonotonicTime asOf)
{
    auto &state = stateOf(section);
    const bool isOtherEra = !state.replica.position().isEmpty() && position.era != state.replica.position().era;
    if (!onStoreEra(position.era, "store") || isOtherEra) {
        return;
    }
    onStoreAnswered(section);
    if (!changes.empty()) {
        state.lastChange = asOf;
    }
    apply(section, state.replica.merge(changes, position), "store");
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
                                  {{"section", std::string(prefixOf(section))},
                                   {"revision", state.replica.position().revision},
                                   {"era", state.replica.position().era},
                                   {"failed_calls", state.failedCalls}});
    }
    state.isUnavailable = false;
    state.failedCalls = 0;
    state.lastRefresh = std::max(state.lastRefresh, asOf);
    refreshComplete();
}

void Catalog::refreshComplete()
{
    complete_ = std::all_of(states_.begin(), states_.end(), [](const SectionState &each) {
        return !each.replica.position().isEmpty();
    });
}

void Catalog::onStoreFailure(Section section, const std::string &reason)
{
    auto &state = stateOf(section);
    ++state.failedCalls;
    if (state.failedCalls == 1) {
        telemetry::logRateLimited("store_lost",
                                  {{"section", std::string(prefixOf(section))},
                                   {"reason", reason},
                                   {"revision", state.replica.position().revision},
                                   {"era", state.replica.position().era}});
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
    if (!onStoreEra(peerSnapshot.position.era, "peer")) {
        return;
    }
    if (uptime) {
        dispatcher_.withFleet([&uptime](Fleet &fleet, core::MonotonicTime) {
            fleet.onStoreUptimeReported(*uptime);
        });
    }
    replace(section, peerSnapshot, "peer");
    refreshComplete();
}

ListDelta Catalog::reduceServerChanges(const std::vector<member::StoreItem> &changes, const member::StorePosition &position)
{
    auto delta = reduceListChanges(stateOf(Section::Servers).replica, changes, position);
    dispatcher_.withFleet([&delta](Fleet &fleet, core::MonotonicTime now) {
        fleet.onStoreAvailable(now);
        delta.storeUptime = fleet.storeUptime();
    });
    return delta;
}

bool Catalog::onPeerListDelta(const ListDelta &delta)
{
    auto &state = stateOf(Section::Servers);
    const auto &own = state.replica.position();
    if (own.isEmpty() || era_.hasEnded(own.era) || !delta.base.isContinuedBy(own) || !own.isContinuedBy(delta.position)) {
        return false;
    }
    dispatcher_.withFleet([&delta](Fleet &fleet, core::MonotonicTime now) {
        if (delta.storeUptime) {
            fleet.onStoreUptimeReported(*delta.storeUptime);
        } else {
            fleet.onStoreAvailable(now);
        }
    });
    apply(Section::Servers, state.replica.merge(delta.items, delta.position), "peer");
    const auto reported = reportedServers(delta, state.replica);
    dispatcher_.withFleet([&reported](Fleet &fleet, core::MonotonicTime now) {
        for (const auto hash : reported) {
            fleet.onServerReported(hash, now);
        }
    });
    state.lastRefresh = std::chrono::steady_clock::now();
    return true;
}

void Catalog::replace(Section section, const member::StoreSnapshot &list, const char *source)
{
    auto &state = stateOf(section);
    const auto before = state.replica.position();
    const auto changes = state.replica.replace(list);
    if (list.position.era > before.era) {
        // Peers learn of the new era by the position of the latest change, even if the list holds none.
        state.changePosition = {list.position.era, 0};
        for (const auto &item : list.items) {
            state.changePosition = std::max(state.changePosition, item.position);
        }
    }
    if (list.position.era > before.era && !before.isEmpty()) {
        telemetry::logRateLimited("store_copy_replaced",
                                  {{"section", std::string(prefixOf(section))},
                                   {"revision_before", before.revision},
                                   {"era_before", before.era},
                                   {"revision", list.position.revision},
                                   {"era", list.position.era},
                                   {"changes", changes.size()},
                                   {"source", source}});
    }
    apply(section, changes, source);
}

void Catalog::apply(Section section, const std::vector<member::StoreItem> &changes, const char *source)
{
    auto &latest = stateOf(section).changePosition;
    for (const auto &item : changes) {
        latest = std::max(latest, item.position);
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
        auto document = platform::decode(item);
        if (auto *routing = std::get_if<world::RoutingConfig>(&document)) {
            onRouting(std::move(*routing), item, source);
        } else {
            std::visit(internal::DocumentVisitor(dispatcher_, item.position, source), document);
        }
    } catch (const std::exception &error) {
        telemetry::logRateLimited("item_passed_over",
                                  {{"key", item.key}, {"revision", item.position.revision}, {"era", item.position.era}, {"reason", error.what()}});
    }
}

void Catalog::onRouting(world::RoutingConfig routing, const member::StoreItem &item, const char *source)
{
    const auto version = routing.version;
    const auto routes = routing.routes.size();
    const bool isKeptBack = !isRoutingInForce_ && version < lowestRouting_;
    const bool isInForce = !isKeptBack && dispatcher_.onRouting(std::move(routing));
    telemetry::logRateLimited("routing",
                              {{"version", version},
                               {"routes", routes},
                               {"in_force", isInForce},
                               {"revision", item.position.revision},
                               {"era", item.position.era},
                               {"source", source}});
    if (isInForce || (isKeptBack && (!routing_ || version > routing_->version))) {
        routing_ = {version, item, source};
    }
    isRoutingInForce_ = isRoutingInForce_ || isInForce;
}

void Catalog::setLowestRouting(std::uint64_t lowest)
{
    lowestRouting_ = lowest;
    if (isRoutingInForce_ || !routing_ || routing_->version < lowest) {
        return;
    }
    const auto kept = *std::exchange(routing_, std::nullopt);
    applyOne(kept.item, kept.source);
}

void Catalog::onPeerDocuments(const std::vector<member::StoreItem> &documents)
{
    for (const auto &item : documents) {
        if (item.key == platform::routingKey && !item.isDeleted) {
            applyOne(item, "peer");
        }
    }
}

std::vector<member::StoreItem> Catalog::documentsBesideCopy(Section section) const
{
    if (section != Section::OperatorConfig || !isRoutingInForce_) {
        return {};
    }
    const auto *copy = stateOf(section).replica.find(routing_->item.key);
    const bool isCopied = copy != nullptr && copy->value == routing_->item.value;
    return isCopied ? std::vector<member::StoreItem>() : std::vector{routing_->item};
}

member::StoreSnapshot Catalog::snapshot(Section section) const
{
    return stateOf(section).replica.toSnapshot();
}

std::uint64_t Catalog::listBytes(Section section) const
{
    constexpr std::uint64_t itemOverhead = 128; /* names of the fields, revisions, lease */
    std::uint64_t bytes = 0;
    for (const auto &[key, item] : stateOf(section).replica.items()) {
        bytes += itemOverhead + key.size() + (item.value.size() + 2) / 3 * 4; /* base64 */
    }
    return bytes;
}

const member::StorePosition &Catalog::position(Section section) const
{
    return stateOf(section).replica.position();
}

member::StorePosition Catalog::watchPosition(Section section) const
{
    const auto &own = position(section);
    return era_.hasEnded(own.era) ? member::StorePosition(era_.value(), 0) : own;
}

const member::StorePosition &Catalog::changePosition(Section section) const
{
    return stateOf(section).changePosition;
}

std::optional<core::Milliseconds> Catalog::timeWithoutEra(Section section) const
{
    const auto &own = position(section);
    const bool hasEnded = !own.isEmpty() && era_.hasEnded(own.era);
    return hasEnded ? std::optional(era_.age(std::chrono::steady_clock::now())) : std::nullopt;
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
