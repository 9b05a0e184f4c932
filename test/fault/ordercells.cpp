// Cells of an order to an engine: fencing, freezes, restarts and changed views.

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
    std::function<void(FakeFleet &)> strike;
    bool keepsAway = false; /**< No order may come after this fault. */
};

TableParts leavingParts()
{
    TableParts parts;
    parts.leaving = "  - {name: vm-engine-0, kind: vm}\n";
    return parts;
}

void wakeLater(FakeFleet &fleet, const std::string &victim, core::Milliseconds after)
{
    fleet.queue().add(after, {"wake", "network", [&fleet, victim] {
                                  fleet.wake(victim);
                              }});
}

void restartLater(FakeFleet &fleet, const std::string &victim, core::Milliseconds after)
{
    fleet.queue().add(after, {"restart", "network", [&fleet, victim] {
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
                       wakeLater(fleet, agentVm, core::Milliseconds(9000));
                   }});
    all.push_back({"freeze_backend", [](FakeFleet &fleet) {
                       fleet.freeze(server);
                       wakeLater(fleet, server, core::Milliseconds(9000));
                   }});
    all.push_back({"view_changes", [](FakeFleet &fleet) {
                       fleet.publish(matrixTable({}), "");
                   }});
    all.push_back({"vm_leaves",
                   [](FakeFleet &fleet) {
                       fleet.publish(matrixTable(leavingParts()), "");
                       fleet.run(core::Milliseconds(0));
                   },
                   true});
    all.push_back({"freeze_agent+vm_leaves",
                   [](FakeFleet &fleet) {
                       fleet.freeze(agentVm);
                       fleet.publish(matrixTable(leavingParts()), "");
                       wakeLater(fleet, agentVm, core::Milliseconds(9000));
                   },
                   true});
    all.push_back({"platform_down", [](FakeFleet &fleet) {
                       fleet.setRefresh(false);
                   }});
    return all;
}

const std::array<std::string, 3> steps{"wanted", "order_decided", "order_sent"};
const std::array<std::string, 3> invariants{"fence_never_falls", "no_order_on_old_view", "model_is_loaded"};

std::map<std::string, std::string> runScene(const std::string &step, const Fault &fault, bool checksFencing, std::string &unreached)
{
    TableParts parts;
    parts.checksFencing = checksFencing;
    std::map<std::string, std::string> seen;
    fake::FakeFleet::Shape shape;
    const auto ledger = std::make_shared<Ledger>();
    shape.table = matrixTable(parts);
    shape.vms = matrixVms();
    shape.makeBackend = [ledger](const std::string &name) {
        return std::make_unique<LedgerBackend>(name, ledger, "");
    };
    FakeFleet fleet(shape);
    if (step != "wanted" && !fleet.runTo(step, stepLimit)) {
        unreached = "the step was not reached";
        return seen;
    }
    const bool alreadySent = step == "order_sent";
    fault.strike(fleet);
    const auto before = ledger->orders[server].size();
    fleet.run(core::Milliseconds(40000));
    const auto &orders = ledger->orders[server];
    for (std::size_t i = 1; i < orders.size(); ++i) {
        const auto earlier = std::make_pair(orders[i - 1].fenceRevision, orders[i - 1].fenceStart);
        const auto later = std::make_pair(orders[i].fenceRevision, orders[i].fenceStart);
        if (later < earlier) {
            seen["fence_never_falls"] = "order " + std::to_string(i) + " has a lower fencing number";
        }
    }
    const bool targetsThis = fault.keepsAway && !alreadySent;
    if (targetsThis && orders.size() > before) {
        seen["no_order_on_old_view"] = std::to_string(orders.size() - before) + " orders after the VM was marked as leaving";
    }
    const auto models = fleet.backend(server).state().models;
    if (!fault.keepsAway && models.empty()) {
        seen["model_is_loaded"] = "the engine has no model after 40 s";
    }
    return seen;
}

} // namespace

Cells orderCells(bool run)
{
    Cells cells;
    for (const bool checksFencing : {true, false}) {
        for (const auto &step : steps) {
            for (const auto &fault : faults()) {
                std::string unreached;
                const auto seen = run ? runScene(step, fault, checksFencing, unreached) : std::map<std::string, std::string>();
                for (const auto &invariant : invariants) {
                    Cell cell{std::string("order.") + (checksFencing ? "fenced." : "unfenced.") + step, fault.name, invariant};
                    const bool leaves = fault.keepsAway && invariant == "model_is_loaded";
                    const bool stays = !fault.keepsAway && invariant == "no_order_on_old_view";
                    const auto wrong = seen.find(invariant);
                    if (leaves || stays || !unreached.empty()) {
                        cell.verdict = Verdict::NotApplicable;
                        cell.note = leaves ? "the VM is leaving" : stays ? "every view wants the order" : unreached;
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
