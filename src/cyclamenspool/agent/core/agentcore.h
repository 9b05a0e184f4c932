#pragma once

#include <cyclamenspool/agent/core/actions.h>
#include <cyclamenspool/agent/core/keyowner.h>
#include <cyclamenspool/agent/core/peerloads.h>
#include <cyclamenspool/core/errorkind.h>
#include <cyclamenspool/core/random.h>
#include <cyclamenspool/member/fleetview.h>
#include <cyclamenspool/member/meanestimator.h>
#include <cyclamenspool/policy/chatdirectory.h>
#include <cyclamenspool/policy/coldstartramp.h>
#include <cyclamenspool/policy/freshnesslease.h>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenspool::agent {

/** @brief Identity of an agent and the limits of its decisions. */
struct AgentOptions {
    std::string vm;
    std::string zone;
    std::string server; /**< Backend server on the same VM. */
    std::string group; /**< Group of the backend server in the operators' table; it determines the pool and the weight. */
    core::Milliseconds viewLease{3000}; /**< Without a tick for this long, the process counts as suspended and its view as out of date. */
    core::Milliseconds maxClockSkew{500}; /**< Largest difference between the wall clocks of two machines. */
    core::Milliseconds takeOverDelay{30000}; /**< Longest wait for a former home of idempotency keys that is missing from the platform's VM list. */
    core::Milliseconds exchangePeriod{250}; /**< Mean time between two load exchanges that this agent starts. */
    std::size_t chatCapacity = 4096; /**< Maximum number of chats in the directory. */
    int maxResumes = 2; /**< Maximum number of times that one interrupted response is resumed. */
    double weightStoreLoadsPerSecond = 10.0; /**< Model loads per second that the weight store sustains for the whole fleet. */
};

/** @brief State of the engine as reported by the engine. */
struct EngineState {
    std::string incarnation; /**< Changes with each restart of the engine. */
    std::uint64_t cacheEpoch = 0; /**< Increases when the engine loses its cache. */
    std::vector<std::string> models; /**< Loaded models. */
    std::vector<std::string> evictedChats; /**< Chats evicted from the cache since the previous report. */
    bool eventGap = false; /**< Some cache events since the previous report were lost. */
};

/** @brief Response head of a backend server. */
struct BackendResponseHead {
    int status = 0;
    std::string contentType;
    std::string requestId; /**< Request id echoed by the backend server; empty if it echoes none. */
    std::uint64_t cachedTokens = 0; /**< Prompt tokens that the engine found in its cache. */
};

/** @brief Counters of an agent since its start. */
struct AgentCounts {
    std::uint64_t admitted = 0;
    std::uint64_t completed = 0; /**< Responses relayed completely. */
    std::uint64_t replayedResponses = 0; /**< Responses replayed from an idempotency record. */
    std::uint64_t droppedResponses
        = 0; /**< Backend responses dropped: they carried another request's id, or a status that promises more than the server said. */
    std::uint64_t coldStarts = 0;
    std::uint64_t orders = 0; /**< Orders to load a model. */
    std::uint64_t warmTokens = 0; /**< Prompt tokens that the engine found in its cache. */
    std::uint64_t estimatedWarmTokens = 0; /**< Prompt tokens that the agent expected in the engine's cache at admission. */
    std::uint64_t promptTokens = 0; /**< Prompt tokens of all admitted requests. */
    std::map<core::ErrorKind, std::uint64_t> refusals;
};

/** @brief Load of the engine, for status and metrics. */
struct AgentLoad {
    double tokens = 0.0; /**< Outstanding tokens. */
    double limit = 0.0; /**< Maximum number of outstanding tokens allowed now. */
    std::optional<double> poolMean; /**< Estimated mean of the pool, in outstanding tokens per unit of weight. */
    std::size_t runs = 0; /**< Runs in progress. */
    bool leaving = false; /**< The operators or the platform have marked the backend server, its VM or its zone as leaving. */
    bool cold = false; /**< The warm-up after a cold start is in progress. */
};

/**
 * @brief Decision logic of an agent as a state machine: events and the time go in, actions come out. Uses no socket, thread or clock.
 *
 * Thread safe: each member function locks the core's mutex. Lock order: DocumentStore, then a core, then log and metrics.
 * The code that calls a member function executes the returned actions afterwards, in their order.
 */
class AgentCore
{
public:
    /** @brief Creates a core without a view. @param seed Seed of the random source. @param now Start time of the agent. */
    AgentCore(AgentOptions options, std::uint64_t seed, core::Now now);

    /** @brief Admits or refuses a router's request. @param stream Stream of the request, for the reply. */
    [[nodiscard]] Actions onSubmit(std::uint64_t stream, const wire::Submit &request, core::Now now);

    /**
     * @brief Returns whether a run may be sent to the backend server; to be checked immediately before its first byte is written.
     * @return False if the process was suspended since it admitted the run, or the run has ended.
     */
    [[nodiscard]] bool isStartAllowed(std::uint64_t run, core::Now now) const;

    /**
     * @brief Returns whether an order may be sent to the engine; to be checked immediately before its first byte is written.
     * @return False if, since the order was decided, the process was suspended, the view changed or the backend server was marked as leaving.
     */
    [[nodiscard]] bool isOrderAllowed(const OrderModelLoad &order, core::Now now) const;

    /**
     * @brief Handles a stream that its router cancelled or lost.
     *
     * A run without an idempotency key is cancelled; one with a key continues, so that its outcome can be stored.
     */
    [[nodiscard]] Actions onStreamClosed(std::uint64_t stream, core::Now now);

    /** @brief Handles the response head of a run. */
    [[nodiscard]] Actions onBackendResponseHead(std::uint64_t run, const BackendResponseHead &head, core::Now now);

    /** @brief Handles the next bytes of a response body. */
    [[nodiscard]] Actions onBackendResponseData(std::uint64_t run, const std::string &data, core::Now now);

    /** @brief Handles the end of a complete response. */
    [[nodiscard]] Actions onBackendResponseEnd(std::uint64_t run, core::Now now);

    /**
     * @brief Handles the loss of a run's connection to the backend server: resumes the response or fails the run.
     * @param mayHaveBeenSent False only if no byte of the request can have reached the backend server.
     * @param reason Cause, for the log.
     */
    [[nodiscard]] Actions onBackendConnectionLost(std::uint64_t run, bool mayHaveBeenSent, const std::string &reason, core::Now now);

    /** @brief Handles a state report of the engine. @param state State; none if the engine does not respond. */
    [[nodiscard]] Actions onEngineState(const std::optional<EngineState> &state, core::Now now);

    /** @brief Applies a new view of the fleet. */
    [[nodiscard]] Actions onView(std::shared_ptr<const member::FleetView> view, core::Now now);

    /** @brief Renews the lease of the current view after the documents were re-read and no newer view was found. */
    void confirmView(core::Now now);

    /**
     * @brief Runs the periodic work.
     *
     * Renews the lease of the view. An expired lease, a sign that the process was suspended, is not renewed; instead,
     * KeyOwner::resetAfterGap() is called and a refresh of the view is requested, and the rest of the work is skipped.
     * @param timeSinceServiceContact Time since the last contact with the platform's services, directly or through peers. If it is above
     * half of the takeover delay, the agent counts as isolated, and a view that arrives before the next tick calls KeyOwner::resetAfterGap().
     */
    [[nodiscard]] Actions onTick(core::Now now, core::Milliseconds timeSinceServiceContact = core::Milliseconds(0));

    /**
     * @brief Answers a peer's load exchange.
     * @return Reply; marked busy if the peer belongs to another pool, or if this agent has no pool, awaits the reply to an exchange of
     * its own or is in a later epoch.
     */
    [[nodiscard]] wire::Exchange onExchange(const wire::Exchange &request, core::Now now);

    /** @brief Completes a load exchange that this agent started. */
    void onExchangeReply(const wire::Exchange &reply, core::Now now);

    /** @brief Handles a peer's report of the backend server that has a chat's history cached; the chat's home is this agent. */
    void onChatPlacement(const wire::Placed &placed, core::Now now);

    /**
     * @brief Answers a request for idempotency records.
     * @return Records of the keys whose home is now the requester; an incomplete reply if this agent's view is out of date or of another revision.
     */
    [[nodiscard]] wire::HandOverReply onHandOverRequest(const wire::HandOverRequest &request, core::Now now);

    /** @brief Imports the idempotency records of a former home. @param server Backend server of the former home. */
    void onHandOverReply(const std::string &server, const wire::HandOverReply &reply, core::Now now);

    /** @brief Begins the graceful shutdown: new requests are refused. */
    void beginShutdown();

    /** @brief Returns the current load. */
    [[nodiscard]] AgentLoad load(core::Now now) const;

    /** @brief Returns the ids of the requests that run for an open stream. */
    [[nodiscard]] std::vector<std::string> openRequests() const;

    /** @brief Returns the counters since the start. */
    [[nodiscard]] AgentCounts counts() const;

private:
    struct Run {
        std::uint64_t stream = 0;
        bool streamOpen = true;
        wire::Submit request;
        core::MonotonicTime deadline;
        double prefill = 0.0; /* outstanding tokens of the prompt; zero once the response has started */
        double decode = 0.0; /* outstanding tokens of the response */
        std::uint64_t offset = 0; /* bytes of the response received so far */
        bool responseStarted = false;
        int resumes = 0;
        int status = 0;
        std::string contentType;
        std::string storedBody; /* response body of a request with a key, for its idempotency record */
    };
    struct Cost {
        double prefill = 0.0; /* tokens of the prompt that are not cached here */
        double decode = 0.0; /* tokens of the response */
        double warm = 0.0; /* tokens of the prompt that are cached here */

        [[nodiscard]] double total() const noexcept
        {
            return prefill + decode;
        }
    };

    [[nodiscard]] const world::Pool *pool() const;
    [[nodiscard]] double weight() const;
    [[nodiscard]] bool isLeaving() const;
    [[nodiscard]] double capacity(core::Now now) const;
    /* Returns the maximum number of outstanding tokens. seenLoads: loads of the backend servers that have just refused the request. */
    [[nodiscard]] double loadLimit(const Cost &cost, const std::vector<double> &seenLoads, core::Now now) const;
    [[nodiscard]] bool isPoolFull(core::Now now) const;
    [[nodiscard]] Cost costOf(const wire::Submit &request, core::Now now);
    void checkAvailable(const wire::Submit &request, core::Now now) const;
    /* Returns the other backend server that has the chat's history cached; empty if none. During this agent's warm-up, a chat of this
       home that is not in the directory is assigned to the second server of its rendezvous ranking. */
    [[nodiscard]] std::string findWarmPeer(const wire::Submit &request, core::Now now);
    [[nodiscard]] bool hasCapacityFor(const wire::Submit &request, const Cost &cost, core::Now now) const;
    void admit(std::uint64_t stream, const wire::Submit &request, core::Now now, Actions &actions);
    [[nodiscard]] bool admitKey(std::uint64_t stream, const wire::Submit &request, core::Now now, Actions &actions);
    void start(std::uint64_t stream, const wire::Submit &request, const Cost &cost, core::Now now, Actions &actions);
    void refuse(std::uint64_t stream,
                const wire::Submit &request,
                core::ErrorKind kind,
                const std::string &detail,
                const std::string &candidate,
                Actions &actions);
    void replayStoredResponse(std::uint64_t stream, const wire::Submit &request, const policy::IdempotencyRecord &record, Actions &actions);
    void addReply(const Run &run, wire::Reply reply, bool last, Actions &actions) const;
    void failRun(std::uint64_t id, core::ErrorKind kind, const std::string &detail, Actions &actions);
    void dropResponse(std::uint64_t id, core::ErrorKind kind, const std::string &detail, core::Now now, Actions &actions);
    void adjustLoad(double change, core::Now now);
    void eraseRun(std::uint64_t id, core::Now now);
    void recordChatPlacement(const Run &run, core::Now now, Actions &actions);
    [[nodiscard]] std::string homeOfChat(const std::string &chat) const;
    /* Returns a peer below the pool's mean load, to be suggested in a refusal; empty if none is known. */
    [[nodiscard]] std::string spilloverCandidate(const wire::Submit &request, const Cost &cost, core::Now now);
    void beginColdStart(const std::string &reason, core::Now now, Actions &actions);
    void orderModelLoad(const EngineState &state, core::Now now, Actions &actions);
    void startExchange(core::Now now, Actions &actions);
    void cancelExpired(core::Now now, Actions &actions);
    [[nodiscard]] core::Decision makeDecision(const char *kind, const wire::Submit &request) const;

    const AgentOptions options_;
    const core::Now start_;
    mutable std::mutex mutex_;
    core::RandomSource random_;
    std::shared_ptr<const member::FleetView> view_;
    policy::FreshnessLease lease_;
    policy::ColdStartRamp ramp_;
    policy::ChatDirectory chats_;
    std::unique_ptr<member::MeanEstimator> estimator_;
    PeerLoads peers_;
    std::unique_ptr<KeyOwner> keys_;
    bool isolated_ = false; /* no service contact for so long that the homes of keys may have moved away and back unnoticed; set by each tick */
    std::map<std::uint64_t, Run> runs_; /* by run number */
    std::map<std::uint64_t, std::uint64_t> runByStream_;
    std::uint64_t nextRun_ = 1;
    double outstandingTokens_ = 0.0; /* load of all runs */
    double largestRequest_ = 0.0; /* largest cost of a recent request, in tokens; decays with each tick */
    core::MonotonicTime nextExchange_{};
    std::optional<EngineState> engine_; /* latest report; none while the engine does not respond */
    core::MonotonicTime lastOrder_{};
    bool shuttingDown_ = false;
    AgentCounts counts_;
};

} // namespace cyclamenspool::agent
