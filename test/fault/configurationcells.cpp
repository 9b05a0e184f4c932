// Cells of a configuration change: document stores that exchange deltas as the processes do, without sockets.

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
constexpr int rounds = 12; /* anti-entropy rounds after the fault */

std::string goodText(int revision)
{
    return "workspaces:\n  - {name: desk, requests_per_second: " + std::to_string(revision) + "}\n  - {name: bench}\n";
}

/** @brief Processes with document stores, and the configuration service. */
class Nodes
{
public:
    Nodes()
    {
        for (std::size_t i = 0; i < nodeCount; ++i) {
            restart(i);
        }
        highest_.assign(nodeCount, 0);
    }

    /** @brief Publishes a value. @param revision Revision. @param text Text. */
    void publish(std::uint64_t revision, const std::string &text)
    {
        revision_ = revision;
        text_ = text;
    }

    /** @brief Lets a node read the service. @param node Node. */
    void read(std::size_t node)
    {
        if (!isUp(node) || down_) {
            return;
        }
        std::string errors;
        const auto verdict = stores_[node]->offer("table", revision_, text_, errors);
        refusals_ += verdict == config::Verdict::Refused ? 1 : 0;
        note(node);
    }

    /** @brief Lets a node ask another for what it lacks. @param node Node that asks. @param peer Node that answers. */
    void pull(std::size_t node, std::size_t peer)
    {
        if (isUp(node) && isUp(peer) && connected(node, peer)) {
            take(node, stores_[peer]->deltasFor(stores_[node]->states()));
        }
    }

    /** @brief Makes the deltas that a peer lacks, to be delivered later. @param from Sender. @param to Receiver. @return Deltas. */
    std::vector<wire::DocumentDelta> prepare(std::size_t from, std::size_t to)
    {
        return stores_[from]->deltasFor(stores_[to]->states());
    }

    /** @brief Delivers deltas. @param node Receiver. @param deltas Deltas. */
    void take(std::size_t node, const std::vector<wire::DocumentDelta> &deltas)
    {
        for (const auto &delta : deltas) {
            stores_[node]->offer(delta);
        }
        note(node);
    }

    /** @brief Runs a round in which the watchers read and every node asks one peer. */
    void round()
    {
        for (std::size_t i = 0; i < watcherCount; ++i) {
            read(i);
        }
        for (std::size_t i = 0; i < nodeCount; ++i) {
            pull(i, random_.index(nodeCount));
        }
    }

    void restart(std::size_t node)
    {
        stores_[node] = std::make_unique<DocumentStore>(std::vector<std::string>{"table"});
        if (!highest_.empty()) {
            highest_[node] = 0;
        }
    }

    void setDown(bool down)
    {
        down_ = down;
    }

    void setPaused(std::size_t node, bool paused)
    {
        paused_[node] = paused;
    }

    void setPartitioned(bool partitioned)
    {
        partitioned_ = partitioned;
    }

    [[nodiscard]] std::uint64_t revisionOf(std::size_t node) const
    {
        return stores_[node]->revision("table");
    }

    [[nodiscard]] std::uint64_t highest() const
    {
        std::uint64_t highest = 0;
        for (std::size_t i = 0; i < nodeCount; ++i) {
            highest = std::max(highest, revisionOf(i));
        }
        return highest;
    }

    [[nodiscard]] std::map<std::string, std::string> judge(std::uint64_t expected) const
    {
        std::map<std::string, std::string> seen;
        if (!reverted_.empty()) {
            seen["never_reverts"] = reverted_;
        }
        for (std::size_t i = 0; i < nodeCount; ++i) {
            const auto state = stores_[i]->states().front();
            const auto rate = stores_[i]->table()->workspaces().count("desk") > 0 ? stores_[i]->table()->workspaces().at("desk").requestsPerSecond : -1.0;
            const bool right = state.revision() == expected && rate == static_cast<double>(expected) && state.digest() == stores_[0]->states().front().digest();
            if (!right) {
                seen["same_everywhere"] += "node " + std::to_string(i) + " is at revision " + std::to_string(state.revision()) + "; ";
            }
        }
        return seen;
    }

private:
    [[nodiscard]] bool isUp(std::size_t node) const
    {
        const auto found = paused_.find(node);
        return found == paused_.end() || !found->second;
    }

    [[nodiscard]] bool connected(std::size_t a, std::size_t b) const
    {
        return !partitioned_ || (a < nodeCount / 2) == (b < nodeCount / 2);
    }

    void note(std::size_t node)
    {
        const auto revision = revisionOf(node);
        if (revision < highest_[node]) {
            reverted_ += "node " + std::to_string(node) + " went back to " + std::to_string(revision) + "; ";
        }
        highest_[node] = std::max(highest_[node], revision);
    }

    std::array<std::unique_ptr<DocumentStore>, nodeCount> stores_;
    std::vector<std::uint64_t> highest_;
    std::map<std::size_t, bool> paused_;
    std::string reverted_;
    std::uint64_t revision_ = 0;
    std::string text_;
    bool down_ = false;
    bool partitioned_ = false;
    int refusals_ = 0;
    core::RandomSource random_{11};
};

struct Fault {
    std::string name;
    std::function<void(Nodes &)> strike;
    std::function<void(Nodes &)> heal;
    std::uint64_t expected = 3; /**< Revision in force everywhere at the end; 0: the highest that any process held after the fault. */
};

void nothing(Nodes &)
{
}

std::vector<Fault> faults()
{
    std::vector<Fault> all{{"none", nothing, nothing}};
    all.push_back({"service_down",
                   [](Nodes &nodes) {
                       nodes.setDown(true);
                   },
                   [](Nodes &nodes) {
                       nodes.setDown(false);
                   }});
    all.push_back({"service_stale",
                   [](Nodes &nodes) {
                       nodes.publish(1, goodText(1));
                   },
                   [](Nodes &nodes) {
                       nodes.publish(3, goodText(3));
                   }});
    all.push_back({"bad_value",
                   [](Nodes &nodes) {
                       nodes.publish(4, "workspaces:\n  - {name: desk, weight: -1}\n");
                   },
                   nothing,
                   0});
    all.push_back({"bad_value+kill_watcher",
                   [](Nodes &nodes) {
                       nodes.publish(4, "workspaces: [");
                       nodes.restart(0);
                   },
                   nothing,
                   0});
    all.push_back({"kill_watcher",
                   [](Nodes &nodes) {
                       nodes.restart(0);
                   },
                   nothing});
    all.push_back({"kill_all_watchers",
                   [](Nodes &nodes) {
                       nodes.restart(0);
                       nodes.restart(1);
                   },
                   nothing});
    all.push_back({"kill_node",
                   [](Nodes &nodes) {
                       nodes.restart(7);
                   },
                   nothing});
    all.push_back({"kill_node+service_stale",
                   [](Nodes &nodes) {
                       nodes.restart(0);
                       nodes.publish(1, goodText(1));
                       nodes.read(0);
                   },
                   [](Nodes &nodes) {
                       nodes.publish(3, goodText(3));
                   }});
    all.push_back({"pause_node",
                   [](Nodes &nodes) {
                       nodes.setPaused(7, true);
                   },
                   [](Nodes &nodes) {
                       nodes.setPaused(7, false);
                   }});
    all.push_back({"pause_watchers",
                   [](Nodes &nodes) {
                       nodes.setPaused(0, true);
                       nodes.setPaused(1, true);
                   },
                   [](Nodes &nodes) {
                       nodes.setPaused(0, false);
                       nodes.setPaused(1, false);
                   }});
    all.push_back({"partition",
                   [](Nodes &nodes) {
                       nodes.setPartitioned(true);
                   },
                   [](Nodes &nodes) {
                       nodes.setPartitioned(false);
                   }});
    all.push_back({"late_push",
                   [](Nodes &nodes) {
                       const auto late = nodes.prepare(0, 7);
                       nodes.publish(3, goodText(3));
                       nodes.read(7);
                       nodes.take(7, late);
                       nodes.take(7, late);
                   },
                   nothing});
    all.push_back({"another_change",
                   [](Nodes &nodes) {
                       nodes.publish(5, goodText(5));
                   },
                   nothing,
                   5});
    return all;
}

const std::array<std::string, 5> steps{"published", "read", "pushed", "pulled", "in_force"};
const std::array<std::string, 2> invariants{"never_reverts", "same_everywhere"};

std::map<std::string, std::string> runScene(const std::string &step, const Fault &fault)
{
    Nodes nodes;
    nodes.publish(2, goodText(2));
    for (int i = 0; i < rounds; ++i) {
        nodes.round();
    }
    std::uint64_t expected = fault.expected;
    const auto strikeAt = [&](const std::string &here) {
        if (step == here) {
            fault.strike(nodes);
            expected = fault.expected > 0 ? fault.expected : nodes.highest();
        }
    };
    nodes.publish(3, goodText(3));
    strikeAt("published");
    nodes.read(0);
    strikeAt("read");
    nodes.take(5, nodes.prepare(0, 5));
    strikeAt("pushed");
    nodes.pull(9, 5);
    strikeAt("pulled");
    for (int i = 0; i < rounds; ++i) {
        nodes.round();
    }
    strikeAt("in_force");
    for (int i = 0; i < rounds; ++i) {
        nodes.round();
    }
    fault.heal(nodes);
    for (int i = 0; i < rounds; ++i) {
        nodes.round();
    }
    return nodes.judge(expected);
}

} // namespace

Cells configurationCells(bool run)
{
    Cells cells;
    for (const auto &step : steps) {
        for (const auto &fault : faults()) {
            const auto seen = run ? runScene(step, fault) : std::map<std::string, std::string>();
            for (const auto &invariant : invariants) {
                Cell cell{"configuration." + step, fault.name, invariant};
                const auto wrong = seen.find(invariant);
                if (run) {
                    cell.verdict = wrong == seen.end() ? Verdict::Passed : Verdict::Failed;
                    cell.note = wrong == seen.end() ? "" : wrong->second;
                }
                cells.push_back(std::move(cell));
            }
        }
    }
    return cells;
}

} // namespace cyclamenspool::fault
