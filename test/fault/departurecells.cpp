// Cells of a departure: an availability zone is marked as leaving, is evacuated and later used again, under a constant load of chats that send several requests
// each.

#include "cell.h"

#include "matrixfleet.h"

#include <array>
#include <functional>
#include <map>

namespace cyclamenspool::fault {

namespace {

using fake::FakeFleet;

constexpr core::Milliseconds partDelay{300};
constexpr core::Milliseconds requestPeriod{50};
constexpr core::Milliseconds noNewWorkBound{3000}; /* from the time at which the leaving mark is published */
constexpr core::Milliseconds absenceTime{15000};
constexpr core::Milliseconds timeAfterReturn{12000};
constexpr core::Milliseconds workReturnsBound{6000}; /* from the time at which the mark is removed */
constexpr int chatCount = 40;
constexpr const char *leavingServer = "engine-1";
constexpr const char *leavingVm = "vm-engine-1";
constexpr const char *leavingRows = "  - {name: az-b, kind: zone}\n";

/** @brief A fleet under load, one zone of which is marked as leaving and later returns. */
class Departure
{
public:
    Departure()
    {
        matrix_.runRecord->partDelay = partDelay;
        fleet().run(core::Milliseconds(10));
    }

    FakeFleet &fleet()
    {
        return *matrix_.fleet;
    }

    RunRecord &runRecord()
    {
        return *matrix_.runRecord;
    }

    /** @brief Advances the fake clock and sends one chat request per period. */
    void runUnderLoad(core::Milliseconds duration)
    {
        for (core::Milliseconds elapsed{0}; elapsed < duration; elapsed += requestPeriod) {
            const auto id = "r" + std::to_string(requestCount_);
            auto request = makeRequest(RequestKind::Chat, id, "");
            request.chat = "chat-" + std::to_string(requestCount_ % chatCount);
            fleet().sendRequest(requestCount_ % 2 == 0 ? "router-0" : "router-1", request);
            ++requestCount_;
            fleet().run(requestPeriod);
        }
    }

    /** @brief Sends requests until the agent of the leaving zone has admitted one but not yet sent it to its engine. @return False if none was admitted. */
    bool runUntilAdmission()
    {
        for (int i = 0; i < chatCount; ++i) {
            const auto id = "r" + std::to_string(requestCount_++);
            auto request = makeRequest(RequestKind::Chat, id, "");
            request.chat = "admission-" + std::to_string(i);
            fleet().sendRequest("router-1", request);
            if (fleet().runUntil("admitted", core::Milliseconds(5), leavingVm)) {
                return true;
            }
        }
        return false;
    }

    /** @brief Publishes the table with the zone marked as leaving. @param recipients Processes that receive it; empty: all. */
    void markLeaving(const std::set<std::string> &recipients)
    {
        markedAt_ = fleet().queue().now().monotonic;
        TableParts parts;
        parts.leavingRows = leavingRows;
        fleet().publish(matrixTable(parts), "", recipients);
    }

    /** @brief Publishes the table without the mark to all processes. */
    void removeMark()
    {
        unmarkedAt_ = fleet().queue().now().monotonic;
        fleet().publish(matrixTable({}), "");
    }

    /** @brief Returns how many runs the engine of the leaving zone started. @param from Start, included. @param to End, excluded. */
    int countRuns(core::MonotonicTime from, core::MonotonicTime to)
    {
        int count = 0;
        for (const auto &[server, time] : runRecord().runStarts) {
            count += server == leavingServer && time >= from && time < to ? 1 : 0;
        }
        return count;
    }

    /** @brief Returns the violated invariants with details. @param mayCutResponses True if the fault may cut responses in progress. */
    std::map<std::string, std::string> findViolations(bool mayCutResponses)
    {
        std::map<std::string, std::string> violations;
        const int lateRuns = countRuns(markedAt_ + noNewWorkBound, unmarkedAt_);
        if (lateRuns > 0) {
            violations["no_new_work"] = std::to_string(lateRuns) + " runs started after the bound";
        }
        if (countRuns(unmarkedAt_, unmarkedAt_ + workReturnsBound) == 0) {
            violations["work_returns"] = "no run started in the returned zone";
        }
        for (int i = 0; i < requestCount_; ++i) {
            const auto id = "r" + std::to_string(i);
            const auto &response = fleet().responseTo(id);
            wire::Submit submit;
            submit.set_request_id(id);
            const bool isComplete = response.isComplete && response.body == expectedResponse(submit);
            const bool isCut = response.final && response.finalCount <= 1 && !response.isComplete && response.runState != core::RunState::NotRun;
            if (!isComplete && !(isCut && mayCutResponses)) {
                violations["no_request_lost"] += id + " got no complete response: " + std::string(core::ruleOf(response.errorKind).name) + "; ";
            }
        }
        return violations;
    }

private:
    MatrixFleet matrix_;
    int requestCount_ = 0;
    core::MonotonicTime markedAt_{};
    core::MonotonicTime unmarkedAt_{};
};

struct Fault {
    std::string name;
    std::set<std::string> recipients{}; /**< Processes that receive the mark; empty: all. */
    std::function<void(FakeFleet &)> inject{};
    std::function<void(FakeFleet &)> recover{};
    bool mayCutResponses = false; /**< True if responses in progress may be cut. */
};

Fault freezeFault(const std::string &victim, core::Milliseconds duration)
{
    Fault fault{"freeze_" + victim + "_" + std::to_string(duration.count()) + "ms"};
    fault.inject = [victim, duration](FakeFleet &fleet) {
        fleet.freeze(victim);
        fleet.queue().add(duration, {"resume", "network", [&fleet, victim] {
                                         fleet.resume(victim);
                                     }});
    };
    fault.mayCutResponses = true;
    return fault;
}

Fault killFault(const std::string &victim)
{
    Fault fault{"kill_" + victim};
    fault.inject = [victim](FakeFleet &fleet) {
        fleet.kill(victim);
        fleet.queue().add(core::Milliseconds(1500), {"restart", "network", [&fleet, victim] {
                                                         fleet.restart(victim);
                                                     }});
    };
    fault.mayCutResponses = true;
    return fault;
}

std::set<std::string> allProcessesExcept(const std::string &excluded)
{
    std::set<std::string> names{"router-0", "router-1", "vm-engine-0", "vm-engine-1", "vm-engine-2", "vm-booking-0", "vm-booking-1", "vm-booking-2"};
    names.erase(excluded);
    return names;
}

std::vector<Fault> faults()
{
    std::vector<Fault> all{{"none"}};
    for (const std::string victim : {"router-0", leavingVm, "vm-engine-0", leavingServer, "engine-0"}) {
        all.push_back(killFault(victim));
    }
    for (const std::string victim : {"router-0", leavingVm, "vm-engine-0", leavingServer}) {
        all.push_back(freezeFault(victim, core::Milliseconds(2000)));
        all.push_back(freezeFault(victim, core::Milliseconds(9000)));
    }
    all.push_back({"mark_unknown_to_router-0", allProcessesExcept("router-0")});
    all.push_back({"mark_unknown_to_agent", allProcessesExcept(leavingVm)});
    Fault platformDown{"platform_down"};
    platformDown.inject = [](FakeFleet &fleet) {
        fleet.setRefreshSourcesReachable(false);
    };
    platformDown.recover = [](FakeFleet &fleet) {
        fleet.setRefreshSourcesReachable(true);
    };
    all.push_back(platformDown);
    Fault listFlaps{"list_flaps"};
    listFlaps.inject = [](FakeFleet &fleet) {
        fleet.publish("", matrixVms(leavingVm));
        fleet.publish("", matrixVms());
    };
    all.push_back(listFlaps);
    auto freezePair = freezeFault(leavingVm, core::Milliseconds(9000));
    freezePair.name += "+mark_unknown_to_router-0";
    freezePair.recipients = allProcessesExcept("router-0");
    all.push_back(freezePair);
    auto killPair = killFault(leavingVm);
    killPair.name += "+mark_unknown_to_router-0";
    killPair.recipients = allProcessesExcept("router-0");
    all.push_back(killPair);
    return all;
}

/* Right after the mark is published: "admitted", at which the agent has admitted a request but not yet sent it, and "marked"; then "known" after 50 ms,
 * "draining" after 400 ms and "away" after 4 s. "returned": right after the mark is removed; "warming": 500 ms later. */
const std::array<std::string, 7> steps{"admitted", "marked", "known", "draining", "away", "returned", "warming"};
const std::array<std::string, 3> invariants{"no_new_work", "no_request_lost", "work_returns"};

std::map<std::string, std::string> runScenario(const std::string &step, const Fault &fault)
{
    Departure departure;
    const auto injectAt = [&](const std::string &currentStep) {
        if (step == currentStep && fault.inject) {
            fault.inject(departure.fleet());
        }
    };
    departure.runUnderLoad(core::Milliseconds(5000));
    if (step == "admitted" && !departure.runUntilAdmission()) {
        return {{"no_new_work", "no request was admitted"}};
    }
    departure.markLeaving(fault.recipients);
    injectAt("admitted");
    injectAt("marked");
    departure.runUnderLoad(core::Milliseconds(50));
    injectAt("known");
    departure.runUnderLoad(core::Milliseconds(350));
    injectAt("draining");
    departure.runUnderLoad(core::Milliseconds(3600));
    injectAt("away");
    departure.runUnderLoad(absenceTime);
    departure.removeMark();
    injectAt("returned");
    departure.runUnderLoad(core::Milliseconds(500));
    injectAt("warming");
    departure.runUnderLoad(timeAfterReturn);
    if (fault.recover) {
        fault.recover(departure.fleet());
    }
    departure.fleet().run(core::Milliseconds(30000));
    return departure.findViolations(fault.mayCutResponses);
}

} // namespace

Cells departureCells(bool run)
{
    Cells cells;
    for (const auto &step : steps) {
        for (const auto &fault : faults()) {
            const auto violations = run ? runScenario(step, fault) : std::map<std::string, std::string>();
            for (const auto &invariant : invariants) {
                Cell cell{"departure." + step, fault.name, invariant};
                const auto violation = violations.find(invariant);
                const bool isFrozenOnReturn = invariant == "work_returns" && (step == "returned" || step == "warming")
                    && fault.name.find("9000") != std::string::npos && fault.name.find("engine-1") != std::string::npos;
                const bool isAtFrozenEngine = invariant == "no_new_work" && step == "admitted" && fault.name.find("freeze_engine-1") != std::string::npos;
                if (isAtFrozenEngine) {
                    cell.verdict = Verdict::NotApplicable;
                    cell.note = "the frozen engine had the request before its agent received the mark";
                } else if (isFrozenOnReturn) {
                    cell.verdict = Verdict::NotApplicable;
                    cell.note = "the returning engine or its agent is frozen for longer than the bound";
                } else if (run) {
                    cell.verdict = violation == violations.end() ? Verdict::Passed : Verdict::Failed;
                    cell.note = violation == violations.end() ? "" : violation->second.substr(0, 300);
                }
                cells.push_back(std::move(cell));
            }
        }
    }
    return cells;
}

} // namespace cyclamenspool::fault
