// Cells of an order to an engine to load a model: fencing, freezes, restarts and changed fleet views.

#include "cell.h"

#include "matrixfleet.h"

#include <array>
#include <functional>
#include <map>

namespace cyclamenspool::fault {

namespace {

using fake::FakeFleet;

constexpr core::Milliseconds stepLimit{20000};
constexpr const char *agentVm = "vm-engine-0";
constexpr const char *server = "engine-0";

struct Fault {
    std::string name;
    std::function<void(FakeFleet &)> inject;
    bool forbidsOrders = false; /**< True if the engine may receive no order after this fault. */
};

TableParts partsWithVmLeaving()
{
    TableParts parts;
    parts.leavingRows = "  - {name: vm-engine-0, kind: vm}\n";
    return parts;
}

void resumeLater(FakeFleet &fleet, const std::string &victim, core::Milliseconds delay)
{
    fleet.queue().add(delay, {"resume", "network", [&fleet, victim] {
                                  fleet.resume(victim);
                              }});
}

void restartLater(FakeFleet &fleet, const std::string &victim, core::Milliseconds delay)
{
    fleet.queue().add(delay, {"restart", "network", [&fleet, victim] {
                                  fleet.restart(victim);
                              }});
}

std::vector<Fault> faults()
{
    std::vector<Fault> all;
    all.push_back({"none", [](FakeFleet &) {}});
    all.push_back({"kill_agent", [](FakeFleet &fleet) {
                       fleet.kill(agentVm);
                       restartLater(fleet, agentVm, core::Milliseconds(500));
                   }});
    all.push_back({"kill_backend", [](FakeFleet &fleet) {
                       fleet.kill(server);
                       restartLater(fleet, server, core::Milliseconds(500));
                   }});
    all.push_back({"freeze_agent", [](FakeFleet &fleet) {
                       fleet.freeze(agentVm);
                       resumeLater(fleet, agentVm, core::Milliseconds(9000));
                   }});
    all.push_back({"freeze_backend", [](FakeFleet &fleet) {
                       fleet.freeze(server);
                       resumeLater(fleet, server, core::Milliseconds(9000));
                   }});
    all.push_back({"view_changes", [](FakeFleet &fleet) {
                       fleet.publish(matrixTable({}), "");
                   }});
    all.push_back({"vm_leaves",
                   [](FakeFleet &fleet) {
                       fleet.publish(matrixTable(partsWithVmLeaving()), "");
                       fleet.run(core::Milliseconds(0));
                   },
                   true});
    all.push_back({"freeze_agent+vm_leaves",
                   [](FakeFleet &fleet) {
                       fleet.freeze(agentVm);
                       fleet.publish(matrixTable(partsWithVmLeaving()), "");
                       resumeLater(fleet, agentVm, core::Milliseconds(9000));
                   },
                   true});
    all.push_back({"platform_down", [](FakeFleet &fleet) {
                       fleet.setRefreshSourcesReachable(false);
                   }});
    return all;
}

/* At "wanted", the fleet has just started: the engine has no model and no order is decided yet. */
const std::array<std::string, 3> steps{"wanted", "order_decided", "order_sent"};
const std::array<std::string, 3> invariants{"fence_never_falls", "no_order_on_old_view", "model_is_loaded"};

std::map<std::string, std::string> runScenario(const std::string &step, const Fault &fault, bool checksFencing, std::string &unreachedReason)
{
    TableParts parts;
    parts.checksFencing = checksFencing;
    std::map<std::string, std::string> violations;
    fake::FakeFleet::Options options;
    const auto record = std::make_shared<RunRecord>();
    options.tableYaml = matrixTable(parts);
    options.vmsYaml = matrixVms();
    options.makeBackend = [record](const std::string &name) {
        return std::make_unique<RecordingBackend>(name, record, "");
    };
    FakeFleet fleet(options);
    if (step != "wanted" && !fleet.runUntil(step, stepLimit)) {
        unreachedReason = "the step was not reached";
        return violations;
    }
    const bool isOrderSent = step == "order_sent";
    fault.inject(fleet);
    const auto orderCountBefore = record->orders[server].size();
    fleet.run(core::Milliseconds(40000));
    const auto &orders = record->orders[server];
    for (std::size_t i = 1; i < orders.size(); ++i) {
        const auto earlier = std::make_pair(orders[i - 1].fenceRevision, orders[i - 1].fenceStart);
        const auto later = std::make_pair(orders[i].fenceRevision, orders[i].fenceStart);
        if (later < earlier) {
            violations["fence_never_falls"] = "order " + std::to_string(i) + " has a lower fencing number";
        }
    }
    const bool checksNewOrders = fault.forbidsOrders && !isOrderSent;
    if (checksNewOrders && orders.size() > orderCountBefore) {
        violations["no_order_on_old_view"] = std::to_string(orders.size() - orderCountBefore) + " orders received after the VM was marked as leaving";
    }
    const auto models = fleet.backend(server).state().models;
    if (!fault.forbidsOrders && models.empty()) {
        violations["model_is_loaded"] = "the engine has no model after 40 s";
    }
    return violations;
}

} // namespace

Cells orderCells(bool run)
{
    Cells cells;
    for (const bool checksFencing : {true, false}) {
        for (const auto &step : steps) {
            for (const auto &fault : faults()) {
                std::string unreachedReason;
                const auto violations = run ? runScenario(step, fault, checksFencing, unreachedReason) : std::map<std::string, std::string>();
                for (const auto &invariant : invariants) {
                    Cell cell{std::string("order.") + (checksFencing ? "fenced." : "unfenced.") + step, fault.name, invariant};
                    const bool isVmLeaving = fault.forbidsOrders && invariant == "model_is_loaded";
                    const bool isOrderRequired = !fault.forbidsOrders && invariant == "no_order_on_old_view";
                    const auto violation = violations.find(invariant);
                    if (isVmLeaving || isOrderRequired || !unreachedReason.empty()) {
                        cell.verdict = Verdict::NotApplicable;
                        cell.note = isVmLeaving ? "the VM is leaving" : isOrderRequired ? "every fleet view requires the order" : unreachedReason;
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
