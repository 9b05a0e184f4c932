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

/** @brief Limits on retries, open requests and the age of the fleet view. */
struct RouterLimits {
    int maxAttempts = 4; /**< Maximum number of attempts for one request before its retry rounds start, redirects included. */
    double retryRatio = 0.2; /**< Retries that the first attempt of each request adds to the retry budget. */
    double retryReserve = 20.0; /**< Maximum number of retries that the budget can hold. */
    int maxRetryRounds = 10; /**< Maximum number of retry rounds over the backend servers that rejected for lack of capacity, least loaded first. */
    core::Milliseconds retryRoundDelay{50}; /**< Delay before each round after the first, in which the loads can change. */
    std::size_t maxOpenRequests = 10000; /**< Maximum number of open requests, and of requests queued for a view refresh. */
    core::Milliseconds viewLease{3000}; /**< Without a tick for this long, the process counts as suspended and its view as out of date. */
};

/** @brief Counters of a router since its start. */
struct RouterCounts {
    std::uint64_t requests = 0;
    std::uint64_t completed = 0; /**< Responses relayed completely. */
    std::uint64_t attempts = 0;
    std::uint64_t redirects = 0; /**< Attempts at a backend server that another one named. */
    std::uint64_t retries = 0; /**< Attempts at the next candidate; retry rounds are not counted. */
    std::uint64_t droppedReplies = 0; /**< Replies without a matching request and attempt, of an unknown type, or with only duplicate bytes. */
    std::map<core::ErrorKind, std::uint64_t> failures;
};

/**
 * @brief Decision logic of a router: turns events and the current time into actions, without sockets, threads or clocks.
 *
 * Thread safe: each member function locks the core's mutex. Lock order: DocumentStore, then a core, then log and metrics.
 * The code that calls a member function executes the returned actions afterwards, in their order.
 */
class RouterCore
{
public:
    /** @brief Creates a core without a fleet view. @param name Name of this router's VM. @param limits Limits. @param seed Seed of the random source. */
    RouterCore(std::string name, const RouterLimits &limits, std::uint64_t seed);

    /** @brief Handles a caller's request: sends, queues or rejects it. @param request Request. @param now Current time. @return Actions. */
    [[nodiscard]] Actions onRequest(CallerRequest request, core::Now now);

    /**
     * @brief Handles an agent's reply. A reply that does not match an open attempt is counted and dropped.
     * @param attemptId Attempt on whose stream the reply arrived.
     * @param reply Reply.
     * @param now Current time.
     * @return Actions.
     */
    [[nodiscard]] Actions onReply(std::uint64_t attemptId, const wire::Reply &reply, core::Now now);

    /**
     * @brief Handles the end of an attempt's stream; has no effect after the final reply.
     * @param attemptId Attempt.
     * @param mayHaveBeenSent False only if no byte of the attempt can have reached the agent.
     * @param reason Cause, for logs and error details.
     * @param now Current time.
     * @return Actions.
     */
    [[nodiscard]] Actions onAttemptLost(std::uint64_t attemptId, bool mayHaveBeenSent, const std::string &reason, core::Now now);

    /** @brief Cancels a request whose caller disconnected. @param requestId Request. @param now Unused. @return Actions. */
    [[nodiscard]] Actions onCallerDisconnected(const std::string &requestId, core::Now now);

    /**
     * @brief Does the periodic work: renews the lease of the view, fails requests past their deadline and starts due retry rounds.
     *
     * An expired lease, a sign that the process was suspended, is not renewed; a refresh of the view is requested instead, as it is
     * before the first view.
     * @param now Current time.
     * @return Actions.
     */
    [[nodiscard]] Actions onTick(core::Now now);

    /** @brief Applies a new fleet view, renews its lease and admits the queued requests. @param view View. @param now Current time. @return Actions. */
    [[nodiscard]] Actions onView(std::shared_ptr<const member::FleetView> view, core::Now now);

    /**
     * @brief Renews the lease of the present view after a refresh, and admits the queued requests. Has no effect without a view.
     * @param now Current time.
     * @return Actions.
     */
    [[nodiscard]] Actions confirmView(core::Now now);

    /** @brief Starts the graceful shutdown: new requests are rejected. */
    void beginShutdown();

    /** @brief Returns the number of admitted requests without a final response; queued requests are not counted. */
    [[nodiscard]] std::size_t openRequests() const;

    /** @brief Returns the counters. */
    [[nodiscard]] RouterCounts counts() const;

private:
    /* waits for a refresh of the fleet view */
    struct QueuedRequest {
        CallerRequest request;
        core::MonotonicTime queuedAt;
    };
    /* admitted, without a final response */
    struct PendingRequest {
        CallerRequest request;
        Placement placement;
        std::string effectiveKey; /* the caller's idempotency key or one generated here; empty: none */
        bool isRetryable = true; /* may be sent again after an attempt that may have run was lost */
        bool keyFromRouter = false; /* effectiveKey was generated here */
        core::MonotonicTime deadline;
        std::uint64_t attemptId = 0; /* latest attempt */
        std::string server; /* of the latest attempt */
        std::set<std::string> triedServers;
        std::map<std::string, double> rejectedBy; /* backend servers that rejected for lack of capacity, with their loads */
        int retryRounds = 0; /* rounds started over the servers in rejectedBy */
        std::size_t attemptsInRound = 0;
        std::optional<core::MonotonicTime> nextRoundAt; /* set while the request waits for the next round */
        int attemptCount = 0;
        bool responseStarted = false;
        bool mayHaveRun = false; /* an earlier attempt was lost after it may have reached the agent */
        std::uint64_t receivedBytes = 0; /* bytes of the response body */
    };

    void admit(CallerRequest request, core::Now now, Actions &actions);
    /* queues the request if the view is out of date; returns whether it was queued */
    [[nodiscard]] bool enqueueIfStale(CallerRequest &request, core::Now now, Actions &actions);
    void admitQueued(core::Now now, Actions &actions);
    void expireQueued(core::Now now, Actions &actions);
    void moveSuspectsLast(Placement &placement, core::Now now) const;
    /* throws core::Error if the request cannot be admitted */
    void checkAdmission(const CallerRequest &request, core::Now now);
    [[nodiscard]] PendingRequest makePending(CallerRequest request, core::Now now);
    /* located: the server was chosen by a redirect, a location hint or a retry round; the agent does not redirect it to a server with the chat's history */
    void sendTo(PendingRequest &pending, const std::string &server, const std::string &reason, bool located, core::Now now, Actions &actions);
    void tryNextCandidate(PendingRequest &pending, core::ErrorKind cause, const std::string &detail, bool usesRetryBudget, core::Now now, Actions &actions);
    void fail(PendingRequest &pending, core::ErrorKind kind, const std::string &detail, core::Milliseconds retryAfter, Actions &actions);
    void onFailureReply(PendingRequest &pending, const wire::Failed &failed, core::Now now, Actions &actions);
    /* sends or schedules the next attempt of a retry round; returns false if no round is left */
    [[nodiscard]] bool continueRetryRounds(PendingRequest &pending, core::Now now, Actions &actions);
    void sendToLeastLoaded(PendingRequest &pending, core::Now now, Actions &actions);
    void expirePending(core::Now now, Actions &actions);
    void startDueRounds(core::Now now, Actions &actions);
    void onResponseChunk(PendingRequest &pending, const wire::Chunk &chunk, Actions &actions);
    void onResponseEnd(PendingRequest &pending, const wire::End &end, Actions &actions);
    void remove(const PendingRequest &pending);
    [[nodiscard]] PendingRequest *findByAttempt(std::uint64_t attemptId);
    [[nodiscard]] std::string nextCandidate(const PendingRequest &pending) const;
    [[nodiscard]] core::Decision makeDecision(const PendingRequest &pending, const char *kind) const;

    const std::string name_;
    const RouterLimits limits_;
    mutable std::mutex mutex_;
    core::RandomSource random_;
    std::shared_ptr<const member::FleetView> view_;
    policy::FreshnessLease lease_;
    member::SuspectList suspects_;
    policy::RetryBudget retryBudget_;
    policy::WorkspaceLimiter workspaceLimiter_;
    std::map<std::string, PendingRequest> pendingRequests_; /* by request id */
    std::map<std::uint64_t, std::string> requestIdsByAttempt_;
    std::vector<QueuedRequest> queuedRequests_; /* received while the view was out of date after a suspension of the process */
    std::uint64_t nextAttemptId_ = 1;
    bool shuttingDown_ = false;
    RouterCounts counts_;
};

} // namespace cyclamenspool::router
