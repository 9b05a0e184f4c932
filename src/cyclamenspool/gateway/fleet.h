#pragma once

#include <cyclamenspool/gateway/peerloads.h>
#include <cyclamenspool/gateway/serverstate.h>
#include <cyclamenspool/gateway/shares.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenspool::gateway {

using ServerPtr = std::shared_ptr<ServerState>;

/** @brief Suspicion of a backend server as gateways tell it to each other. */
struct SuspicionNews {
    std::string server;
    core::Milliseconds lasts{0}; /**< From now. */
};

/** @brief A backend server with the evidence on it, as operators see it. */
struct ServerView {
    world::BackendServer record;
    Standing standing = Standing::Usable;
    core::Milliseconds reportAge{0}; /**< Since its last report was taken. */
    int outstanding = 0; /**< Requests of this gateway. */
    int load = 0; /**< Requests of all gateways. */
    int failuresInRow = 0;
    double failureRatio = 0.0;
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
};

/** @brief Every backend server that is listed, with the evidence on it. Not thread safe. */
class Fleet
{
public:
    /** @brief Takes an entry of the list. @param listed Entry. @param now Time. @return True if more than the time of the report has changed. */
    bool onListed(const world::BackendServer &listed, core::MonotonicTime now);

    /** @brief Takes the news that an entry is gone. @param id Backend server. @param now Time. */
    void onUnlisted(const std::string &id, core::MonotonicTime now);

    /** @brief Takes a zone's evacuation or its end. @param zone Zone. @param isLeaving True if it gets nothing new. */
    void onZone(const std::string &zone, bool isLeaving);

    /** @brief Takes a failed call to the store. */
    void onStoreIll();

    /** @brief Takes a complete answer of the store. @param now Time. */
    void onStoreWell(core::MonotonicTime now);

    /** @brief Takes the end of a request. @param server Backend server. @param outcome How it ended. @param now Time. */
    void onOutcome(ServerState &server, Outcome outcome, core::MonotonicTime now);

    /** @brief Takes another gateway's loads; those that it does not name are zero. @param vm Its VM. @param loads Loads. @param now Time. */
    void onPeerLoads(const std::string &vm, const std::vector<LoadNews> &loads, core::MonotonicTime now);

    /** @brief Forgets the loads of gateways that are silent. @param limit Longest silence. @param now Time. */
    void forgetSilentPeers(core::Milliseconds limit, core::MonotonicTime now);

    /** @brief Adds up the ages of the other gateways' loads. @param now Time. @return Time in which they sent requests that are not known here. */
    [[nodiscard]] std::chrono::duration<double> unseenTime(core::MonotonicTime now) const;

    /** @brief Takes another gateway's suspicion. @param news Suspicion. @param now Time. */
    void onPeerSuspicion(const SuspicionNews &news, core::MonotonicTime now);

    /** @brief Lists what this gateway's own requests have shown. @param now Time. @return Suspicions that hold. */
    [[nodiscard]] std::vector<SuspicionNews> suspicions(core::MonotonicTime now) const;

    /** @brief Lists this gateway's requests. @return Loads above zero. */
    [[nodiscard]] std::vector<LoadNews> loads() const;

    /** @brief Judges the evidence. @param server Backend server. @param now Time. @return What it allows. */
    [[nodiscard]] Standing standingOf(const ServerState &server, core::MonotonicTime now) const;

    /** @brief Tells whether requests wait and nothing has come for longer than answers take. @param server Backend server. @param now Time. @return True if so.
     */
    [[nodiscard]] static bool isSilent(const ServerState &server, core::MonotonicTime now);

    /** @brief Takes the time until an answer began. @param server Backend server. @param time Time. */
    static void onHeadTime(ServerState &server, core::MonotonicTime::duration time);

    /** @brief Adds up the requests of all gateways. @param server Backend server. @return Requests outstanding. */
    [[nodiscard]] static int loadOf(const ServerState &server) noexcept;

    /**
     * @brief Guesses the requests that peers have sent since their last news: as many each as this gateway sends in that time.
     * @param server Backend server.
     * @param unseenTime What unseenTime() gives.
     * @param now Time.
     * @return Requests that loadOf() does not know.
     */
    [[nodiscard]] static double unseenLoadOf(ServerState &server, std::chrono::duration<double> unseenTime, core::MonotonicTime now);

    /** @brief Finds the backend servers of a service. @param service Service. @return Those that are listed or lapsed. */
    [[nodiscard]] const std::vector<ServerPtr> &serversOf(const std::string &service) const;

    /** @brief Lists every backend server with the evidence on it. @param now Time. @return Views, by id. */
    [[nodiscard]] std::vector<ServerView> views(core::MonotonicTime now) const;

    /** @brief Finds a backend server. @param id Its id. @return State; null: not listed. */
    [[nodiscard]] ServerPtr find(const std::string &id) const;

private:
    void leaveService(const ServerPtr &server);
    void refreshLoads(const std::vector<std::string> &servers);
    void suspect(ServerState &server, core::Milliseconds time, core::MonotonicTime now) const;
    [[nodiscard]] bool failsMoreThanOthers(const ServerState &server, core::MonotonicTime now) const;
    void dropLapsed(core::MonotonicTime now);
    [[nodiscard]] bool storeWasIll(core::MonotonicTime now) const;

    std::map<std::string, ServerPtr> servers_; /* by id */
    std::map<std::string, std::vector<ServerPtr>, std::less<>> byService_;
    PeerLoads peerLoads_;
    std::set<std::string> leavingZones_;
    std::optional<core::MonotonicTime> firstListed_;
    bool wasIll_ = false; /* a call to the store has failed */
    std::optional<core::MonotonicTime> wellSince_;
};

} // namespace cyclamenspool::gateway
