// Cells of a configuration change: document stores exchange deltas as the processes do, but in one process and without sockets.

#include "cell.h"

#include <cyclamenspool/config/documentstore.h>
#include <cyclamenspool/core/random.h>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace cyclamenspool::fault {

namespace {

using config::DocumentStore;

constexpr std::size_t nodeCount = 12;
constexpr std::size_t watcherCount = 2;
constexpr int roundCount = 12; /* anti-entropy rounds in each phase of a scenario */

std::string validTable(int revision)
{
    return "workspaces:\n  - {name: desk, requests_per_second: " + std::to_string(revision) + "}\n  - {name: bench}\n";
}

/** @brief Document stores of several nodes and the configuration service that the first of them, the watchers, read. */
class DocumentNodes
{
public:
    DocumentNodes()
    {
        for (std::size_t i = 0; i < nodeCount; ++i) {
            restart(i);
        }
        highestRevisions_.assign(nodeCount, 0);
    }

    /** @brief Sets the revision and the text that the configuration service serves. */
    void publish(std::uint64_t revision, const std::string &text)
    {
        revision_ = revision;
        text_ = text;
    }

    /** @brief Offers the text of the service to a node's store. Does nothing if the node is paused or the service is down. */
    void read(std::size_t node)
    {
        if (!isRunning(node) || isServiceDown_) {
            return;
        }
        std::string errors;
        const auto result = stores_[node]->offer("table", revision_, text_, errors);
        refusalCount_ += result == config::OfferResult::Refused ? 1 : 0;
        recordRevision(node);
    }

    /** @brief Applies the deltas that a node lacks and a peer holds. Does nothing if either is paused or a partition separates them. */
    void pull(std::size_t node, std::size_t peer)
    {
        if (isRunning(node) && isRunning(peer) && isConnected(node, peer)) {
            apply(node, stores_[peer]->deltasFor(stores_[node]->states()));
        }
    }

    /** @brief Returns the deltas that one node holds and another lacks. */
    std::vector<wire::DocumentDelta> missingDeltas(std::size_t from, std::size_t to)
    {
        return stores_[from]->deltasFor(stores_[to]->states());
    }

    /** @brief Offers deltas to a node's store. */
    void apply(std::size_t node, const std::vector<wire::DocumentDelta> &deltas)
    {
        for (const auto &delta : deltas) {
            stores_[node]->offer(delta);
        }
        recordRevision(node);
    }

    /** @brief Runs an anti-entropy round: the watchers read the service, and every node pulls from a random peer. */
    void round()
    {
        for (std::size_t i = 0; i < watcherCount; ++i) {
            read(i);
        }
        for (std::size_t i = 0; i < nodeCount; ++i) {
            pull(i, random_.index(nodeCount));
        }
    }

    /** @brief Replaces a node's store by an empty one. */
    void restart(std::size_t node)
    {
        stores_[node] = std::make_unique<DocumentStore>(std::vector<std::string>{"table"});
        if (!highestRevisions_.empty()) {
            highestRevisions_[node] = 0;
        }
    }

    void setServiceDown(bool isDown)
    {
        isServiceDown_ = isDown;
    }

    void setPaused(std::size_t node, bool isPaused)
    {
        paused_[node] = isPaused;
    }

    void setPartitioned(bool isPartitioned)
    {
        isPartitioned_ = isPartitioned;
    }

    [[nodiscard]] std::uint64_t revisionOf(std::size_t node) const
    {
        return stores_[node]->revision("table");
    }

    [[nodiscard]] std::uint64_t highestRevision() const
    {
        std::uint64_t highest = 0;
        for (std::size_t i = 0; i < nodeCount; ++i) {
            highest = std::max(highest, revisionOf(i));
        }
        return highest;
    }

    /** @brief Returns the violated invariants with details. @param expected Revision that every node must hold. */
    [[nodiscard]] std::map<std::string, std::string> findViolations(std::uint64_t expected) const
    {
        std::map<std::string, std::string> violations;
        if (!regressions_.empty()) {
            violations["never_reverts"] = regressions_;
        }
        for (std::size_t i = 0; i < nodeCount; ++i) {
            const auto state = stores_[i]->states().front();
            const auto rate = stores_[i]->table()->workspaces().count("desk") > 0 ? stores_[i]->table()->workspaces().at("desk").requestsPerSecond : -1.0;
            const bool isConsistent
                = state.revision() == expected && rate == static_cast<double>(expected) && state.digest() == stores_[0]->states().front().digest();
            if (!isConsistent) {
                violations["same_everywhere"] += "node " + std::to_string(i) + " is at revision " + std::to_string(state.revision()) + "; ";
            }
        }
        return violations;
    }

private:
    [[nodiscard]] bool isRunning(std::size_t node) const
    {
        const auto found = paused_.find(node);
        return found == paused_.end() || !found->second;
    }

    [[nodiscard]] bool isConnected(std::size_t a, std::size_t b) const
    {
        return !isPartitioned_ || (a < nodeCount / 2) == (b < nodeCount / 2);
    }

    void recordRevision(std::size_t node)
    {
        const auto revision = revisionOf(node);
        if (revision < highestRevisions_[node]) {
            regressions_ += "node " + std::to_string(node) + " went back to " + std::to_string(revision) + "; ";
        }
        highestRevisions_[node] = std::max(highestRevisions_[node], revision);
    }

    std::array<std::unique_ptr<DocumentStore>, nodeCount> stores_;
    std::vector<std::uint64_t> highestRevisions_;
    std::map<std::size_t, bool> paused_;
    std::string regressions_;
    std::uint64_t revision_ = 0;
    std::string text_;
    bool isServiceDown_ = false;
    bool isPartitioned_ = false;
    int refusalCount_ = 0;
    core::RandomSource random_{11};
};

struct Fault {
    std::string name;
    std::function<void(DocumentNodes &)> inject;
    std::function<void(DocumentNodes &)> recover;
    std::uint64_t expected = 3; /**< Revision that every node must hold at the end; 0: the highest that any node held right after the fault. */
};

void doNothing(DocumentNodes &)
{
}

std::vector<Fault> faults()
{
    std::vector<Fault> all{{"none", doNothing, doNothing}};
    all.push_back({"service_down",
                   [](DocumentNodes &nodes) {
                       nodes.setServiceDown(true);
                   },
                   [](DocumentNodes &nodes) {
                       nodes.setServiceDown(false);
                   }});
    all.push_back({"service_stale",
                   [](DocumentNodes &nodes) {
                       nodes.publish(1, validTable(1));
                   },
                   [](DocumentNodes &nodes) {
                       nodes.publish(3, validTable(3));
                   }});
    all.push_back({"bad_value",
                   [](DocumentNodes &nodes) {
                       nodes.publish(4, "workspaces:\n  - {name: desk, weight: -1}\n");
                   },
                   doNothing,
                   0});
    all.push_back({"bad_value+kill_watcher",
                   [](DocumentNodes &nodes) {
                       nodes.publish(4, "workspaces: [");
                       nodes.restart(0);
                   },
                   doNothing,
                   0});
    all.push_back({"kill_watcher",
                   [](DocumentNodes &nodes) {
                       nodes.restart(0);
                   },
                   doNothing});
    all.push_back({"kill_all_watchers",
                   [](DocumentNodes &nodes) {
                       nodes.restart(0);
                       nodes.restart(1);
                   },
                   doNothing});
    all.push_back({"kill_node",
                   [](DocumentNodes &nodes) {
                       nodes.restart(7);
                   },
                   doNothing});
    all.push_back({"kill_node+service_stale",
                   [](DocumentNodes &nodes) {
                       nodes.restart(0);
                       nodes.publish(1, validTable(1));
                       nodes.read(0);
                   },
                   [](DocumentNodes &nodes) {
                       nodes.publish(3, validTable(3));
                   }});
    all.push_back({"pause_node",
                   [](DocumentNodes &nodes) {
                       nodes.setPaused(7, true);
                   },
                   [](DocumentNodes &nodes) {
                       nodes.setPaused(7, false);
                   }});
    all.push_back({"pause_watchers",
                   [](DocumentNodes &nodes) {
                       nodes.setPaused(0, true);
                       nodes.setPaused(1, true);
                   },
                   [](DocumentNodes &nodes) {
                       nodes.setPaused(0, false);
                       nodes.setPaused(1, false);
                   }});
    all.push_back({"partition",
                   [](DocumentNodes &nodes) {
                       nodes.setPartitioned(true);
                   },
                   [](DocumentNodes &nodes) {
                       nodes.setPartitioned(false);
                   }});
    all.push_back({"late_push",
                   [](DocumentNodes &nodes) {
                       const auto staleDeltas = nodes.missingDeltas(0, 7);
                       nodes.publish(3, validTable(3));
                       nodes.read(7);
                       nodes.apply(7, staleDeltas);
                       nodes.apply(7, staleDeltas);
                   },
                   doNothing});
    all.push_back({"another_change",
                   [](DocumentNodes &nodes) {
                       nodes.publish(5, validTable(5));
                   },
                   doNothing,
                   5});
    return all;
}

const std::array<std::string, 5> steps{"published", "read", "pushed", "pulled", "in_force"};
const std::array<std::string, 2> invariants{"never_reverts", "same_everywhere"};

std::map<std::string, std::string> runScenario(const std::string &step, const Fault &fault)
{
    DocumentNodes nodes;
    nodes.publish(2, validTable(2));
    for (int i = 0; i < roundCount; ++i) {
        nodes.round();
    }
    std::uint64_t expected = fault.expected;
    const auto injectAt = [&](const std::string &currentStep) {
        if (step == currentStep) {
            fault.inject(nodes);
            expected = fault.expected > 0 ? fault.expected : nodes.highestRevision();
        }
    };
    nodes.publish(3, validTable(3));
    injectAt("published");
    nodes.read(0);
    injectAt("read");
    nodes.apply(5, nodes.missingDeltas(0, 5));
    injectAt("pushed");
    nodes.pull(9, 5);
    injectAt("pulled");
    for (int i = 0; i < roundCount; ++i) {
        nodes.round();
    }
    injectAt("in_force");
    for (int i = 0; i < roundCount; ++i) {
        nodes.round();
    }
    fault.recover(nodes);
    for (int i = 0; i < roundCount; ++i) {
        nodes.round();
    }
    return nodes.findViolations(expected);
}

} // namespace

Cells configurationCells(bool run)
{
    Cells cells;
    for (const auto &step : steps) {
        for (const auto &fault : faults()) {
            const auto violations = run ? runScenario(step, fault) : std::map<std::string, std::string>();
            for (const auto &invariant : invariants) {
                Cell cell{"configuration." + step, fault.name, invariant};
                const auto violation = violations.find(invariant);
                if (run) {
                    cell.verdict = violation == violations.end() ? Verdict::Passed : Verdict::Failed;
                    cell.note = violation == violations.end() ? "" : violation->second;
                }
                cells.push_back(std::move(cell));
            }
        }
    }
    return cells;
}

} // namespace cyclamenspool::fault
