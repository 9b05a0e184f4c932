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

/** @brief What a caller got. */
struct CallerAnswer {
    bool final = false;
    int finals = 0;
    bool whole = false;
    int status = 0;
    std::string body;
    std::string server;
    core::ErrorKind kind = core::ErrorKind::Internal;
    core::RunState runState = core::RunState::Unknown;
    core::Milliseconds retryAfter{0};
    core::MonotonicTime asked{};
    core::MonotonicTime firstByte{};
    core::MonotonicTime answered{};
};

/** @brief State of a fake process. */
struct ProcessState {
    bool alive = true;
    bool frozen = false;
    int incarnation = 0;
    std::vector<Event> inbox; /**< Events that wait for a frozen process. */
};

/** @brief How a link between two processes is broken. Messages on a broken link are lost until the peers notice. */
struct LinkCut {
    bool forward = false; /**< From the first to the second process. */
    bool backward = false;
};

/** @brief Real router and agent cores joined by an event queue on a fake clock. The network and the backend servers are fakes. */
class FakeFleet
{
public:
    using MakeBackend = std::function<std::unique_ptr<Backend>(const std::string &server)>;
    using Latency = std::function<std::chrono::microseconds(const std::string &fromZone, const std::string &toZone)>;

    /** @brief What a fleet is made of. */
    struct Shape {
        std::string table; /**< YAML of the operators' table. */
        std::string vms; /**< YAML of the list of VMs; the address of a VM is its name. */
        std::uint64_t seed = 1;
        core::Milliseconds tick{50};
        MakeBackend makeBackend;
        Latency latency; /**< Empty: no latency. */
        bool logDecisions = true;
    };

    /** @brief Starts all processes of the list. @param shape Shape. */
    explicit FakeFleet(Shape shape);

    /** @brief Runs until a time from now. @param length Length. */
    void run(core::Milliseconds length);

    /**
     * @brief Runs until the next event has a label.
     * @param label Label.
     * @param limit Longest time.
     * @param process Process of the event; empty: any.
     * @return True if it was reached.
     */
    [[nodiscard]] bool runTo(const std::string &label, core::Milliseconds limit, const std::string &process = "");

    /** @brief Sends a caller's request to a router. @param router VM of the router. @param request Request. */
    void ask(const std::string &router, router::CallerRequest request);

    /** @brief Returns a caller's answer. @param request Request id. @return Answer so far. */
    [[nodiscard]] CallerAnswer &answer(const std::string &request);

    /**
     * @brief Publishes a view to processes.
     * @param table YAML of the table; empty: as before.
     * @param vms YAML of the list; empty: as before.
     * @param processes Processes; empty: all.
     */
    void publish(const std::string &table, const std::string &vms, const std::set<std::string> &processes = {});

    /** @brief Kills a process: its state is lost, its connections break. @param name VM, or backend server. */
    void kill(const std::string &name);

    /** @brief Starts a killed process anew. @param name VM, or backend server. */
    void restart(const std::string &name);

    /** @brief Stops a process without ending it. @param name VM, or backend server. */
    void freeze(const std::string &name);

    /** @brief Lets a frozen process go on: it handles what has come meanwhile, on its old view of the world. @param name VM, or backend server. */
    void wake(const std::string &name);

    /** @brief Breaks a link; both sides notice by unanswered PINGs. @param router VM of the router. @param agent VM of the agent. @param cut Directions. */
    void cut(const std::string &router, const std::string &agent, LinkCut cut);

    /** @brief Mends a link. @param router VM of the router. @param agent VM of the agent. */
    void mend(const std::string &router, const std::string &agent);

    /**
     * @brief Resets the connection between a router and an agent: what is on the wire is lost, both sides notice at once.
     * @param router VM of the router.
     * @param agent VM of the agent.
     */
    void reset(const std::string &router, const std::string &agent);

    /**
     * @brief Sets whether a process that refreshes finds the newest view; by default it does.
     * @param reachable False while the platform and the peers cannot be reached.
     */
    void setRefresh(bool reachable)
    {
        refreshReachable_ = reachable;
    }

    /** @brief Returns an agent's core. @param vm VM. @return Core. */
    [[nodiscard]] agent::AgentCore &agent(const std::string &vm);

    /** @brief Returns a router's core. @param vm VM. @return Core. */
    [[nodiscard]] router::RouterCore &router(const std::string &vm);

    /** @brief Returns a backend server. @param server Backend server. @return Fake. */
    [[nodiscard]] Backend &backend(const std::string &server);

    /** @brief Returns the queue. @return Queue. */
    [[nodiscard]] EventQueue &queue() noexcept
    {
        return queue_;
    }

    /** @brief Returns the decisions of all processes. @return Decisions in their order. */
    [[nodiscard]] const std::vector<core::Decision> &decisions() const noexcept
    {
        return decisions_;
    }

    /** @brief Cuts a process off from all news, or ends that. @param name VM. @param cutOff True to cut it off. */
    void setOutOfTouch(const std::string &name, bool cutOff);

    /** @brief Delivers the next replies to routers twice. @param count Number of replies. */
    void duplicateReplies(int count)
    {
        duplicates_ = count;
    }

    /** @brief Counts the bytes of control messages sent. @return Bytes. */
    [[nodiscard]] std::uint64_t controlBytes() const noexcept
    {
        return controlBytes_;
    }

    /** @brief Tells whether a process is listed, alive and not frozen. @param name Process. @return True if so. */
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
    struct Stream { /* an attempt as both ends see it */
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
    void giveView(const std::string &vm);
    void tickForever(const std::string &vm, int incarnation);
    void post(const std::string &label, const std::string &process, std::chrono::microseconds delay, std::function<void()> deliver);
    void deliver(Event event);
    void carryOut(const std::string &vm, const router::Actions &actions);
    void carryOut(const std::string &vm, const agent::Actions &actions);
    void transmit(const std::string &vm, const router::SendAttempt &send);
    void reply(const std::string &vm, const agent::SendReply &send);
    void startRun(const std::string &vm, const agent::StartRun &start);
    void giveOrder(const std::string &vm, const agent::OrderModelLoad &order);
    void resumeRun(const std::string &vm, const agent::ResumeRun &resume);
    [[nodiscard]] BackendSink sinkFor(const std::string &vm, std::uint64_t run);
    void loseRun(const std::string &vm, std::uint64_t run, bool sent, const std::string &reason);
    void closeStream(std::uint64_t id, const std::string &reason);
    void closeStreamsBetween(const std::string &a, const std::string &b, const std::string &reason);
    void exchange(const std::string &vm, const agent::SendExchange &send);
    void handOver(const std::string &vm, const agent::SendHandOver &send);
    void refresh(const std::string &vm);
    [[nodiscard]] std::chrono::microseconds latency(const std::string &from, const std::string &to) const;
    [[nodiscard]] std::string zoneOf(const std::string &vm) const;
    [[nodiscard]] LinkCut linkOf(const std::string &router, const std::string &agent) const;

    Shape shape_;
    EventQueue queue_;
    std::shared_ptr<config::Table> table_;
    std::uint64_t revision_ = 0;
    std::map<std::string, std::shared_ptr<const member::FleetView>> views_; /* the newest view that each process has heard of */
    std::shared_ptr<const member::FleetView> newest_;
    std::map<std::string, Router> routers_;
    std::map<std::string, Agent> agents_;
    std::map<std::string, std::unique_ptr<Backend>> backends_;
    std::map<std::string, ProcessState> states_;
    std::map<std::pair<std::string, std::string>, LinkCut> cuts_;
    std::map<std::uint64_t, Stream> streams_;
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> attempts_; /* router and attempt to stream */
    std::map<std::pair<std::string, std::uint64_t>, std::string> runs_; /* agent and run to request id */
    std::uint64_t nextStream_ = 1;
    std::map<std::string, CallerAnswer> answers_;
    std::map<std::string, std::string> askedRouter_;
    std::vector<core::Decision> decisions_;
    std::uint64_t controlBytes_ = 0;
    bool refreshReachable_ = true;
    int duplicates_ = 0;
    std::map<std::string, core::MonotonicTime> outOfTouchSince_;
    std::uint64_t seedStep_ = 0;
};

} // namespace cyclamenspool::fake
