#pragma once

#include <cyclamenspool/agent/core/agentcore.h>
#include <cyclamenspool/member/fleetview.h>
#include <cyclamenspool/router/core/routercore.h>

#include "backend.h"
#include "eventqueue.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cyclamenspool::fake {

/** @brief Response to a caller's request, as far as it has arrived. */
struct CallerResponse {
    bool final = false; /**< The response has ended, completely or not, or its router is down. */
    int finalCount = 0; /**< Final responses delivered, complete or failed; more than one is a fault. */
    bool isComplete = false; /**< The response was delivered completely. */
    int status = 0; /**< HTTP status; 0: none received. */
    std::string body;
    std::string server; /**< Backend server that responded. */
    core::ErrorKind errorKind = core::ErrorKind::Internal; /**< Valid after a failure only, like the next two. */
    core::RunState runState = core::RunState::Unknown;
    core::Milliseconds retryAfter{0};
    core::MonotonicTime sentAt{};
    core::MonotonicTime firstByteAt{};
    core::MonotonicTime endedAt{};
};

/** @brief State of an emulated process. */
struct ProcessState {
    bool alive = true;
    bool frozen = false;
    int incarnation = 0; /**< Number of restarts. */
    std::vector<Event> inbox; /**< Events queued while the process is frozen. */
};

/** @brief Directions in which the link between a router and an agent drops messages. Both sides detect it by unanswered PINGs. */
struct DroppedDirections {
    bool toAgent = false; /**< From the router to the agent. */
    bool toRouter = false; /**< From the agent to the router. */
};

/** @brief Emulated fleet: the production router and agent cores on a fake clock, with an emulated network and fake backend servers. */
class FakeFleet
{
public:
    using MakeBackend = std::function<std::unique_ptr<Backend>(const std::string &server)>;
    using Latency = std::function<std::chrono::microseconds(const std::string &fromZone, const std::string &toZone)>;

    /** @brief Options of a fleet. */
    struct Options {
        std::string tableYaml; /**< YAML of the operators' table. */
        std::string vmsYaml; /**< YAML of the VM list; the address of each VM must equal its name. */
        std::uint64_t seed = 1;
        core::Milliseconds tickInterval{50}; /**< Interval between two ticks of a core. */
        MakeBackend makeBackend; /**< Creates a backend server at the start and at each restart. */
        Latency latency; /**< One-way latency between two availability zones; empty: none. */
        bool recordDecisions = true; /**< Keep the decisions for decisions(). */
    };

    /** @brief Starts all processes of the VM list. */
    explicit FakeFleet(Options options);

    /** @brief Delivers all events of the given time span and advances the clock by it. */
    void run(core::Milliseconds duration);

    /**
     * @brief Runs until the next event to deliver has the given label.
     * @param label Label.
     * @param limit Longest time to run.
     * @param process Process of the event; empty: any.
     * @return False if no such event came up within the limit.
     */
    [[nodiscard]] bool runUntil(const std::string &label, core::Milliseconds limit, const std::string &process = "");

    /**
     * @brief Sends a caller's request to a router. If the router is down, the request ends at once without a response.
     * @param router VM of the router.
     * @param request Request.
     */
    void sendRequest(const std::string &router, router::CallerRequest request);

    /** @brief Returns the response to a request as far as it has arrived; an empty one if the request is unknown. @param request Request id. */
    [[nodiscard]] CallerResponse &responseTo(const std::string &request);

    /**
     * @brief Publishes a new fleet view. Processes that are not named get it when they refresh.
     * @param table YAML of the table; empty: unchanged.
     * @param vms YAML of the VM list; empty: unchanged.
     * @param processes Processes; empty: all.
     */
    void publish(const std::string &table, const std::string &vms, const std::set<std::string> &processes = {});

    /** @brief Kills a process: it loses its state and its connections are reset. @param name VM or backend server. */
    void kill(const std::string &name);

    /** @brief Starts a killed process again, without its former state. @param name VM or backend server. */
    void restart(const std::string &name);

    /** @brief Suspends a process; the peers of a VM close their connections to it after unanswered PINGs. @param name VM or backend server. */
    void freeze(const std::string &name);

    /** @brief Resumes a frozen process. It handles the events received meanwhile with the fleet view it had. @param name VM or backend server. */
    void resume(const std::string &name);

    /**
     * @brief Drops the messages on a link in the given directions; both sides detect it by unanswered PINGs. New requests on it fail at once.
     * @param router VM of the router.
     * @param agent VM of the agent.
     * @param directions Directions in which messages are dropped.
     */
    void dropMessages(const std::string &router, const std::string &agent, DroppedDirections directions);

    /** @brief Restores a link. @param router VM of the router. @param agent VM of the agent. */
    void restoreLink(const std::string &router, const std::string &agent);

    /**
     * @brief Resets the connection between a router and an agent: messages in transit are lost and both sides are notified at once. Like after
     * dropMessages(), the streams that are open between them when the PING timeout expires are closed as well.
     * @param router VM of the router.
     * @param agent VM of the agent.
     */
    void resetConnection(const std::string &router, const std::string &agent);

    /**
     * @brief Sets whether processes can read the newest view when they refresh; by default they can.
     * @param reachable False if neither the platform nor the peers can be reached; a refreshing process then keeps its view and renews the lease of it.
     */
    void setRefreshSourcesReachable(bool reachable)
    {
        refreshSourcesReachable_ = reachable;
    }

    /** @brief Returns the core of the agent on a VM. */
    [[nodiscard]] agent::AgentCore &agent(const std::string &vm);

    /** @brief Returns the core of the router on a VM. */
    [[nodiscard]] router::RouterCore &router(const std::string &vm);

    /** @brief Returns a fake backend server by its name. */
    [[nodiscard]] Backend &backend(const std::string &server);

    /** @brief Returns the event queue with the fake clock. */
    [[nodiscard]] EventQueue &queue() noexcept
    {
        return queue_;
    }

    /** @brief Returns the recorded decisions of all processes in chronological order. */
    [[nodiscard]] const std::vector<core::Decision> &decisions() const noexcept
    {
        return decisions_;
    }

    /**
     * @brief Sets whether an agent receives no updates from the platform's services, neither directly nor through peers.
     * @param name VM of the agent.
     * @param blocked True to let the age of the agent's last update grow from now on; false to end that.
     */
    void setUpdatesBlocked(const std::string &name, bool blocked);

    /** @brief Duplicates the next messages from agents to routers. @param count Number of messages. */
    void duplicateReplies(int count)
    {
        duplicatesLeft_ = count;
    }

    /** @brief Returns the bytes of the messages between agents so far (load exchanges, chat placements and the hand-over of idempotency records), with an
     * allowance for their HTTP/2 frames. */
    [[nodiscard]] std::uint64_t controlBytes() const noexcept
    {
        return controlBytes_;
    }

    /** @brief Returns whether a process exists, is alive and not frozen. @param name VM or backend server. */
    [[nodiscard]] bool isUp(const std::string &name) const;

private:
    struct Router {
        std::string zone;
        std::unique_ptr<router::RouterCore> core;
    };
    struct Agent {
        std::string zone;
        std::string server;
        std::string group;
        std::unique_ptr<agent::AgentCore> core;
    };
    struct Stream { /* HTTP/2 stream of an attempt, with the state at each end */
        std::string router;
        std::string agent;
        std::uint64_t attempt;
        bool routerOpen = true;
        bool agentOpen = false;
        bool transmitted = false;
        bool final = false; /* the agent has sent its last message */
    };
    struct RunState {
        std::string agent;
        std::uint64_t run;
        bool open = true;
    };

    void startRouter(const std::string &vm);
    void startAgent(const std::string &vm);
    void applyView(const std::string &vm);
    void scheduleTicks(const std::string &vm, int tickCount);
    void post(const std::string &label, const std::string &process, std::chrono::microseconds delay, std::function<void()> deliver);
    void deliver(Event event);
    void execute(const std::string &vm, const router::Actions &actions);
    void execute(const std::string &vm, const agent::Actions &actions);
    void transmit(const std::string &vm, const router::SendAttempt &send);
    void sendReply(const std::string &vm, const agent::SendReply &send);
    void startRun(const std::string &vm, const agent::StartRun &start);
    void sendModelOrder(const std::string &vm, const agent::OrderModelLoad &order);
    void resumeRun(const std::string &vm, const agent::ResumeRun &resume);
    [[nodiscard]] BackendSink sinkFor(const std::string &vm, std::uint64_t run);
    void failRun(const std::string &vm, std::uint64_t run, bool sent, const std::string &reason);
    void closeStream(std::uint64_t id, const std::string &reason);
    void closeStreams(const std::string &vm, const std::string &peer, const std::string &reason); /* an empty peer means all of them */
    void sendExchange(const std::string &vm, const agent::SendExchange &send);
    void sendHandOverRequest(const std::string &vm, const agent::SendHandOver &send);
    void refresh(const std::string &vm);
    [[nodiscard]] std::chrono::microseconds latency(const std::string &from, const std::string &to) const;
    [[nodiscard]] std::string zoneOf(const std::string &vm) const;
    [[nodiscard]] DroppedDirections droppedDirectionsOf(const std::string &router, const std::string &agent) const;

    Options options_;
    EventQueue queue_;
    std::shared_ptr<config::Table> table_;
    std::uint64_t revision_ = 0;
    std::map<std::string, std::shared_ptr<const member::FleetView>> views_; /* newest view received by each process */
    std::shared_ptr<const member::FleetView> newestView_;
    std::map<std::string, Router> routers_;
    std::map<std::string, Agent> agents_;
    std::map<std::string, std::unique_ptr<Backend>> backends_;
    std::map<std::string, ProcessState> states_;
    std::map<std::pair<std::string, std::string>, DroppedDirections> droppedDirections_; /* by router and agent */
    std::map<std::uint64_t, Stream> streams_;
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> streamsByAttempt_; /* by router and attempt */
    std::map<std::pair<std::string, std::uint64_t>, std::string> runs_; /* request ids by agent and run */
    std::uint64_t nextStreamId_ = 1;
    std::map<std::string, CallerResponse> responses_;
    std::map<std::string, std::string> routerByRequest_;
    std::vector<core::Decision> decisions_;
    std::uint64_t controlBytes_ = 0;
    bool refreshSourcesReachable_ = true;
    int duplicatesLeft_ = 0;
    std::map<std::string, core::MonotonicTime> updatesBlockedSince_;
    std::uint64_t seedOffset_ = 0; /* number of cores started; gives each its own seed */
};

} // namespace cyclamenspool::fake
