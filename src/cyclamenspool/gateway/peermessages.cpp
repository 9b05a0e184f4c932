#include <cyclamenspool/gateway/peermessages.h>

#include <algorithm>
#include <utility>

namespace cyclamenspool::gateway {

namespace internal {

constexpr std::uint32_t maxOutstanding = 1000000; /* highest number of descriptors that the settings allow a process */
constexpr std::uint32_t maxGateways = 100000; /* in one zone */
constexpr int maxPassTo = 1000; /* gateways in one group of a zone */
constexpr std::size_t maxGoneProcesses = 1024;
constexpr std::int64_t maxLoadAge = 3600000; /* milliseconds, summed over the gateways of a zone */

void setItem(wire::ListedItem &entry, const member::StoreItem &item)
{
    entry.set_key(item.key);
    entry.set_value(item.value);
    entry.set_revision(item.position.revision);
    entry.set_deleted(item.isDeleted);
}

/** @brief Returns whether the lists of a pair have the same length, and all numbers are in range. */
bool areTotalsValid(const wire::ZoneTotals &totals)
{
    const bool arePairsComplete
        = totals.load_servers_size() == totals.load_outstanding_size() && totals.placed_servers_size() == totals.placed_histories_size();
    const bool areLoadsPlausible = std::all_of(totals.load_outstanding().begin(), totals.load_outstanding().end(), [](std::uint32_t outstanding) {
        return outstanding <= internal::maxOutstanding;
    });
    const bool isAgePlausible = totals.load_age_ms() >= 0 && totals.load_age_ms() <= internal::maxLoadAge;
    return arePairsComplete && areLoadsPlausible && isAgePlausible && totals.gateways() <= internal::maxGateways && !totals.zone().empty();
}

template<typename Message>
std::vector<Suspicion> suspicionsIn(const Message &message)
{
    std::vector<Suspicion> suspicions;
    for (const auto &suspicion : message.suspicions()) {
        suspicions.push_back({suspicion.backend_server(), core::Milliseconds(suspicion.lasts_ms()), suspicion.responds()});
    }
    return suspicions;
}

} // namespace internal

std::optional<wire::GatewayNews> decodePeerUpdate(const std::string &bytes)
{
    wire::GatewayNews update;
    if (bytes.empty() || !update.ParseFromString(bytes)) {
        return std::nullopt;
    }
    const bool isPlausible = std::all_of(update.loads().begin(), update.loads().end(), [](const wire::ServerLoad &load) {
        return load.outstanding() <= internal::maxOutstanding;
    });
    return isPlausible ? std::optional(std::move(update)) : std::nullopt;
}

std::vector<ServerLoad> loadsOf(const wire::GatewayNews &update)
{
    std::vector<ServerLoad> loads;
    loads.reserve(static_cast<std::size_t>(update.loads_size()));
    for (const auto &load : update.loads()) {
        loads.push_back({load.backend_server(), static_cast<int>(load.outstanding())});
    }
    return loads;
}

std::vector<Suspicion> suspicionsOf(const wire::GatewayNews &update)
{
    return internal::suspicionsIn(update);
}

std::vector<Suspicion> suspicionsOf(const wire::ZoneTotals &totals)
{
    return internal::suspicionsIn(totals);
}

std::vector<ProcessReport> goneProcessesIn(const wire::GatewayNews &update)
{
    std::vector<ProcessReport> reports;
    for (const auto &entry : update.gone()) {
        if (reports.size() == internal::maxGoneProcesses) {
            break;
        }
        ProcessReport report{entry.backend_server(), {}};
        report.process.startedUnixMs = entry.started_unix_ms();
        if (entry.has_sequence()) {
            report.process.sequence = entry.sequence();
        }
        report.process.isLeaving = entry.entry_leaving();
        report.process.saysLeaving = entry.says_leaving();
        report.process.isRemoved = entry.removed();
        reports.push_back(std::move(report));
    }
    return reports;
}

void addGoneProcesses(wire::GatewayNews &update, const std::vector<ProcessReport> &reports)
{
    for (const auto &report : reports) {
        auto *entry = update.add_gone();
        entry->set_backend_server(report.server);
        entry->set_started_unix_ms(report.process.startedUnixMs);
        if (report.process.sequence) {
            entry->set_sequence(*report.process.sequence);
        }
        entry->set_entry_leaving(report.process.isLeaving);
        entry->set_says_leaving(report.process.saysLeaving);
        entry->set_removed(report.process.isRemoved);
    }
}

void encodeSuspicion(const Suspicion &suspicion, wire::Suspicion &entry)
{
    entry.set_backend_server(suspicion.server);
    entry.set_lasts_ms(suspicion.remaining.count());
    entry.set_responds(suspicion.isResponding);
}

std::optional<wire::ZoneTotals> decodeZoneTotals(const std::string &bytes)
{
    wire::ZoneTotals totals;
    const bool isValid = !bytes.empty() && totals.ParseFromString(bytes) && internal::areTotalsValid(totals);
    return isValid ? std::optional(std::move(totals)) : std::nullopt;
}

std::optional<wire::ZoneShare> decodeZoneShare(const std::string &bytes)
{
    wire::ZoneShare share;
    const bool isParsed = !bytes.empty() && share.ParseFromString(bytes);
    const bool isValid = isParsed && share.pass_to_size() <= internal::maxPassTo && internal::areTotalsValid(share.totals());
    return isValid ? std::optional(std::move(share)) : std::nullopt;
}

std::optional<core::Milliseconds> decodeZonePull(const std::string &bytes)
{
    wire::ZonePull pull;
    const bool isValid = pull.ParseFromString(bytes) && pull.since_ms() >= 0;
    constexpr std::int64_t maxAge = 60000; /* milliseconds */
    return isValid ? std::optional(core::Milliseconds(std::min(pull.since_ms(), maxAge))) : std::nullopt;
}

LoadReport loadReportOf(const wire::ZoneTotals &totals, const Fleet &fleet)
{
    LoadReport report;
    report.gateways = totals.gateways();
    report.totalAge = core::Milliseconds(totals.load_age_ms());
    for (int i = 0; i < totals.load_servers_size(); ++i) {
        auto server = fleet.idOf(totals.load_servers(i));
        if (!server.empty()) {
            report.loads.push_back({std::move(server), static_cast<int>(totals.load_outstanding(i))});
        }
    }
    return report;
}

std::vector<HistoryPlacement> placementsOf(const wire::ZoneTotals &totals, const Fleet &fleet)
{
    std::vector<HistoryPlacement> placements;
    for (int i = 0; i < totals.placed_servers_size(); ++i) {
        auto server = fleet.idOf(totals.placed_servers(i));
        if (!server.empty()) {
            placements.push_back({totals.placed_histories(i), std::move(server)});
        }
    }
    return placements;
}

void setLoadReport(wire::ZoneTotals &totals, const LoadReport &report)
{
    totals.set_gateways(static_cast<std::uint32_t>(report.gateways));
    totals.set_load_age_ms(report.totalAge.count());
    for (const auto &load : report.loads) {
        totals.add_load_servers(serverHash(load.server));
        totals.add_load_outstanding(static_cast<std::uint32_t>(load.outstanding));
    }
}

std::optional<ListDelta> decodeListDelta(const std::string &bytes)
{
    wire::ListUpdate message;
    const bool isParsed = !bytes.empty() && message.ParseFromString(bytes);
    if (!isParsed || message.revision() < message.base_revision() || message.pass_to_size() > internal::maxPassTo) {
        return std::nullopt;
    }
    ListDelta delta;
    delta.base = {message.era(), message.base_revision()};
    delta.position = {message.era(), message.revision()};
    for (const auto &item : message.items()) {
        delta.items.push_back({item.key(), item.value(), {message.era(), item.revision()}, item.deleted()});
    }
    delta.reported.assign(message.reported().begin(), message.reported().end());
    delta.isReportedAllBut = message.reported_all_but();
    delta.passTo.assign(message.pass_to().begin(), message.pass_to().end());
    delta.storeUptime = storeUptimeIn(message);
    return delta;
}

std::string encodeListDelta(const ListDelta &delta)
{
    wire::ListUpdate message;
    message.set_era(delta.position.era);
    message.set_base_revision(delta.base.revision);
    message.set_revision(delta.position.revision);
    for (const auto &item : delta.items) {
        internal::setItem(*message.add_items(), item);
    }
    for (const auto hash : delta.reported) {
        message.add_reported(hash);
    }
    message.set_reported_all_but(delta.isReportedAllBut);
    message.mutable_pass_to()->Add(delta.passTo.begin(), delta.passTo.end());
    setStoreUptime(message, delta.storeUptime);
    return message.SerializeAsString();
}

std::optional<PeerSnapshot> decodeSnapshot(const std::string &bytes)
{
    wire::ItemCopy copy;
    if (bytes.empty() || !copy.ParseFromString(bytes)) {
        return std::nullopt;
    }
    PeerSnapshot result;
    result.snapshot.position = {copy.era(), copy.revision()};
    for (const auto &item : copy.items()) {
        result.snapshot.items.push_back({item.key(), item.value(), {copy.era(), item.revision()}, false});
    }
    result.storeUptime = storeUptimeIn(copy);
    for (const auto &item : copy.in_force()) {
        result.inForce.push_back({item.key(), item.value(), {}, item.deleted()});
    }
    return result;
}

std::string encodeSnapshot(const PeerSnapshot &copy)
{
    wire::ItemCopy message;
    message.set_era(copy.snapshot.position.era);
    message.set_revision(copy.snapshot.position.revision);
    for (const auto &item : copy.snapshot.items) {
        internal::setItem(*message.add_items(), item);
    }
    setStoreUptime(message, copy.storeUptime);
    for (const auto &item : copy.inForce) {
        auto *entry = message.add_in_force();
        entry->set_key(item.key);
        entry->set_value(item.value);
        entry->set_deleted(item.isDeleted);
    }
    return message.SerializeAsString();
}

std::string decodePullPrefix(const std::string &bytes)
{
    wire::ItemPull pull;
    return pull.ParseFromString(bytes) ? pull.prefix() : std::string();
}

} // namespace cyclamenspool::gateway
