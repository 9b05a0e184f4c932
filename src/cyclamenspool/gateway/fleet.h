#pragma once

#include <cyclamenspool/gateway/limitsplitter.h>
#include <cyclamenspool/gateway/peerloads.h>
#include <cyclamenspool/gateway/serverstate.h>
#include <cyclamenspool/gateway/staleentries.h>
#include <cyclamenspool/gateway/storeavailability.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cyclamenspool::gateway {

using ServerPtr = std::shared_ptr<ServerState>;

/** @brief A suspect backend server as gateways report it to each other. */
struct Suspicion {
    std::string server;
    core::Milliseconds remaining{0}; /**< Time for which it is still suspect. */
    bool isResponding = false; /**< It answers, but fails too many requests. */
};

/** @brief What a backend server has said of itself, as gateways report it to each other. */
struct ServerStatementReport {
    std::string server;
    std::uint64_t startedUnixMs = 0; /**< Names its process together with the id. */
    bool isLeaving = false;
    StatedLimit limit;
};

/** @brief Copy of a backend server's state for operators. */
struct ServerView {
    world::BackendServer entry;
    Availability availability = Availability::Usable;
    core::Milliseconds reportAge{0}; /**< Time since its entry was last listed. */
    int outstanding = 0; /**< Requests of this gateway in flight. */
    int load = 0; /**< Requests of all gateways in flight. */
    int consecutiveFailures = 0; /**< As in ServerState. */
    double failureRatio = 0.0; /**< As in ServerState. */
    bool saysLeaving = false; /**< Its responses say that it leaves. */
    std::optional<double> statedLimit; /**< Requests per second that it takes from all gateways together; empty: it names no limit. */
    std::uint64_t answered = 0; /**< Requests of this gateway that ended as Outcome::Answered. */
    std::uint64_t failed = 0; /**< Requests of this gateway with any other outcome except Outcome::Abandoned. */
};

/** @brief Returns the hash that names a backend server in messages to other zones. @param id Its id. */
[[nodiscard]] std::uint32_t serverHash(const std::string &id) noexcept;

/** @brief State of every listed backend server, with the loads and suspicions that peer gateways report. Not thread safe. */
class Fleet
{
public:
    /**
     * @brief Adds or updates a backend server; an entry that is older than what is known of the server, as StaleEntries finds, changes nothing.
     * @param entry Its entry in the store.
     * @param now Current time.
     * @return True if it is new or restarted, starts or stops leaving, had an expired entry, or was treated as cold until its next report.
     */
    bool onServerListed(const world::BackendServer &entry, core::MonotonicTime now);

    /**
     * @brief Handles the removal of an entry from the store.
     *
     * After an outage of the store, the entry may have expired only because it could not be renewed: the backend server stays in use as long as
     * StoreAvailability says so, and is kept if its entry is listed again by then.
     * @param id Id of the backend server.
     * @param now Current time.
     * @return True if it stays in use for now; false if it is out of use or not known.
     */
    bool onServerRemoved(const std::string &id, core::MonotonicTime now);

    /** @brief Handles a further report of a backend server, whose entry is otherwise unchanged and not cold. @param hash serverHash() of its id. */
    void onServerReported(std::uint32_t hash, core::MonotonicTime now);

    /**
     * @brief Begins or ends the evacuation of a zone. While operators may still have to write documents again that a restored store has lost, an end is put off
     * until StoreAvailability::isRestoring() ends, and dropped if the evacuation begins again by then.
     * @param zone Availability zone.
     * @param isEvacuated True if the zone gets no new requests from now on.
     * @param now Current time.
     * @return True if the zone gets no new requests for now.
     */
    bool onZoneEvacuation(const std::string &zone, bool isEvacuated, core::MonotonicTime now);

    /** @brief Handles a failed call of this gateway to the store. */
    void onStoreUnavailable();

    /** @brief Handles a successful call to the store; call it before the response is applied. */
    void onStoreAvailable(core::MonotonicTime now);

    /** @brief Handles another gateway's report of the store's uptime; call it before the rest of the message is applied. */
    void onStoreUptimeReported(const StoreUptime &uptime);

    /**
     * @brief Handles a restore of the store from an older copy; call it before the difference to the restored documents is applied.
     *
     * What the copy lacks is kept until it had time to be written again: servers are removed and evacuations end 2.2 s later. What the copy holds in an older
     * form than is known changes nothing, see StaleEntries.
     * @param now Current time, or the earlier time at which a gateway noticed the restore.
     */
    void onStoreRestored(core::MonotonicTime now);

    /** @brief Removes the expired entries, and ends the evacuations whose end was postponed, once there was time to write them again. */
    void removeExpired(core::MonotonicTime now);

    /** @brief Returns StoreAvailability::uptime(). */
    [[nodiscard]] std::optional<StoreUptime> storeUptime() const noexcept
    {
        return store_.uptime();
    }

    /** @brief Updates the failure statistics and the availability of a backend server when a request ends. */
    void recordOutcome(ServerState &server, Outcome outcome, core::MonotonicTime now);

    /**
     * @brief Replaces the loads of another gateway of the own zone.
     * @param vm VM of the gateway.
     * @param loads Its complete loads; backend servers that are missing have none.
     * @param now Time of the update.
     */
    void onPeerLoads(const std::string &vm, const std::vector<ServerLoad> &loads, core::MonotonicTime now);

    /** @brief Replaces the loads of all gateways of another zone. @param zone Name of the zone. @param report Report. @param now Time of the update. */
    void onZoneLoads(const std::string &zone, LoadReport report, core::MonotonicTime now);

    /** @brief Drops the loads of gateways without a recent update. @param maxAge Age from which on an update is stale. @param now Current time. */
    void dropStalePeers(core::Milliseconds maxAge, core::MonotonicTime now);

    /** @brief Drops the loads of zones without a recent update. @param maxAge Age from which on an update is stale. @param now Current time. */
    void dropStaleZones(core::Milliseconds maxAge, core::MonotonicTime now);

    /** @brief Returns the loads of this gateway and of the other gateways of its zone, for publication to other zones. */
    [[nodiscard]] LoadReport ownZoneLoads(core::MonotonicTime now) const;

    /** @brief Returns the sum, over all other gateways, of the time since the last update; input of estimateUnreportedLoad(). */
    [[nodiscard]] std::chrono::duration<double> totalPeerUpdateAge(core::MonotonicTime now) const;

    /** @brief Marks a backend server suspect on another gateway's report, unless a request of this gateway is in flight there and its last byte, or the first
     * request, is less than 300 ms old. */
    void onPeerSuspicion(const Suspicion &report, core::MonotonicTime now);

    /** @brief Records a report of another gateway of the own zone, for publication to other zones. */
    void recordZoneSuspicion(const Suspicion &report, core::MonotonicTime now);

    /** @brief Returns the backend servers that this gateway or another one of its zone found suspect, for publication to other zones. */
    [[nodiscard]] std::vector<Suspicion> ownZoneSuspicions(core::MonotonicTime now) const;

    /** @brief Returns the backend servers that this gateway's own requests found suspect, for publication to peers. */
    [[nodiscard]] std::vector<Suspicion> suspicions(core::MonotonicTime now) const;

    /** @brief Returns what backend servers say of themselves, as far as this gateway knows: at most 64 statements, the latest ones about limits first. */
    [[nodiscard]] std::vector<ServerStatementReport> statements(core::MonotonicTime now) const;

    /** @brief Handles another gateway's report of a statement; ignored if it is about another process of the backend server. */
    void onPeerStatement(const ServerStatementReport &report);

    /** @brief Returns the processes that leave, or were removed within the last five minutes, to tell a gateway that starts: at most 512. */
    [[nodiscard]] std::vector<ProcessReport> goneProcesses(core::MonotonicTime now) const;

    /** @brief Handles another gateway's report of a process that leaves or was removed: the store may have been restored from a copy that lists it as usable.
     * An entry that is older than that is taken out until it is written again. */
    void onPeerProcess(const ProcessReport &report, core::MonotonicTime now);

    /** @brief Returns this gateway's requests in flight; backend servers without any are left out. */
    [[nodiscard]] std::vector<ServerLoad> loads() const;

    /** @brief Returns whether, and under which limits, a backend server may get new requests. */
    [[nodiscard]] Availability availabilityOf(const ServerState &server, core::MonotonicTime now) const;

    /** @brief Returns whether a backend server can serve a fetch of a history from its cache: it is listed and, as far as is known, responds; one that is
     * leaving or fails requests still can. */
    [[nodiscard]] static bool canServeCacheFetch(const ServerState &server, core::MonotonicTime now);

    /** @brief Returns whether requests are in flight and no byte has been received for 6 times the mean time to the response headers, limited to 150 to 700 ms;
     * twice as long with fewer than 3 requests in flight. */
    [[nodiscard]] static bool isUnresponsive(const ServerState &server, core::MonotonicTime now);

    /** @brief Records the time from a request's placement to its response headers. */
    static void recordTimeToHeaders(ServerState &server, core::MonotonicTime::duration time);

    /** @brief Returns the requests of all gateways in flight, as far as they are reported. */
    [[nodiscard]] static int loadOf(const ServerState &server) noexcept;

    /**
     * @brief Estimates the requests that peers have sent since their last updates, assuming that each sends at the same rate as this gateway.
     * @param server Backend server.
     * @param updateAge Result of totalPeerUpdateAge().
     * @param now Current time.
     * @return Requests that loadOf() does not include.
     */
    [[nodiscard]] static double estimateUnreportedLoad(ServerState &server, std::chrono::duration<double> updateAge, core::MonotonicTime now);

    /** @brief Returns the backend servers of a service, including those whose entry expired during a store outage. */
    [[nodiscard]] const std::vector<ServerPtr> &serversOf(const std::string &service) const;

    /** @brief Returns copies of all backend servers' states, ordered by id. */
    [[nodiscard]] std::vector<ServerView> views(core::MonotonicTime now) const;

    /** @brief Finds a backend server by its id. @return State; null if it is not listed. */
    [[nodiscard]] ServerPtr find(const std::string &id) const;

    /** @brief Finds the id of a listed backend server by serverHash(). @return Id; empty if none is listed. */
    [[nodiscard]] std::string idOf(std::uint32_t hash) const;

private:
    [[nodiscard]] std::optional<KnownProcess> knownProcess(const std::string &id, core::MonotonicTime now) const;
    bool applyEntry(const world::BackendServer &entry, const std::optional<KnownProcess> &known, core::MonotonicTime now);
    [[nodiscard]] bool applyWithheldEntry(std::uint32_t hash, core::MonotonicTime now);
    void removeServer(std::map<std::string, ServerPtr>::iterator known, core::MonotonicTime now);
    void takeOut(std::map<std::string, ServerPtr>::iterator known);
    void endEvacuation(const std::string &zone);
    void removeFromService(const ServerPtr &server);
    void updatePeerLoads(const std::vector<std::string> &servers);
    [[nodiscard]] int reportedLoadOf(const std::string &id) const;
    void markSuspect(ServerState &server, core::Milliseconds time, bool isResponding, core::MonotonicTime now) const;
    [[nodiscard]] bool isFailureOutlier(const ServerState &server, core::MonotonicTime now) const;

    std::map<std::string, ServerPtr> servers_; /* by id */
    std::map<std::string, std::vector<ServerPtr>, std::less<>> byService_;
    PeerLoads peerLoads_; /* of the other gateways of the own zone */
    PeerLoads zoneLoads_; /* of the gateways of other zones, by zone */
    std::unordered_map<std::uint32_t, std::string> idsByHash_;
    std::set<std::string> evacuatedZones_;
    std::set<std::string> endingEvacuations_; /* zones whose evacuation ends unless it is written again */
    std::optional<core::MonotonicTime> firstListedAt_;
    StoreAvailability store_;
    StaleEntries staleEntries_;
};

} // namespace cyclamenspool::gateway
