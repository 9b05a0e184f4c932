// Cells of a request: a fault at each step of its way from the router to the backend server and back, followed by retries of the caller.

#include "cell.h"

#include "matrixfleet.h"

#include <cyclamenspool/core/uuid.h>
#include <cyclamenspool/policy/rendezvous.h>

#include <array>
#include <functional>

namespace cyclamenspool::fault {

namespace {

using core::RunState;
using fake::FakeFleet;

constexpr core::Milliseconds stepLimit{2000};
constexpr core::Milliseconds timeBeforeRetry{3000};
constexpr core::Milliseconds timeBeforeRecovery{7000};
constexpr core::Milliseconds timeAfterRecovery{3000};
constexpr core::Milliseconds settleTime{60000};
constexpr core::Milliseconds responseSlack{4200}; /* after the deadline: time until a frozen or unreachable peer is detected */

/** @brief Fleet of a scenario and the processes that its request passes. */
struct Scenario {
    MatrixFleet matrix;
    RequestKind kind;
    std::string router = "router-0";
    std::string agent{};
    std::string server{};

    FakeFleet &fleet()
    {
        return *matrix.fleet;
    }
};

/** @brief A fault with the steps that inject it and recover from it. */
struct Fault {
    std::string name;
    std::function<void(Scenario &)> inject{};
    std::function<void(Scenario &)> recover{};
    bool needsKeyHome = false; /**< True if it applies to requests with an idempotency key only. A key's home is the server whose agent holds its record. */
    core::Milliseconds retryDelay{0}; /**< Additional time before the caller's retries. */
    bool usesLaterKey = false; /**< True if the retries use a key that is created when they begin. */
    std::function<void(Scenario &)> reconnect{}; /**< Runs after the retries; one more retry follows. */
};

void doNothing(Scenario &)
{
}

std::string otherBookingServers(const Scenario &scenario)
{
    std::string names;
    for (const std::string name : {"booking-0", "booking-1", "booking-2"}) {
        names += name == scenario.server ? "" : (names.empty() ? "" : ", ") + name;
    }
    return names;
}

/** @brief Returns the table in which the home of the request's key has moved; the former home stays listed as leaving. */
std::string tableWithMovedHome(const Scenario &scenario)
{
    TableParts parts;
    parts.leavingRows = "  - {name: " + scenario.server + ", kind: server}\n";
    return matrixTable(parts);
}

std::set<std::string> allVmsExcept(const std::string &name)
{
    std::set<std::string> names;
    for (const std::string vm : {"router-0", "router-1", "vm-engine-0", "vm-engine-1", "vm-engine-2", "vm-booking-0", "vm-booking-1", "vm-booking-2"}) {
        if (vm != name) {
            names.insert(vm);
        }
    }
    return names;
}

Fault killFault(const std::string &name, std::string Scenario::*target)
{
    return {"kill_" + name,
            [target](Scenario &scenario) {
                scenario.fleet().kill(scenario.*target);
            },
            [target](Scenario &scenario) {
                scenario.fleet().restart(scenario.*target);
            }};
}

Fault freezeFault(const std::string &name, std::string Scenario::*target, core::Milliseconds duration)
{
    return {"freeze_" + name + "_" + std::to_string(duration.count()) + "ms",
            [target, duration](Scenario &scenario) {
                auto &fleet = scenario.fleet();
                const auto victim = scenario.*target;
                fleet.freeze(victim);
                fleet.queue().add(duration, {"resume", "network", [&fleet, victim] {
                                                 fleet.resume(victim);
                                             }});
            },
            doNothing};
}

Fault cutLinkFault(const std::string &name, fake::DroppedDirections directions)
{
    return {"cut_" + name,
            [directions](Scenario &scenario) {
                scenario.fleet().dropMessages(scenario.router, scenario.agent, directions);
            },
            [](Scenario &scenario) {
                scenario.fleet().restoreLink(scenario.router, scenario.agent);
            }};
}

Fault homeMoveFault(const std::string &name, const std::function<std::set<std::string>(const Scenario &)> &recipients)
{
    return {"home_moves" + name,
            [recipients](Scenario &scenario) {
                scenario.fleet().publish(tableWithMovedHome(scenario), "", recipients(scenario));
            },
            [](Scenario &scenario) {
                scenario.fleet().publish(matrixTable({}), "");
            },
            true};
}

/** @brief Returns a fault in which the key's home is isolated and missing from the list until another server takes over; then the home moves back. */
Fault isolatedHomeFault()
{
    Fault fault{"home_out_of_touch_and_back"};
    fault.needsKeyHome = true;
    fault.retryDelay = core::Milliseconds(45000);
    fault.usesLaterKey = true;
    fault.inject = [](Scenario &scenario) {
        scenario.fleet().setUpdatesBlocked(scenario.agent, true);
        scenario.fleet().publish(tableWithMovedHome(scenario), matrixVms(scenario.agent), allVmsExcept(scenario.agent));
    };
    fault.recover = [](Scenario &scenario) {
        scenario.fleet().publish(matrixTable({}), matrixVms(), allVmsExcept(scenario.agent));
    };
    fault.reconnect = [](Scenario &scenario) {
        scenario.fleet().publish(matrixTable({}), matrixVms());
        scenario.fleet().run(core::Milliseconds(10));
        scenario.fleet().setUpdatesBlocked(scenario.agent, false);
    };
    return fault;
}

std::vector<Fault> singleFaults()
{
    std::vector<Fault> faults;
    faults.push_back({"none", doNothing, doNothing});
    faults.push_back(killFault("router", &Scenario::router));
    faults.push_back(killFault("agent", &Scenario::agent));
    faults.push_back(killFault("backend", &Scenario::server));
    for (const auto duration : {core::Milliseconds(2000), core::Milliseconds(9000)}) {
        faults.push_back(freezeFault("router", &Scenario::router, duration));
        faults.push_back(freezeFault("agent", &Scenario::agent, duration));
        faults.push_back(freezeFault("backend", &Scenario::server, duration));
    }
    faults.push_back(cutLinkFault("forward", {true, false}));
    faults.push_back(cutLinkFault("backward", {false, true}));
    faults.push_back(cutLinkFault("both", {true, true}));
    faults.push_back({"reset",
                      [](Scenario &scenario) {
                          scenario.fleet().resetConnection(scenario.router, scenario.agent);
                      },
                      doNothing});
    faults.push_back({"platform_down",
                      [](Scenario &scenario) {
                          scenario.fleet().setRefreshSourcesReachable(false);
                      },
                      [](Scenario &scenario) {
                          scenario.fleet().setRefreshSourcesReachable(true);
                      }});
    const auto publishShortList = [](Scenario &scenario) {
        scenario.fleet().publish("", matrixVms(scenario.agent), {scenario.router});
    };
    const auto publishFullList = [](Scenario &scenario) {
        scenario.fleet().publish("", matrixVms());
    };
    faults.push_back({"list_disagrees", publishShortList, publishFullList});
    faults.push_back({"list_flaps",
                      [=](Scenario &scenario) {
                          publishShortList(scenario);
                          publishFullList(scenario);
                      },
                      publishFullList});
    const auto markVmLeaving = [](Scenario &scenario) {
        TableParts parts;
        parts.leavingRows = "  - {name: " + scenario.agent + ", kind: vm}\n";
        scenario.fleet().publish(matrixTable(parts), "");
    };
    const auto restoreTable = [](Scenario &scenario) {
        scenario.fleet().publish(matrixTable({}), "");
    };
    faults.push_back({"vm_leaves", markVmLeaving, restoreTable});
    faults.push_back({"warm_to_cold",
                      [](Scenario &scenario) {
                          scenario.fleet().kill(scenario.server);
                          scenario.fleet().restart(scenario.server);
                      },
                      doNothing});
    faults.push_back({"crossed_answer",
                      [](Scenario &scenario) {
                          scenario.matrix.runRecord->mismatchedResponsesLeft = 1;
                      },
                      doNothing});
    faults.push_back({"duplicated_replies",
                      [](Scenario &scenario) {
                          scenario.fleet().duplicateReplies(4);
                      },
                      doNothing});
    faults.push_back(homeMoveFault("", [](const Scenario &) {
        return std::set<std::string>();
    }));
    faults.push_back(homeMoveFault("_unknown_to_router", [](const Scenario &scenario) {
        return allVmsExcept(scenario.router);
    }));
    faults.push_back(homeMoveFault("_unknown_to_agent", [](const Scenario &scenario) {
        return allVmsExcept(scenario.agent);
    }));
    const auto removeHome = [](Scenario &scenario) {
        TableParts parts;
        parts.bookingServers = otherBookingServers(scenario);
        scenario.fleet().publish(matrixTable(parts), "");
    };
    faults.push_back({"home_removed", removeHome, restoreTable, true});
    const auto removeHomeUnknownTo = [](const std::string Scenario::*excluded) {
        return [excluded](Scenario &scenario) {
            TableParts parts;
            parts.bookingServers = otherBookingServers(scenario);
            scenario.fleet().publish(matrixTable(parts), "", allVmsExcept(scenario.*excluded));
        };
    };
    faults.push_back({"home_removed_unknown_to_router", removeHomeUnknownTo(&Scenario::router), restoreTable, true});
    faults.push_back({"home_removed_unknown_to_agent", removeHomeUnknownTo(&Scenario::agent), restoreTable, true});
    Fault laterKeyFault{"home_removed_unknown_to_router_later_key", removeHomeUnknownTo(&Scenario::router), restoreTable, true};
    laterKeyFault.usesLaterKey = true;
    faults.push_back(laterKeyFault);
    faults.push_back(isolatedHomeFault());
    return faults;
}

Fault combine(const Fault &first, const Fault &second)
{
    const auto runBoth = [](const std::function<void(Scenario &)> &a, const std::function<void(Scenario &)> &b) {
        return [a, b](Scenario &scenario) {
            a(scenario);
            b(scenario);
        };
    };
    return {first.name + "+" + second.name,
            runBoth(first.inject, second.inject),
            runBoth(first.recover, second.recover),
            first.needsKeyHome || second.needsKeyHome};
}

std::vector<Fault> allFaults()
{
    auto faults = singleFaults();
    const auto find = [&faults](const std::string &name) {
        for (const auto &fault : faults) {
            if (fault.name == name) {
                return fault;
            }
        }
        throw std::logic_error("unknown fault " + name);
    };
    const std::vector<std::pair<std::string, std::string>> pairs{
        {"kill_router", "kill_agent"},
        {"kill_agent", "home_moves_unknown_to_router"},
        {"freeze_agent_9000ms", "home_moves"},
        {"freeze_agent_9000ms", "home_moves_unknown_to_agent"},
        {"freeze_agent_9000ms", "kill_router"},
        {"freeze_router_9000ms", "home_moves"},
        {"cut_both", "home_moves"},
        {"cut_backward", "home_moves_unknown_to_agent"},
        {"reset", "home_moves"},
        {"kill_backend", "home_moves"},
        {"freeze_backend_9000ms", "home_moves"},
        {"kill_agent", "platform_down"},
        {"freeze_agent_9000ms", "platform_down"},
        {"kill_router", "list_disagrees"},
    };
    for (const auto &[first, second] : pairs) {
        faults.push_back(combine(find(first), find(second)));
    }
    return faults;
}

/* Labels of the emulated fleet's events, except "answered": 100 ms after the request, when the response has ended. */
const std::array<std::string, 10>
    steps{"accepted", "placed", "sent", "admitted", "recorded", "to_backend", "first_byte", "mid_stream", "last_byte", "answered"};

const std::array<std::string, 4> invariants{"at_most_once", "not_run_is_true", "whole_answer", "one_final_answer"};

struct KindName {
    RequestKind kind;
    const char *name;
};
const std::array<KindName, 3> kinds{{{RequestKind::Chat, "chat"}, {RequestKind::CallerKey, "caller_key"}, {RequestKind::RouterKey, "router_key"}}};

/** @brief Returns the backend server that a request is routed to, found by sending a copy of it on a fleet without faults. */
std::string findServer(RequestKind kind, const std::string &key)
{
    MatrixFleet matrix;
    matrix.fleet->sendRequest("router-0", makeRequest(kind, "probe", key));
    matrix.fleet->run(stepLimit);
    return matrix.fleet->responseTo("probe").server;
}

/** @brief Returns a new idempotency key whose home is the given backend server. */
std::string keyWithHome(const std::string &server, core::RandomSource &random, core::WallTime now)
{
    const std::vector<member::Member> homes{{"booking-0"}, {"booking-1"}, {"booking-2"}};
    constexpr int maxAttempts = 100;
    for (int i = 0; i < maxAttempts; ++i) {
        auto key = core::makeUuid7(now, random);
        if (policy::rankByRendezvous("desk/" + key, homes, 1).front()->server == server) {
            return key;
        }
    }
    throw std::logic_error("no generated key has its home at " + server);
}

/** @brief Checks the response to one request and adds violated invariants. @param key Idempotency key; empty: unknown. */
void checkResponse(Scenario &scenario, const std::string &id, const std::string &key, bool isRouterKilled, std::map<std::string, std::string> &violations)
{
    const auto &response = scenario.fleet().responseTo(id);
    const auto &record = *scenario.matrix.runRecord;
    const auto runs = record.runsByRequest.count(id) > 0 ? record.runsByRequest.at(id) : 0;
    if (response.final && !response.isComplete && response.finalCount > 0 && response.runState == RunState::NotRun && runs > 0) {
        violations["not_run_is_true"] += id + " was reported as not run but ran; ";
    }
    wire::Submit submit;
    submit.set_request_id(id);
    submit.set_key(scenario.kind == RequestKind::CallerKey ? key : "");
    const bool isKeyKnown = scenario.kind != RequestKind::RouterKey && !key.empty();
    if (response.isComplete && isKeyKnown && response.body != expectedResponse(submit)) {
        violations["whole_answer"] += id + " got '" + response.body + "'; ";
    }
    if (response.isComplete && response.body.size() < expectedResponse({}).size()) {
        violations["whole_answer"] += id + " got a truncated response; ";
    }
    const bool isLate = response.endedAt > response.sentAt + makeRequest(scenario.kind, "", "").timeout + responseSlack;
    if (!isRouterKilled && (response.finalCount != 1 || isLate)) {
        violations["one_final_answer"] += id + " got " + std::to_string(response.finalCount) + " final responses" + (isLate ? ", late; " : "; ");
    }
}

/** @brief Injects a fault at a step and returns the violated invariants with details. @param unreachedReason Set if the step was not reached. */
std::map<std::string, std::string> runScenario(const std::string &step, const Fault &fault, RequestKind kind, std::string &unreachedReason)
{
    Scenario scenario{MatrixFleet(), kind};
    auto &fleet = scenario.fleet();
    core::RandomSource random(7);
    auto key = core::makeUuid7(fleet.queue().now().wall, random);
    scenario.server = findServer(kind, key);
    scenario.agent = "vm-" + scenario.server;
    fleet.sendRequest(scenario.router, makeRequest(kind, "first", key));
    const bool reached = step == "answered" ? (fleet.run(core::Milliseconds(100)), fleet.responseTo("first").final) : fleet.runUntil(step, stepLimit);
    if (!reached) {
        unreachedReason = "the step was not reached";
        return {};
    }
    fault.inject(scenario);
    fleet.run(timeBeforeRetry + fault.retryDelay);
    if (fault.usesLaterKey) {
        key = keyWithHome(scenario.server, random, fleet.queue().now().wall);
    }
    std::vector<std::string> ids{"first"};
    const auto retry = [&](const std::string &id, const std::string &router) {
        ids.push_back(id);
        fleet.sendRequest(router, makeRequest(kind, id, key));
    };
    if (kind != RequestKind::RouterKey) {
        retry("second", "router-1");
        fleet.run(core::Milliseconds(500));
        retry("again", "router-0");
    }
    fleet.run(timeBeforeRecovery);
    fault.recover(scenario);
    fleet.run(timeAfterRecovery);
    if (kind != RequestKind::RouterKey) {
        retry("third", "router-0");
        retry("fourth", "router-1");
    }
    if (fault.reconnect) {
        fleet.run(timeAfterRecovery);
        fault.reconnect(scenario);
        fleet.run(timeAfterRecovery);
        retry("fifth", "router-0");
    }
    fleet.run(settleTime);
    std::map<std::string, std::string> violations;
    for (const auto &[runKey, count] : scenario.matrix.runRecord->runsByKey) {
        if (count > 1) {
            violations["at_most_once"] += runKey + " ran " + std::to_string(count) + " times; ";
        }
    }
    const bool isRouterKilled = fault.name.find("kill_router") != std::string::npos;
    for (const auto &id : ids) {
        const bool hasOtherKey = fault.usesLaterKey && id == "first";
        checkResponse(scenario, id, hasOtherKey ? "" : key, isRouterKilled && (id == "first" || id == "again"), violations);
    }
    return violations;
}

std::string notApplicableReason(const Fault &fault, RequestKind kind, const std::string &invariant)
{
    if (fault.needsKeyHome && kind == RequestKind::Chat) {
        return "chats have no idempotency key";
    }
    if (invariant == "at_most_once" && kind == RequestKind::Chat) {
        return "chats are idempotent";
    }
    return "";
}

} // namespace

Cells requestCells(bool run)
{
    Cells cells;
    for (const auto &step : steps) {
        for (const auto &fault : allFaults()) {
            for (const auto &kind : kinds) {
                const bool isSkipped = !notApplicableReason(fault, kind.kind, "").empty();
                std::string unreachedReason;
                const auto violations = run && !isSkipped ? runScenario(step, fault, kind.kind, unreachedReason) : std::map<std::string, std::string>();
                for (const auto &invariant : invariants) {
                    Cell cell{std::string("request.") + kind.name + "." + step, fault.name, invariant};
                    const auto reason = notApplicableReason(fault, kind.kind, invariant);
                    const auto violation = violations.find(invariant);
                    if (!reason.empty() || !unreachedReason.empty()) {
                        cell.verdict = Verdict::NotApplicable;
                        cell.note = reason.empty() ? unreachedReason : reason;
                    } else if (run) {
                        cell.verdict = violation == violations.end() ? Verdict::Passed : Verdict::Failed;
                        cell.note = violation == violations.end() ? "" : violation->second;
                    }
                    cells.push_back(std::move(cell));
                }
            }
        }
    }
    return cells;
}

} // namespace cyclamenspool::fault
