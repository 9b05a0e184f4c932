#pragma once

#include <cyclamenspool/agent/core/actions.h>
#include <cyclamenspool/agent/core/keykeeper.h>
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

namespace cyclamenspool::agent {

/** @brief Who an agent is and the bounds of its decisions. */
struct AgentOptions {
    std::string vm;
    std::string zone;
    std::string server;
    std::string group;
    core::Milliseconds viewLease{3000};
    core::Milliseconds clockBound{500};
    core::Milliseconds takeOver{30000};
    core::Milliseconds exchangePeriod{250};
    std::size_t chats = 4096; /**< Chats remembered. */
    int resumes = 2; /**< Resumes of one answer. */
    double weightStoreRate = 10.0; /**< Loads a second that the weight store bears. */
};

/** @brief State of the engine as it reports it. */
struct EngineState {
    std::string incarnation;
    std::uint64_t cacheEpoch = 0; /**< Grows when the engine lost its cache. */
    std::vector<std::string> models;
    std::vector<std::string> evictedChats;
    bool eventGap = false; /**< Cache events were lost. */
};

/** @brief First part of a backend server's answer. */
struct BackendBegin {
    int status = 0;
    std::string contentType;
    std::string requestId; /**< Request id echoed by the backend server; empty: it does not echo. */
    std::uint64_t cachedTokens = 0;
};

/** @brief Counts of an agent since its start. */
struct AgentCounts {
    std::uint64_t admitted = 0;
    std::uint64_t whole = 0;
    std::uint64_t storedAnswers = 0;
    std::uint64_t droppedAnswers = 0; /**< Backend answers with another request's id. */
    std::uint64_t coldStarts = 0;
    std::uint64_t orders = 0;
    std::uint64_t warmTokens = 0; /**< Prompt tokens that the engine found warm. */
    std::uint64_t countedWarm = 0; /**< Prompt tokens that were counted as warm at admission. */
    std::uint64_t promptTokens = 0;
    std::map<core::ErrorKind, std::uint64_t> refusals;
};

/** @brief Load of the engine, for status and metrics. */
struct AgentLoad {
    double tokens = 0.0;
    double limit = 0.0;
    std::optional<double> poolMean;
    std::size_t runs = 0;
    bool leaving = false;
    bool cold = false;
};

/**
 * @brief Whole decision logic of an agent. Events and the time go in, actions come out; no socket, thread or clock inside.
 *
 * Thread safe: every call holds the core's own lock. Lock order: DocumentStore, then a core, then log and metrics.
 * The caller carries out the actions after the call, in their order.
 */
class AgentCore
{
public:
    /** @brief Creates a core without a view. @param options Identity and bounds. @param seed Seed. @param now Start time. */
    AgentCore(AgentOptions options, std::uint64_t seed, core::Now now);

    /** @brief Takes a router's request. @param stream Stream to answer on. @param request Request. @param now Time. @return Actions. */
    [[nodiscard]] Actions onSubmit(std::uint64_t stream, const wire::Submit &request, core::Now now);

    /**
     * @brief Tells whether a run may go to the backend server now; asked immediately before its first byte is written.
     * @param run Run.
     * @param now Time.
     * @return False if the process slept since it admitted the run, or the run has ended.
     */
    [[nodiscard]] bool mayStart(std::uint64_t run, core::Now now) const;

    /**
     * @brief Tells whether an order may still be given; asked immediately before its first byte is written.
     * @param order Order.
     * @param now Time.
     * @return False if the process slept or the view has changed since it decided on the order.
     */
    [[nodiscard]] bool mayOrder(const OrderModel &order, core::Now now) const;

    /** @brief Notes that a stream's router cancelled it or is gone. @param stream Stream. @param now Time. @return Actions. */
    [[nodiscard]] Actions onStreamClosed(std::uint64_t stream, core::Now now);

    /** @brief Takes the start of an answer. @param run Run. @param begin Status and ids. @param now Time. @return Actions. */
    [[nodiscard]] Actions onBackendBegin(std::uint64_t run, const BackendBegin &begin, core::Now now);

    /** @brief Takes a part of an answer. @param run Run. @param data Bytes that follow those before. @param now Time. @return Actions. */
    [[nodiscard]] Actions onBackendChunk(std::uint64_t run, const std::string &data, core::Now now);

    /** @brief Takes the end of a whole answer. @param run Run. @param now Time. @return Actions. */
    [[nodiscard]] Actions onBackendEnd(std::uint64_t run, core::Now now);

    /**
     * @brief Notes that the connection for a run was lost.
     * @param run Run.
     * @param sent False only if no byte of the request can have reached the backend server.
     * @param reason Cause, for the log.
     * @param now Time.
     * @return Actions.
     */
    [[nodiscard]] Actions onBackendLost(std::uint64_t run, bool sent, const std::string &reason, core::Now now);

    /** @brief Takes the engine's state. @param state State; none: it does not answer. @param now Time. @return Actions. */
    [[nodiscard]] Actions onEngineState(const std::optional<EngineState> &state, core::Now now);

    /** @brief Takes a new view of the fleet. @param view View. @param now Time. @return Actions. */
    [[nodiscard]] Actions onView(std::shared_ptr<const member::FleetView> view, core::Now now);

    /** @brief Notes that the documents were re-read and the view in hand is the newest. @param now Time. */
    void confirmView(core::Now now);

    /**
     * @brief Runs the periodic work.
     * @param now Time.
     * @param newsAge Time since the platform's services were last heard, directly or through peers.
     * @return Actions.
     */
    [[nodiscard]] Actions onTick(core::Now now, core::Milliseconds newsAge = core::Milliseconds(0));

    /** @brief Answers a peer's load exchange. @param request Message. @param now Time. @return Reply. */
    [[nodiscard]] wire::Exchange onExchange(const wire::Exchange &request, core::Now now);

    /** @brief Ends a load exchange. @param reply Peer's reply. @param now Time. */
    void onExchangeReply(const wire::Exchange &reply, core::Now now);

    /** @brief Notes where a chat of this home is warm. @param placed Message. @param now Time. */
    void onPlaced(const wire::Placed &placed, core::Now now);

    /** @brief Hands idempotency records to their new home. @param request Question. @param now Time. @return Records. */
    [[nodiscard]] wire::HandOverReply onHandOverRequest(const wire::HandOverRequest &request, core::Now now);

    /** @brief Takes over idempotency records. @param server Former home. @param reply Its answer. @param now Time. */
    void onHandOverReply(const std::string &server, const wire::HandOverReply &reply, core::Now now);

    /** @brief Starts the graceful shutdown: new requests are refused. */
    void beginShutdown();

    /** @brief Returns the load. @param now Time. @return Load. */
    [[nodiscard]] AgentLoad load(core::Now now) const;

    /** @brief Returns the counts. @return Counts. */
    [[nodiscard]] AgentCounts counts() const;

private:
    struct Run {
        std::uint64_t stream = 0;
        bool streamOpen = true;
        wire::Submit request;
        core::MonotonicTime deadline;
        double prefill = 0.0;
        double decode = 0.0;
        std::uint64_t offset = 0;
        bool began = false;
        int resumes = 0;
        int status = 0;
        std::string contentType;
        std::string kept; /* answer of a request with a key, for the register */
    };
    struct Cost {
        double prefill = 0.0;
        double decode = 0.0;
        double warm = 0.0; /* part of the prompt that is warm here */

        [[nodiscard]] double total() const noexcept
        {
            return prefill + decode;
        }
    };

    [[nodiscard]] const world::Pool *pool() const;
    [[nodiscard]] double weight() const;
    [[nodiscard]] bool isLeaving() const;
    [[nodiscard]] double capacity(core::Now now) const;
    [[nodiscard]] double loadLimit(const Cost &cost, const std::vector<double> &seenLoads, core::Now now) const;
    [[nodiscard]] bool isPoolFull(core::Now now) const;
    [[nodiscard]] Cost costOf(const wire::Submit &request, core::Now now);
    void checkAvailable(const wire::Submit &request, core::Now now) const;
    [[nodiscard]] std::string warmElsewhere(const wire::Submit &request, core::Now now);
    [[nodiscard]] bool admitsLoad(const wire::Submit &request, const Cost &cost, core::Now now) const;
    void admit(std::uint64_t stream, const wire::Submit &request, core::Now now, Actions &actions);
    [[nodiscard]] bool admitKey(std::uint64_t stream, const wire::Submit &request, core::Now now, Actions &actions);
    void start(std::uint64_t stream, const wire::Submit &request, const Cost &cost, core::Now now, Actions &actions);
    void refuse(std::uint64_t stream,
                const wire::Submit &request,
                core::ErrorKind kind,
                const std::string &detail,
                const std::string &candidate,
                Actions &actions);
    void replyStored(std::uint64_t stream, const wire::Submit &request, const policy::KeyRecord &record, Actions &actions);
    void replyOn(const Run &run, wire::Reply reply, bool last, Actions &actions) const;
    void failRun(std::uint64_t id, core::ErrorKind kind, const std::string &detail, Actions &actions);
    void addTokens(double change, core::Now now);
    void eraseRun(std::uint64_t id, core::Now now);
    void notePlace(const Run &run, core::Now now, Actions &actions);
    [[nodiscard]] std::string homeOfChat(const std::string &chat) const;
    [[nodiscard]] std::string spillTarget(const wire::Submit &request, const Cost &cost, core::Now now);
    void goCold(const std::string &reason, core::Now now, Actions &actions);
    void orderModels(const EngineState &state, core::Now now, Actions &actions);
    void startExchange(core::Now now, Actions &actions);
    void cancelLate(core::Now now, Actions &actions);
    [[nodiscard]] core::Decision decide(const char *kind, const wire::Submit &request) const;

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
    std::unique_ptr<KeyKeeper> keys_;
    bool outOfTouch_ = false; /* no news for so long that key homes may have moved away and back unseen */
    std::map<std::uint64_t, Run> runs_;
    std::map<std::uint64_t, std::uint64_t> streams_; /* stream to run */
    std::uint64_t nextRun_ = 1;
    double tokens_ = 0.0;
    double largestRequest_ = 0.0;
    core::MonotonicTime nextExchange_{};
    std::optional<EngineState> engine_;
    core::MonotonicTime lastOrder_{};
    bool shuttingDown_ = false;
    AgentCounts counts_;
};

} // namespace cyclamenspool::agent
