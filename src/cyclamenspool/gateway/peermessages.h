#pragma once

#include <cyclamenspool/gateway/fleet.h>
#include <cyclamenspool/gateway/historydirectory.h>
#include <cyclamenspool/gateway/listdelta.h>
#include <cyclamenspool/member/storereplica.h>
#include <cyclamenspool/wire/generated/messages.pb.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenspool::gateway {

/** @brief Decodes a peer update. @param bytes Serialized message. @return Update; empty if it is malformed or a load exceeds 1,000,000 requests. */
[[nodiscard]] std::optional<wire::GatewayNews> decodePeerUpdate(const std::string &bytes);

/** @brief Returns the loads in a peer update. @param update Update that decodePeerUpdate() has accepted. */
[[nodiscard]] std::vector<ServerLoad> loadsOf(const wire::GatewayNews &update);

/** @brief Returns the suspected backend servers in a peer update, each with the remaining duration of the suspicion. */
[[nodiscard]] std::vector<Suspicion> suspicionsOf(const wire::GatewayNews &update);

/** @brief Returns the suspected backend servers in a zone's totals, each with the remaining duration of the suspicion. */
[[nodiscard]] std::vector<Suspicion> suspicionsOf(const wire::ZoneTotals &totals);

/** @brief Returns the processes that leave or were removed in a peer update, at most 1024. */
[[nodiscard]] std::vector<ProcessReport> goneProcessesIn(const wire::GatewayNews &update);

/** @brief Writes processes that leave or were removed to a peer update. */
void addGoneProcesses(wire::GatewayNews &update, const std::vector<ProcessReport> &reports);

/** @brief Writes a suspected backend server to an entry of a message. */
void encodeSuspicion(const Suspicion &suspicion, wire::Suspicion &entry);

namespace internal {

inline constexpr std::int64_t maxReportedAge = 3600000; /* milliseconds; nothing depends on more */

/** @brief Returns the age of an event for a message, in milliseconds, at most maxReportedAge. */
[[nodiscard]] inline std::int64_t reportedAge(core::MonotonicTime at, core::MonotonicTime now) noexcept
{
    return std::clamp<std::int64_t>(std::chrono::duration_cast<core::Milliseconds>(now - at).count(), 0, maxReportedAge);
}

} // namespace internal

/** @brief Returns the statements of backend servers in a message, at most 64; ages and limits out of range are left out. */
template<typename Message>
[[nodiscard]] std::vector<ServerStatementReport> statementsIn(const Message &message)
{
    constexpr std::size_t maxReports = 64;
    constexpr double maxLimit = 1e6; /* requests per second */
    const auto now = std::chrono::steady_clock::now();
    std::vector<ServerStatementReport> reports;
    for (const auto &entry : message.statements()) {
        const bool isAgePlausible = entry.limit_age_ms() >= 0 && entry.limit_age_ms() <= internal::maxReportedAge;
        const bool isPlausible = isAgePlausible && (!entry.has_limit() || (entry.limit() >= 0 && entry.limit() <= maxLimit));
        if (!isPlausible || reports.size() == maxReports) {
            continue;
        }
        ServerStatementReport report{entry.backend_server(), entry.started_unix_ms(), entry.leaving(), {}};
        if (entry.has_limit()) {
            report.limit.perSecond = entry.limit();
        }
        report.limit.statedAt = now - core::Milliseconds(entry.limit_age_ms());
        reports.push_back(std::move(report));
    }
    return reports;
}

/** @brief Writes statements of backend servers to a message. */
template<typename Message>
void addStatements(Message &message, const std::vector<ServerStatementReport> &reports)
{
    const auto now = std::chrono::steady_clock::now();
    for (const auto &report : reports) {
        auto *entry = message.add_statements();
        entry->set_backend_server(report.server);
        entry->set_started_unix_ms(report.startedUnixMs);
        entry->set_leaving(report.isLeaving);
        if (report.limit.perSecond) {
            entry->set_limit(*report.limit.perSecond);
        }
        entry->set_limit_age_ms(internal::reportedAge(report.limit.statedAt, now));
    }
}

/** @brief Decodes a zone's totals. @param bytes Serialized message. @return Totals; empty if they are malformed, if the lists of a pair differ in length, or if
 * a number is out of range. */
[[nodiscard]] std::optional<wire::ZoneTotals> decodeZoneTotals(const std::string &bytes);

/** @brief Decodes the totals of another zone that a gateway of the own zone shares. @param bytes Serialized message. @return Share; empty if malformed as for
 * decodeZoneTotals(). */
[[nodiscard]] std::optional<wire::ZoneShare> decodeZoneShare(const std::string &bytes);

/** @brief Decodes a request for a zone's totals. @param bytes Serialized message. @return Age of the oldest history placement that is asked for; empty if
 * malformed. */
[[nodiscard]] std::optional<core::Milliseconds> decodeZonePull(const std::string &bytes);

/** @brief Returns the loads in a zone's totals. @param totals Totals that decodeZoneTotals() has accepted. @param fleet Backend servers; unknown ones are left
 * out. */
[[nodiscard]] LoadReport loadReportOf(const wire::ZoneTotals &totals, const Fleet &fleet);

/** @brief Returns the history placements in a zone's totals. @param totals As in loadReportOf(). @param fleet As in loadReportOf(). */
[[nodiscard]] std::vector<HistoryPlacement> placementsOf(const wire::ZoneTotals &totals, const Fleet &fleet);

/** @brief Writes loads to a zone's totals. @param totals Totals without loads. @param report Loads. */
void setLoadReport(wire::ZoneTotals &totals, const LoadReport &report);

/** @brief Decodes changes of the list of backend servers. @param bytes Serialized message. @return Changes; empty if malformed. */
[[nodiscard]] std::optional<ListDelta> decodeListDelta(const std::string &bytes);

/** @brief Encodes changes of the list of backend servers. @param delta Changes. @return Serialized message. */
[[nodiscard]] std::string encodeListDelta(const ListDelta &delta);

/** @brief A gateway's copy of a section of the platform's store. */
struct PeerSnapshot {
    member::StoreSnapshot snapshot;
    std::optional<StoreUptime> storeUptime; /**< Empty: not reported. */
    std::vector<member::StoreItem> inForce; /**< Documents in force there that the copy holds in another form or not at all; without positions. */
};

/** @brief Decodes a peer's copy of the platform store's items. @param bytes Serialized message. @return Copy; empty if malformed. */
[[nodiscard]] std::optional<PeerSnapshot> decodeSnapshot(const std::string &bytes);

/** @brief Encodes a copy of the platform store's items. @param copy Copy. @return Serialized message. */
[[nodiscard]] std::string encodeSnapshot(const PeerSnapshot &copy);

/** @brief Returns the store's uptime in a message, in this process's time; empty if it has none or one that is out of range. */
template<typename Message>
[[nodiscard]] std::optional<StoreUptime> storeUptimeIn(const Message &message)
{
    const auto &uptime = message.store_uptime();
    const bool isValid = message.has_store_uptime() && uptime.answered_ms() >= 0 && uptime.since_ms() >= uptime.answered_ms();
    if (!isValid) {
        return std::nullopt;
    }
    const auto now = std::chrono::steady_clock::now();
    const auto timeOf = [now](std::int64_t age) {
        return now - core::Milliseconds(std::min(age, internal::maxReportedAge));
    };
    return StoreUptime{timeOf(uptime.since_ms()), timeOf(uptime.answered_ms())};
}

/** @brief Writes the store's uptime to a message. @param uptime Uptime; empty: none is written. */
template<typename Message>
void setStoreUptime(Message &message, const std::optional<StoreUptime> &uptime)
{
    if (!uptime) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    message.mutable_store_uptime()->set_answered_ms(internal::reportedAge(uptime->until, now));
    message.mutable_store_uptime()->set_since_ms(internal::reportedAge(uptime->since, now));
}

/** @brief What a gateway tells others of its copy of the store, and of what it has in force. */
struct StoreReport {
    /* The positions of the copies also rise without a change in their section, so that peers could not tell from them that they lack one. */
    member::StorePosition operatorPosition; /**< Latest change of the operator's documents; of era 0 if the sender names none. */
    member::StorePosition serverPosition; /**< Latest change of the list of backend servers; of era 0 if the sender names none. */
    std::optional<std::uint64_t> routingVersion; /**< Of the routing document in force, whatever the copy holds; 0: none yet; empty: not named. */
};

/** @brief Returns what the sender of a message tells of the store. */
template<typename Message>
[[nodiscard]] StoreReport storeReportIn(const Message &message)
{
    StoreReport report{{message.operator_era(), message.operator_revision()}, {message.server_era(), message.server_revision()}, std::nullopt};
    if (message.has_routing_version()) {
        report.routingVersion = message.routing_version();
    }
    return report;
}

/** @brief Writes what this gateway tells of the store to a message. */
template<typename Message>
void setStoreReport(Message &message, const StoreReport &report)
{
    message.set_operator_era(report.operatorPosition.era);
    message.set_operator_revision(report.operatorPosition.revision);
    message.set_server_era(report.serverPosition.era);
    message.set_server_revision(report.serverPosition.revision);
    if (report.routingVersion) {
        message.set_routing_version(*report.routingVersion);
    }
}

/** @brief Decodes a peer's request for items. @param bytes Serialized message. @return Prefix of the requested keys; empty if malformed. */
[[nodiscard]] std::string decodePullPrefix(const std::string &bytes);

} // namespace cyclamenspool::gateway
