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
constexpr core::Milliseconds beforeRetry{3000};
constexpr core::Milliseconds beforeHeal{7000};
constexpr core::Milliseconds afterHeal{3000};
constexpr core::Milliseconds atTheEnd{60000};
constexpr core::Milliseconds answerSlack{4200}; /* beyond the deadline: the time until a frozen or cut peer is given up */

/** @brief Names and fleet of a cell under way. */
struct Scene {
    MatrixFleet matrix;
    RequestMode mode;
    std::string router = "router-0";
    std::string agent{};
    std::string server{};

    FakeFleet &fleet()
    {
        return *matrix.fleet;
    }
};

/** @brief A fault and how it is mended later. */
struct Fault {
    std::string name;
    std::function<void(Scene &)> strike{};
    std::function<void(Scene &)> heal{};
    bool needsKeyHome = false; /**< Concerns key homes only. */
    core::Milliseconds patience{0}; /**< Further time before the caller's retry. */
    bool laterKey = false; /**< The retries use a key created when they begin. */
    std::function<void(Scene &)> reunite{}; /**< After the retries; another retry follows. */
};

void nothing(Scene &)
{
}

std::string otherBookings(const Scene &scene)
{
    std::string names;
    for (const std::string name : {"booking-0", "booking-1", "booking-2"}) {
        names += name == scene.server ? "" : (names.empty() ? "" : ", ") + name;
    }
    return names;
}

/** @brief Table in which the request's home has moved away; the former home stays listed as leaving. */
std::string movedTable(const Scene &scene)
{
    TableParts parts;
    parts.leaving = "  - {name: " + scene.server + ", kind: server}\n";
    return matrixTable(parts);
}

std::set<std::string> allBut(const std::string &name)
{
    std::set<std::string> names;
    for (const std::string vm : {"router-0", "router-1", "vm-engine-0", "vm-engine-1", "vm-engine-2", "vm-booking-0", "vm-booking-1", "vm-booking-2"}) {
        if (vm != name) {
            names.insert(vm);
        }
    }
    return names;
}

Fault killFault(const std::string &name, std::string Scene::*target)
{
    return {"kill_" + name,
            [target](Scene &scene) {
                scene.fleet().kill(scene.*target);
            },
            [target](Scene &scene) {
                scene.fleet().restart(scene.*target);
            }};
}

Fault freezeFault(const std::string &name, std::string Scene::*target, core::Milliseconds length)
{
    return {"freeze_" + name + "_" + std::to_string(length.count()) + "ms",
            [target, length](Scene &scene) {
                auto &fleet = scene.fleet();
                const auto victim = scene.*target;
                fleet.freeze(victim);
                fleet.queue().add(length, {"wake", "network", [&fleet, victim] {
                                               fleet.wake(victim);
                                           }});
            },
            nothing};
}

Fault cutFault(const std::string &name, fake::LinkCut directions)
{
    return {"cut_" + name,
            [directions](Scene &scene) {
                scene.fleet().cut(scene.router, scene.agent, directions);
            },
            [](Scene &scene) {
                scene.fleet().mend(scene.router, scene.agent);
            }};
}

Fault moveFault(const std::string &name, const std::function<std::set<std::string>(const Scene &)> &informed)
{
    return {"home_moves" + name,
            [informed](Scene &scene) {
                scene.fleet().publish(movedTable(scene), "", informed(scene));
            },
            [](Scene &scene) {
                scene.fleet().publish(matrixTable({}), "");
            },
            true};
}

/** @brief The home is cut off and missing from the list for so long that another takes over; then the home moves back. */
Fault outOfTouchFault()
{
    Fault fault{"home_out_of_touch_and_back"};
    fault.needsKeyHome = true;
    fault.patience = core::Milliseconds(45000);
    fault.laterKey = true;
    fault.strike = [](Scene &scene) {
        scene.fleet().setOutOfTouch(scene.agent, true);
        scene.fleet().publish(movedTable(scene), matrixVms(scene.agent), allBut(scene.agent));
    };
    fault.heal = [](Scene &scene) {
        scene.fleet().publish(matrixTable({}), matrixVms(), allBut(scene.agent));
    };
    fault.reunite = [](Scene &scene) {
        scene.fleet().publish(matrixTable({}), matrixVms());
        scene.fleet().run(core::Milliseconds(10));
        scene.fleet().setOutOfTouch(scene.agent, false);
    };
    return fault;
}

std::vector<Fault> singleFaults()
{
    std::vector<Fault> faults;
    faults.push_back({"none", nothing, nothing});
    faults.push_back(killFault("router", &Scene::router));
    faults.push_back(killFault("agent", &Scene::agent));
    faults.push_back(killFault("backend", &Scene::server));
    for (const auto length : {core::Milliseconds(2000), core::Milliseconds(9000)}) {
        faults.push_back(freezeFault("router", &Scene::router, length));
        faults.push_back(freezeFault("agent", &Scene::agent, length));
        faults.push_back(freezeFault("backend", &Scene::server, length));
    }
    faults.push_back(cutFault("forward", {true, false}));
    faults.push_back(cutFault("backward", {false, true}));
    faults.push_back(cutFault("both", {true, true}));
    faults.push_back({"reset",
                      [](Scene &scene) {
                          scene.fleet().reset(scene.router, scene.agent);
                      },
                      nothing});
    faults.push_back({"platform_down",
                      [](Scene &scene) {
                          scene.fleet().setRefresh(false);
                      },
                      [](Scene &scene) {
                          scene.fleet().setRefresh(true);
                      }});
    const auto shrunken = [](Scene &scene) {
        scene.fleet().publish("", matrixVms(scene.agent), {scene.router});
    };
    const auto whole = [](Scene &scene) {
        scene.fleet().publish("", matrixVms());
    };
    faults.push_back({"list_disagrees", shrunken, whole});
    faults.push_back({"list_flaps",
                      [=](Scene &scene) {
                          shrunken(scene);
                          whole(scene);
                      },
                      whole});
    const auto leave = [](Scene &scene) {
        TableParts parts;
        parts.leaving = "  - {name: " + scene.agent + ", kind: vm}\n";
        scene.fleet().publish(matrixTable(parts), "");
    };
    const auto comeBack = [](Scene &scene) {
        scene.fleet().publish(matrixTable({}), "");
    };
    faults.push_back({"vm_leaves", leave, comeBack});
    faults.push_back({"warm_to_cold",
                      [](Scene &scene) {
                          scene.fleet().kill(scene.server);
                          scene.fleet().restart(scene.server);
                      },
                      nothing});
    faults.push_back({"crossed_answer",
                      [](Scene &scene) {
                          scene.matrix.ledger->crossed = 1;
                      },
                      nothing});
    faults.push_back({"duplicated_replies",
                      [](Scene &scene) {
                          scene.fleet().duplicateReplies(4);
                      },
                      nothing});
    faults.push_back(moveFault("", [](const Scene &) {
        return std::set<std::string>();
    }));
    faults.push_back(moveFault("_unknown_to_router", [](const Scene &scene) {
        return allBut(scene.router);
    }));
    faults.push_back(moveFault("_unknown_to_agent", [](const Scene &scene) {
        return allBut(scene.agent);
    }));
    const auto remove = [](Scene &scene) {
        TableParts parts;
        parts.bookings = otherBookings(scene);
        scene.fleet().publish(matrixTable(parts), "");
    };
    faults.push_back({"home_removed", remove, comeBack, true});
    const auto removeFor = [](const std::string Scene::*uninformed) {
        return [uninformed](Scene &scene) {
            TableParts parts;
            parts.bookings = otherBookings(scene);
            scene.fleet().publish(matrixTable(parts), "", allBut(scene.*uninformed));
        };
    };
    faults.push_back({"home_removed_unknown_to_router", removeFor(&Scene::router), comeBack, true});
    faults.push_back({"home_removed_unknown_to_agent", removeFor(&Scene::agent), comeBack, true});
    Fault later{"home_removed_unknown_to_router_later_key", removeFor(&Scene::router), comeBack, true};
    later.laterKey = true;
    faults.push_back(later);
    faults.push_back(outOfTouchFault());
    return faults;
}

Fault pairOf(const Fault &first, const Fault &second)
{
    const auto both = [](const std::function<void(Scene &)> &a, const std::function<void(Scene &)> &b) {
        return [a, b](Scene &scene) {
            a(scene);
            b(scene);
        };
    };
    return {first.name + "+" + second.name, both(first.strike, second.strike), both(first.heal, second.heal), first.needsKeyHome || second.needsKeyHome};
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
        throw std::logic_error("no fault " + name);
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
        faults.push_back(pairOf(find(first), find(second)));
    }
    return faults;
}

const std::array<std::string, 10>
    steps{"accepted", "placed", "sent", "admitted", "recorded", "to_backend", "first_byte", "mid_stream", "last_byte", "answered"};

const std::array<std::string, 4> invariants{"at_most_once", "not_run_is_true", "whole_answer", "one_final_answer"};

struct Mode {
    RequestMode mode;
    const char *name;
};
const std::array<Mode, 3> modes{{{RequestMode::Chat, "chat"}, {RequestMode::CallerKey, "caller_key"}, {RequestMode::RouterKey, "router_key"}}};

/** @brief Learns where a request goes by asking a copy of it on a fleet without faults. */
std::string serverOf(RequestMode mode, const std::string &key)
{
    MatrixFleet matrix;
    matrix.fleet->ask("router-0", makeRequest(mode, "probe", key));
    matrix.fleet->run(stepLimit);
    return matrix.fleet->answer("probe").server;
}

/** @brief Creates a key whose home is a given backend server. */
std::string keyWithHome(const std::string &server, core::RandomSource &random, core::WallTime now)
{
    const std::vector<member::Member> homes{{"booking-0"}, {"booking-1"}, {"booking-2"}};
    constexpr int tries = 100;
    for (int i = 0; i < tries; ++i) {
        auto key = core::makeUuid7(now, random);
        if (policy::rankByRendezvous("desk/" + key, homes, 1).front()->server == server) {
            return key;
        }
    }
    throw std::logic_error("no key has its home at " + server);
}

/** @brief Checks one caller's answer. */
void judgeAnswer(Scene &scene, const std::string &id, const std::string &key, bool routerWasKilled, std::map<std::string, std::string> &seen)
{
    const auto &answer = scene.fleet().answer(id);
    const auto &ledger = *scene.matrix.ledger;
    const auto runs = ledger.runsByRequest.count(id) > 0 ? ledger.runsByRequest.at(id) : 0;
    if (answer.final && !answer.whole && answer.finals > 0 && answer.runState == RunState::NotRun && runs > 0) {
        seen["not_run_is_true"] += id + " was told 'not run' but ran; ";
    }
    wire::Submit shape;
    shape.set_request_id(id);
    shape.set_key(scene.mode == RequestMode::CallerKey ? key : "");
    const bool keyKnown = scene.mode != RequestMode::RouterKey && !key.empty();
    if (answer.whole && keyKnown && answer.body != expectedAnswer(shape)) {
        seen["whole_answer"] += id + " got '" + answer.body + "'; ";
    }
    if (answer.whole && answer.body.size() < expectedAnswer({}).size()) {
        seen["whole_answer"] += id + " got a short answer; ";
    }
    const bool late = answer.answered > answer.asked + makeRequest(scene.mode, "", "").deadline + answerSlack;
    if (!routerWasKilled && (answer.finals != 1 || late)) {
        seen["one_final_answer"] += id + " got " + std::to_string(answer.finals) + " final answers" + (late ? ", late; " : "; ");
    }
}

/** @brief Runs one fault at one step and returns what was wrong, by invariant. */
std::map<std::string, std::string> runScene(const std::string &step, const Fault &fault, RequestMode mode, std::string &unreached)
{
    Scene scene{MatrixFleet(), mode};
    auto &fleet = scene.fleet();
    core::RandomSource random(7);
    auto key = core::makeUuid7(fleet.queue().now().wall, random);
    scene.server = serverOf(mode, key);
    scene.agent = "vm-" + scene.server;
    fleet.ask(scene.router, makeRequest(mode, "first", key));
    const bool reached = step == "answered" ? (fleet.run(core::Milliseconds(100)), fleet.answer("first").final) : fleet.runTo(step, stepLimit);
    if (!reached) {
        unreached = "the step was not reached";
        return {};
    }
    fault.strike(scene);
    fleet.run(beforeRetry + fault.patience);
    if (fault.laterKey) {
        key = keyWithHome(scene.server, random, fleet.queue().now().wall);
    }
    std::vector<std::string> ids{"first"};
    const auto retry = [&](const std::string &id, const std::string &router) {
        ids.push_back(id);
        fleet.ask(router, makeRequest(mode, id, key));
    };
    if (mode != RequestMode::RouterKey) {
        retry("second", "router-1");
        fleet.run(core::Milliseconds(500));
        retry("again", "router-0");
    }
    fleet.run(beforeHeal);
    fault.heal(scene);
    fleet.run(afterHeal);
    if (mode != RequestMode::RouterKey) {
        retry("third", "router-0");
        retry("fourth", "router-1");
    }
    if (fault.reunite) {
        fleet.run(afterHeal);
        fault.reunite(scene);
        fleet.run(afterHeal);
        retry("fifth", "router-0");
    }
    fleet.run(atTheEnd);
    std::map<std::string, std::string> seen;
    for (const auto &[runKey, count] : scene.matrix.ledger->runsByKey) {
        if (count > 1) {
            seen["at_most_once"] += runKey + " ran " + std::to_string(count) + " times; ";
        }
    }
    const bool killsRouter = fault.name.find("kill_router") != std::string::npos;
    for (const auto &id : ids) {
        const bool otherKey = fault.laterKey && id == "first";
        judgeAnswer(scene, id, otherKey ? "" : key, killsRouter && (id == "first" || id == "again"), seen);
    }
    return seen;
}

std::string whyNotApplicable(const Fault &fault, RequestMode mode, const std::string &invariant)
{
    if (fault.needsKeyHome && mode == RequestMode::Chat) {
        return "chats have no key home";
    }
    if (invariant == "at_most_once" && mode == RequestMode::Chat) {
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
            for (const auto &mode : modes) {
                const bool skipped = !whyNotApplicable(fault, mode.mode, "").empty();
                std::string unreached;
                const auto seen = run && !skipped ? runScene(step, fault, mode.mode, unreached) : std::map<std::string, std::string>();
                for (const auto &invariant : invariants) {
                    Cell cell{std::string("request.") + mode.name + "." + step, fault.name, invariant};
                    const auto reason = whyNotApplicable(fault, mode.mode, invariant);
                    const auto wrong = seen.find(invariant);
                    if (!reason.empty() || !unreached.empty()) {
                        cell.verdict = Verdict::NotApplicable;
                        cell.note = reason.empty() ? unreached : reason;
                    } else if (run) {
                        cell.verdict = wrong == seen.end() ? Verdict::Passed : Verdict::Failed;
                        cell.note = wrong == seen.end() ? "" : wrong->second;
                    }
                    cells.push_back(std::move(cell));
                }
            }
        }
    }
    return cells;
}

} // namespace cyclamenspool::fault
