#pragma once

#include <cyclamenspool/core/random.h>
#include <cyclamenspool/member/fleetview.h>
#include <cyclamenspool/member/suspectlist.h>
#include <cyclamenspool/policy/freshnesslease.h>
#include <cyclamenspool/policy/retrybudget.h>
#include <cyclamenspool/policy/workspacelimiter.h>
#include <cyclamenspool/router/core/actions.h>
#include <cyclamenspool/router/core/placement.h>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cyclamenspool::router {

/** @brief Bounds of a router's decisions. */
struct RouterLimits {
    int attempts = 4; /**< Attempts of one request, redirects included. */
    double retryRatio = 0.2; /**< Retries per fresh request. */
    double retryReserve = 20.0; /**< Retries that quiet times save up. */
    int sweeps = 10; /**< Times that those which refused are asked again, least loaded first. */
    core::Milliseconds sweepPause{50}; /**< Between two sweeps; the loads move meanwhile. */
    std::size_t openRequests = 10000;
    core::Milliseconds viewLease{3000};
};

/** @brief Counts of a router since its start. */
struct RouterCounts {
    std::uint64_t requests = 0;
    std::uint64_t whole = 0;
    std::uint64_t attempts = 0;
    std::uint64_t redirects = 0;
    std::uint64_t retries = 0;
    std::uint64_t droppedReplies = 0; /**< Replies with an unknown request or attempt, or repeated bytes. */
    std::map<core::ErrorKind, std::uint64_t> failures;
};

/**
 * @brief Whole decision logic of a router. Events and the time go in, actions come out; no socket, thread or clock inside.
 *
 * Thread safe: every call holds the core's own lock. Lock order: DocumentStore, then a core, then log and metrics.
 * The caller carries out the actions after the call, in their order.
 */
class RouterCore
{
public:
    /** @brief Creates a core without a view. @param name Name of this router's VM. @param limits Bounds. @param seed Seed. */
    RouterCore(std::string name, const RouterLimits &limits, std::uint64_t seed);

    /** @brief Takes a request from a caller. @param request Request. @param now Time. @return Actions. */
    [[nodiscard]] Actions onRequest(CallerRequest request, core::Now now);

    /** @brief Takes a message of an agent. @param attempt Attempt whose stream it came on. @param reply Message. @param now Time. @return Actions. */
    [[nodiscard]] Actions onReply(std::uint64_t attempt, const wire::Reply &reply, core::Now now);

    /**
     * @brief Notes that an attempt's stream ended without a final message.
     * @param attempt Attempt.
     * @param sent False only if no byte of the attempt can have reached the agent.
     * @param reason Cause, for the log.
     * @param now Time.
     * @return Actions.
     */
    [[nodiscard]] Actions onAttemptLost(std::uint64_t attempt, bool sent, const std::string &reason, core::Now now);

    /** @brief Notes that the caller is gone. @param request Request id. @param now Time. @return Actions. */
    [[nodiscard]] Actions onCallerGone(const std::string &request, core::Now now);

    /** @brief Ends requests past their deadline and renews the lease. @param now Time. @return Actions. */
    [[nodiscard]] Actions onTick(core::Now now);

    /** @brief Takes a new view of the fleet. @param view View. @param now Time. @return Actions. */
    [[nodiscard]] Actions onView(std::shared_ptr<const member::FleetView> view, core::Now now);

    /** @brief Notes that the documents were re-read after a freeze and the view in hand is the newest. @param now Time. @return Actions. */
    [[nodiscard]] Actions confirmView(core::Now now);

    /** @brief Starts the graceful shutdown: new requests are refused. */
    void beginShutdown();

    /** @brief Counts the open requests. @return Number of requests without a final answer. */
    [[nodiscard]] std::size_t openRequests() const;

    /** @brief Returns the counts. @return Counts. */
    [[nodiscard]] RouterCounts counts() const;

private:
    struct Parked {
        CallerRequest request;
        core::MonotonicTime since;
    };
    struct Flight {
        CallerRequest request;
        Placement placement;
        std::string scopedKey;
        bool isRepeatable = true;
        bool keyFromRouter = false;
        core::MonotonicTime deadline;
        std::uint64_t attempt = 0;
        std::string target;
        std::set<std::string> tried;
        std::map<std::string, double> refusedLoads; /* by backend server that refused at its load bound */
        int sweeps = 0; /* sweeps begun over those that refused */
        std::size_t asked = 0; /* attempts in the present sweep */
        std::optional<core::MonotonicTime> waitsUntil; /* start of the next sweep */
        int attempts = 0;
        bool began = false;
        bool mayHaveRun = false;
        std::uint64_t received = 0;
    };

    void take(CallerRequest request, core::Now now, Actions &actions);
    [[nodiscard]] bool park(CallerRequest &request, core::Now now, Actions &actions);
    void takeParked(core::Now now, Actions &actions);
    void endParked(core::Now now, Actions &actions);
    void deferSuspects(Placement &placement, core::Now now) const;
    void check(const CallerRequest &request, core::Now now);
    [[nodiscard]] Flight makeFlight(CallerRequest request, core::Now now);
    void sendTo(Flight &flight, const std::string &server, const std::string &reason, bool located, core::Now now, Actions &actions);
    void tryNext(Flight &flight, core::ErrorKind cause, const std::string &detail, bool takesBudget, core::Now now, Actions &actions);
    void fail(Flight &flight, core::ErrorKind kind, const std::string &detail, core::Milliseconds retryAfter, Actions &actions);
    void onFailed(Flight &flight, const wire::Failed &failed, core::Now now, Actions &actions);
    [[nodiscard]] bool sweepAgain(Flight &flight, core::Now now, Actions &actions);
    void sendToLeastLoaded(Flight &flight, core::Now now, Actions &actions);
    void endLate(core::Now now, Actions &actions);
    void resumeWaiting(core::Now now, Actions &actions);
    void onChunk(Flight &flight, const wire::Chunk &chunk, Actions &actions);
    void onEnd(Flight &flight, const wire::End &end, Actions &actions);
    void erase(const Flight &flight);
    [[nodiscard]] Flight *findAttempt(std::uint64_t attempt);
    [[nodiscard]] std::string nextCandidate(const Flight &flight) const;
    [[nodiscard]] core::Decision decide(const Flight &flight, const char *kind) const;

    const std::string name_;
    const RouterLimits limits_;
    mutable std::mutex mutex_;
    core::RandomSource random_;
    std::shared_ptr<const member::FleetView> view_;
    policy::FreshnessLease lease_;
    member::SuspectList suspects_;
    policy::RetryBudget retryBudget_;
    policy::WorkspaceLimiter workspaceLimiter_;
    std::map<std::string, Flight> flights_;
    std::map<std::uint64_t, std::string> attempts_;
    std::vector<Parked> parked_; /* requests that wait for the view to be re-read after a freeze */
    std::uint64_t nextAttempt_ = 1;
    bool shuttingDown_ = false;
    RouterCounts counts_;
};

} // namespace cyclamenspool::router
