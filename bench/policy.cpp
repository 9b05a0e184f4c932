// Compares placement policies on the same schedule of recurring chats: the production router and agent cores against simple baselines.

#include <fake/program.h>

#include "barplot.h"

#include <fake/enginemodel.h>
#include <fake/fakefleet.h>

#include <cyclamenspool/policy/rendezvous.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <iomanip>
#include <iostream>
#include <memory>
#include <random>
#include <vector>

namespace cyclamenspool::bench {

namespace po = boost::program_options;
using core::Milliseconds;
using fake::EngineModel;

constexpr Milliseconds sampleStep{100};
constexpr double sampleWeight = 0.1; /* weight of a sample in the smoothed load; gives a time constant of 1 s */
constexpr double loadBoundFactor = 1.25; /* load bound as a multiple of the mean load */
constexpr std::uint64_t firstPromptTokens = 800;
constexpr std::uint64_t turnTokens = 400; /* tokens that each turn adds to the history of a chat */
constexpr std::uint64_t maxPromptTokens = 8000;
constexpr double maxRequestTokens = maxPromptTokens + 400; /* prompt and response */

/** @brief Size and latencies of a deployment. */
struct Deployment {
    const char *name;
    int engines;
    int zones;
    int routers;
    std::chrono::microseconds interZoneLatency; /**< One way. */
    std::chrono::microseconds callerLatency; /**< One way, from the callers to the routers. */
};

const Deployment deployments[] = {
    {"srisuwan", 12, 4, 4, std::chrono::microseconds(4000), std::chrono::microseconds(3000)},
    {"derwent", 18, 3, 3, std::chrono::microseconds(3000), std::chrono::microseconds(1000)},
};

/** @brief Load and disturbances of a run. */
struct Scenario {
    const char *name;
    double requestRatePerEngine; /**< Requests per second per engine. */
    double surgeFactor = 1.0; /**< Factor on the rate of one workspace in the middle third. */
    bool hasChurn = false; /**< Every 8 s the next engine restarts with an empty cache. */
    bool hasDeparture = false; /**< One zone is leaving in the middle third and then returns. */
    bool hasColdStart = false; /**< One engine restarts with an empty cache halfway through. */
    bool hasShortRequests = false; /**< 70% of the requests generate 10 tokens, the rest as many as in the other scenarios (120 to 239). */
};

const Scenario scenarios[] = {
    {"steady, half load", 0.6},
    {"steady, high load", 1.1},
    {"steady, full load", 3.0},
    {"churn", 0.6, 1.0, true},
    {"surge", 0.5, 5.0},
    {"departure and return", 0.6, 1.0, false, true},
    {"cold start", 0.6, 1.0, false, false, true},
    {"mixed", 0.9, 1.0, false, false, false, true},
};

/** @brief Scheduled request. */
struct Arrival {
    Milliseconds at;
    std::string chat;
    std::uint64_t prompt; /**< Prompt tokens, with the history of the chat. */
    std::uint64_t decode; /**< Tokens to generate. */
};

/** @brief Returns the requests of a run in the order of their times. */
std::vector<Arrival> makeSchedule(const Deployment &deployment, const Scenario &scenario, Milliseconds duration, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<Arrival> schedule;
    const int chats = deployment.engines * 60;
    std::map<int, int> turns;
    std::uniform_real_distribution<double> unit(0.0, 1.0);
    double now = 0;
    const double end = static_cast<double>(duration.count());
    while (true) {
        const bool isSurging = now > end / 3 && now < 2 * end / 3;
        const double surgeRate = isSurging ? 0.2 * (scenario.surgeFactor - 1.0) : 0.0; /* the surging workspace has a fifth of the base load */
        const double rate = scenario.requestRatePerEngine * deployment.engines * (1.0 + surgeRate);
        now += std::exponential_distribution<double>(rate)(random) * 1000.0;
        if (now >= end) {
            return schedule;
        }
        const bool isSurgeRequest = unit(random) < surgeRate / (1.0 + surgeRate);
        const int surgeChats = chats / 5;
        const int chat = isSurgeRequest ? static_cast<int>(unit(random) * surgeChats) : static_cast<int>(unit(random) * chats);
        const int turn = turns[chat]++;
        const bool isShort = scenario.hasShortRequests && unit(random) < 0.7;
        const auto prompt = std::min(firstPromptTokens + turnTokens * static_cast<std::uint64_t>(turn), maxPromptTokens);
        schedule.push_back({Milliseconds(static_cast<long>(now)), "chat-" + std::to_string(chat), prompt, isShort ? 10U : 120U + (random() % 120U)});
    }
}

/** @brief Measurements of a run. */
struct Outcome {
    double reuse = 0.0; /**< Fraction of the prompt tokens found in the prefix caches. */
    double skewMax = 0.0; /**< Largest ratio of the highest to the mean smoothed load. */
    double skewP99 = 0.0; /**< 99th percentile of that ratio. */
    double overBoundFraction = 0.0; /**< Fraction of the samples in which an engine exceeds both the load bound and the mean plus one largest request. */
    double firstTokenP95 = 0.0; /**< Seconds, as a caller sees it. */
    int refused = 0; /**< Failed requests that are known not to have run. */
    int lost = 0; /**< Other requests without a complete response. */
    double controlBytes = 0.0; /**< Control traffic in bytes per second per engine. */
};

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0.0;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(fraction * static_cast<double>(values.size())))];
}

/** @brief Measures how unevenly the load is distributed over the engines that accept requests. */
class SkewMeter
{
public:
    explicit SkewMeter(std::size_t engines)
        : smoothed_(engines, 0.0)
    {
    }

    /** @brief Adds a sample. @param loads Load of each engine. @param isIncluded Whether each engine accepts requests. */
    void sample(const std::vector<double> &loads, const std::vector<bool> &isIncluded)
    {
        double sum = 0.0;
        double maxLoad = 0.0;
        int count = 0;
        for (std::size_t i = 0; i < loads.size(); ++i) {
            smoothed_[i] += sampleWeight * (loads[i] - smoothed_[i]);
            if (isIncluded[i]) {
                sum += smoothed_[i];
                maxLoad = std::max(maxLoad, smoothed_[i]);
                ++count;
            }
        }
        const double mean = count == 0 ? 0.0 : sum / count;
        if (mean <= 0.0) {
            return;
        }
        ratios_.push_back(maxLoad / mean);
        overBoundSamples_ += maxLoad > std::max(loadBoundFactor * mean, mean + maxRequestTokens) ? 1 : 0;
    }

    /** @brief Writes the skew and the fraction of samples over the bound into an outcome. */
    void fill(Outcome &outcome) const
    {
        outcome.skewMax = ratios_.empty() ? 0.0 : *std::max_element(ratios_.begin(), ratios_.end());
        outcome.skewP99 = quantile(ratios_, 0.99);
        outcome.overBoundFraction = ratios_.empty() ? 0.0 : static_cast<double>(overBoundSamples_) / static_cast<double>(ratios_.size());
    }

private:
    std::vector<double> smoothed_;
    std::vector<double> ratios_;
    int overBoundSamples_ = 0;
};

/** @brief Engines as a baseline policy sees them: with exact and current loads. */
struct Engines {
    std::vector<std::unique_ptr<EngineModel>> models;
    std::vector<double> loads;
    std::vector<member::Member> members;
    core::RandomSource random{1};
    std::size_t lastRoundRobin = 0; /**< Index of the engine that the round-robin policy chose last. */

    [[nodiscard]] double mean() const
    {
        double sum = 0.0;
        int count = 0;
        for (std::size_t i = 0; i < loads.size(); ++i) {
            sum += members[i].accepting ? loads[i] : 0.0;
            count += members[i].accepting ? 1 : 0;
        }
        return count == 0 ? 0.0 : sum / count;
    }

    [[nodiscard]] std::size_t indexOf(const member::Member *member) const
    {
        return static_cast<std::size_t>(member - members.data());
    }

    [[nodiscard]] std::size_t drawAccepting()
    {
        while (true) {
            const auto index = random.index(members.size());
            if (members[index].accepting) {
                return index;
            }
        }
    }
};

/** @brief Function of a baseline policy that returns the index of the engine to place a request on. */
using Choose = std::size_t (*)(Engines &, const Arrival &);

std::size_t chooseRoundRobin(Engines &engines, const Arrival &)
{
    do {
        engines.lastRoundRobin = (engines.lastRoundRobin + 1) % engines.members.size();
    } while (!engines.members[engines.lastRoundRobin].accepting);
    return engines.lastRoundRobin;
}

std::size_t chooseRandom(Engines &engines, const Arrival &)
{
    return engines.drawAccepting();
}

std::size_t chooseLeastLoadedOfTwo(Engines &engines, const Arrival &)
{
    const auto a = engines.drawAccepting();
    const auto b = engines.drawAccepting();
    return engines.loads[a] <= engines.loads[b] ? a : b;
}

std::size_t chooseByHash(Engines &engines, const Arrival &arrival)
{
    return engines.indexOf(policy::rankByRendezvous(arrival.chat, engines.members, 1).front());
}

std::size_t chooseByBoundedHash(Engines &engines, const Arrival &arrival)
{
    const double limit = std::max(loadBoundFactor * engines.mean(), 1.0);
    const auto ranked = policy::rankByRendezvous(arrival.chat, engines.members, engines.members.size());
    for (const auto *member : ranked) {
        if (engines.loads[engines.indexOf(member)] <= limit) {
            return engines.indexOf(member);
        }
    }
    return engines.indexOf(ranked.front());
}

/** @brief Placement policy to compare. */
struct Policy {
    const char *name;
    Choose choose; /**< Null: the production cores. */
};

const Policy policies[] = {{"cyclamenspool", nullptr},
                           {"round robin", chooseRoundRobin},
                           {"random", chooseRandom},
                           {"least load of two", chooseLeastLoadedOfTwo},
                           {"plain hash", chooseByHash},
                           {"bounded hash", chooseByBoundedHash}};

const Milliseconds runDuration{120000};

bool isInMiddleThird(Milliseconds at)
{
    return at > runDuration / 3 && at < 2 * runDuration / 3;
}

/** @brief Runs a schedule with a baseline policy. */
class BaselineRun
{
public:
    BaselineRun(const Deployment &deployment, const Scenario &scenario, Choose choose)
        : deployment_(deployment)
        , scenario_(scenario)
        , choose_(choose)
        , meter_(static_cast<std::size_t>(deployment.engines))
    {
        for (int i = 0; i < deployment.engines; ++i) {
            engines_.models.push_back(std::make_unique<EngineModel>(fake::EngineParameters{}, "lamp"));
            engines_.loads.push_back(0.0);
            member::Member member;
            member.server = "engine-" + std::to_string(i);
            member.zone = "az-" + std::to_string(i % deployment.zones);
            engines_.members.push_back(member);
        }
    }

    Outcome run(const std::vector<Arrival> &schedule)
    {
        const auto begin = queue_.now().monotonic;
        auto next = schedule.begin();
        for (Milliseconds now{0}; now < runDuration + Milliseconds(60000); now += sampleStep) {
            applyScenario(now);
            while (next != schedule.end() && next->at < now + sampleStep) {
                deliverUntil(begin + next->at);
                dispatch(*next++);
            }
            deliverUntil(begin + now + sampleStep);
            std::vector<bool> isIncluded;
            for (const auto &member : engines_.members) {
                isIncluded.push_back(member.accepting);
            }
            if (now < runDuration) {
                meter_.sample(engines_.loads, isIncluded);
            }
        }
        return outcome();
    }

private:
    void deliverUntil(core::MonotonicTime until)
    {
        while (queue_.peek(until) != nullptr) {
            queue_.pop().deliver();
        }
        queue_.advanceTo(until);
    }

    void applyScenario(Milliseconds now)
    {
        for (std::size_t i = 0; i < engines_.members.size(); ++i) {
            const bool isAway = scenario_.hasDeparture && isInMiddleThird(now) && engines_.members[i].zone == "az-0";
            engines_.members[i].accepting = !isAway;
        }
        const bool isRestartDue = scenario_.hasChurn && now.count() % 8000 == 0 && now.count() > 0;
        if (isRestartDue) {
            engines_.models[static_cast<std::size_t>(now.count() / 8000) % engines_.models.size()]->restart(queue_.now().monotonic);
        }
        if (scenario_.hasColdStart && now == runDuration / 2) {
            engines_.models[0]->restart(queue_.now().monotonic);
        }
    }

    void dispatch(const Arrival &arrival)
    {
        const auto index = choose_(engines_, arrival);
        const auto service = engines_.models[index]->startRequest(arrival.chat, arrival.prompt, arrival.decode, queue_.now().monotonic);
        const auto prefill = static_cast<double>(arrival.prompt - service.cachedTokens);
        const auto decode = static_cast<double>(arrival.decode);
        engines_.loads[index] += prefill + decode;
        firstTokens_.push_back(std::chrono::duration<double>(service.timeToFirstToken + 2 * deployment_.callerLatency).count());
        queue_.add(service.timeToFirstToken, {"", "", [this, index, prefill] {
                                                  engines_.loads[index] -= prefill;
                                              }});
        queue_.add(service.timeToLastToken, {"", "", [this, index, decode] {
                                                 engines_.loads[index] -= decode;
                                                 engines_.models[index]->finishRequest();
                                             }});
    }

    Outcome outcome()
    {
        Outcome result;
        std::uint64_t cachedTokens = 0;
        std::uint64_t totalTokens = 0;
        for (const auto &model : engines_.models) {
            cachedTokens += model->cachedAndTotalPromptTokens().first;
            totalTokens += model->cachedAndTotalPromptTokens().second;
        }
        result.reuse = static_cast<double>(cachedTokens) / static_cast<double>(totalTokens);
        meter_.fill(result);
        result.firstTokenP95 = quantile(firstTokens_, 0.95);
        return result;
    }

    const Deployment &deployment_;
    const Scenario &scenario_;
    Choose choose_;
    fake::EventQueue queue_;
    Engines engines_;
    SkewMeter meter_;
    std::vector<double> firstTokens_;
};

/** @brief Runs a schedule with the production cores. */
class CoreRun
{
public:
    CoreRun(const Deployment &deployment, const Scenario &scenario, std::uint64_t seed)
        : deployment_(deployment)
        , scenario_(scenario)
        , meter_(static_cast<std::size_t>(deployment.engines))
    {
        fake::FakeFleet::Options options;
        options.seed = seed;
        options.tableYaml = makeTable("");
        options.vmsYaml = makeVms();
        options.recordDecisions = false;
        options.latency = [between = deployment.interZoneLatency](const std::string &from, const std::string &to) {
            return from == to ? std::chrono::microseconds(200) : between;
        };
        options.makeBackend = [](const std::string &) {
            return std::make_unique<EngineModel>(fake::EngineParameters{}, "lamp");
        };
        fleet_ = std::make_unique<fake::FakeFleet>(std::move(options));
        fleet_->run(Milliseconds(40000));
    }

    Outcome run(const std::vector<Arrival> &schedule)
    {
        const auto bytesBefore = fleet_->controlBytes();
        int requestCount = 0;
        auto next = schedule.begin();
        for (Milliseconds now{0}; now < runDuration + Milliseconds(60000); now += sampleStep) {
            applyScenario(now);
            Milliseconds elapsed{0};
            while (next != schedule.end() && next->at < now + sampleStep) {
                const auto offset = std::max(next->at - now, elapsed);
                fleet_->run(offset - elapsed);
                elapsed = offset;
                sendRequest(*next++, requestCount++);
            }
            fleet_->run(sampleStep - elapsed);
            if (now < runDuration) {
                sampleLoads(now);
            }
        }
        Outcome result = outcome(requestCount);
        const double seconds = static_cast<double>((runDuration + Milliseconds(60000)).count()) / 1000.0;
        result.controlBytes = static_cast<double>(fleet_->controlBytes() - bytesBefore) / seconds / deployment_.engines;
        return result;
    }

private:
    [[nodiscard]] std::string makeTable(const std::string &leavingRows) const
    {
        return "workspaces:\n  - {name: desk}\npools:\n  - {name: notes, kind: model, model: lamp, load_bound: 1.25, max_tokens: 200000, cold_tokens: 9000, "
               "warm_up_ms: 20000}\ngroups:\n  - {name: engines, pool: notes}\n"
            + leavingRows;
    }

    [[nodiscard]] std::string makeVms() const
    {
        std::string text = "vms:\n";
        for (int i = 0; i < deployment_.routers; ++i) {
            const auto number = std::to_string(i);
            text += "  - {name: router-" + number + ", zone: az-" + std::to_string(i % deployment_.zones) + ", address: router-" + number + ", role: router}\n";
        }
        for (int i = 0; i < deployment_.engines; ++i) {
            const auto number = std::to_string(i);
            text += "  - {name: vm-engine-" + number + ", zone: az-" + std::to_string(i % deployment_.zones) + ", address: vm-engine-" + number
                + ", role: agent, group: engines, server: engine-" + number + "}\n";
        }
        return text;
    }

    EngineModel &model(std::size_t index)
    {
        return dynamic_cast<EngineModel &>(fleet_->backend("engine-" + std::to_string(index)));
    }

    void applyScenario(Milliseconds now)
    {
        if (scenario_.hasDeparture && now == runDuration / 3) {
            fleet_->publish(makeTable("leaving:\n  - {name: az-0, kind: zone}\n"), "");
        }
        if (scenario_.hasDeparture && now == 2 * runDuration / 3) {
            fleet_->publish(makeTable(""), "");
        }
        const bool isRestartDue = scenario_.hasChurn && now.count() % 8000 == 0 && now.count() > 0;
        if (isRestartDue) {
            model(static_cast<std::size_t>(now.count() / 8000) % static_cast<std::size_t>(deployment_.engines)).restart(fleet_->queue().now().monotonic);
        }
        if (scenario_.hasColdStart && now == runDuration / 2) {
            model(0).restart(fleet_->queue().now().monotonic);
        }
    }

    void sendRequest(const Arrival &arrival, int number)
    {
        router::CallerRequest request;
        request.id = "r" + std::to_string(number);
        request.workspace = "desk";
        request.pool = "notes";
        request.method = "POST";
        request.chat = arrival.chat;
        request.promptTokens = arrival.prompt;
        request.decodeTokens = arrival.decode;
        fleet_->sendRequest("router-" + std::to_string(number % deployment_.routers), request);
    }

    void sampleLoads(Milliseconds now)
    {
        std::vector<double> loads;
        std::vector<bool> isIncluded;
        for (int i = 0; i < deployment_.engines; ++i) {
            loads.push_back(fleet_->agent("vm-engine-" + std::to_string(i)).load(fleet_->queue().now()).tokens);
            isIncluded.push_back(!(scenario_.hasDeparture && isInMiddleThird(now) && i % deployment_.zones == 0));
        }
        meter_.sample(loads, isIncluded);
    }

    Outcome outcome(int requestCount)
    {
        Outcome result;
        std::uint64_t cachedTokens = 0;
        std::uint64_t totalTokens = 0;
        for (int i = 0; i < deployment_.engines; ++i) {
            const auto counts = model(static_cast<std::size_t>(i)).cachedAndTotalPromptTokens();
            cachedTokens += counts.first;
            totalTokens += counts.second;
        }
        result.reuse = static_cast<double>(cachedTokens) / static_cast<double>(totalTokens);
        meter_.fill(result);
        std::vector<double> firstTokens;
        for (int i = 0; i < requestCount; ++i) {
            const auto &response = fleet_->responseTo("r" + std::to_string(i));
            if (response.isComplete) {
                firstTokens.push_back(std::chrono::duration<double>(response.firstByteAt - response.sentAt + 2 * deployment_.callerLatency).count());
            } else if (response.final && response.runState == core::RunState::NotRun) {
                ++result.refused;
            } else {
                ++result.lost;
            }
        }
        result.firstTokenP95 = quantile(firstTokens, 0.95);
        return result;
    }

    const Deployment &deployment_;
    const Scenario &scenario_;
    SkewMeter meter_;
    std::unique_ptr<fake::FakeFleet> fleet_;
};

void printJson(const Deployment &deployment,
               const Scenario &scenario,
               const Policy &policy,
               const char *measure,
               double value,
               const char *unit,
               std::uint64_t seed)
{
    boost::json::object line;
    line["scenario"] = std::string(deployment.name) + ": " + scenario.name;
    line["policy"] = policy.name;
    line["measure"] = measure;
    line["value"] = value;
    line["unit"] = unit;
    line["seed"] = seed;
    std::cout << boost::json::serialize(line) << '\n';
}

void printOutcome(const Deployment &deployment, const Scenario &scenario, const Policy &policy, const Outcome &outcome, std::uint64_t seed, bool json)
{
    if (json) {
        printJson(deployment, scenario, policy, "cache reuse", outcome.reuse, "ratio", seed);
        printJson(deployment, scenario, policy, "load skew max", outcome.skewMax, "ratio", seed);
        printJson(deployment, scenario, policy, "load skew p99", outcome.skewP99, "ratio", seed);
        printJson(deployment, scenario, policy, "samples over the bound", outcome.overBoundFraction, "ratio", seed);
        printJson(deployment, scenario, policy, "first token p95", outcome.firstTokenP95, "s", seed);
        printJson(deployment, scenario, policy, "refused", outcome.refused, "requests", seed);
        printJson(deployment, scenario, policy, "lost", outcome.lost, "requests", seed);
        printJson(deployment, scenario, policy, "control traffic", outcome.controlBytes, "B/s a node", seed);
        return;
    }
    std::cout << std::left << std::setw(10) << deployment.name << std::setw(22) << scenario.name << std::setw(19) << policy.name << std::right << std::fixed
              << std::setprecision(3) << std::setw(7) << outcome.reuse << std::setprecision(2) << std::setw(7) << outcome.skewMax << std::setw(7)
              << outcome.skewP99 << std::setprecision(3) << std::setw(7) << outcome.overBoundFraction << std::setprecision(2) << std::setw(8)
              << outcome.firstTokenP95 << std::setw(6) << outcome.refused << std::setw(6) << outcome.lost << std::setprecision(0) << std::setw(7)
              << outcome.controlBytes << std::endl;
}

int run(int argc, char **argv)
{
    po::options_description options("options");
    auto add = options.add_options();
    add("json", "print one JSON line per figure");
    add("plot", po::value<std::string>()->default_value(""), "directory to write SVG plots to; empty: no plots");
    add("seed", po::value<std::uint64_t>()->default_value(1), "seed of the random numbers");
    add("only", po::value<std::string>()->default_value(""), "name of the only policy to run; empty: all");
    const auto parsed = fake::parseCommandLine(options, argc, argv);
    if (!parsed) {
        return 0;
    }
    const auto &values = *parsed;
    const auto seed = values["seed"].as<std::uint64_t>();
    const bool json = values.count("json") > 0;
    const auto only = values["only"].as<std::string>();
    if (!json) {
        std::cout << "deployment scenario            policy               reuse    max    p99   over  ttft95 refus  lost  B/s/n\n";
    }
    std::vector<Bar> reuseBars;
    std::vector<Bar> skewBars;
    std::vector<Bar> firstTokenBars;
    for (const auto &deployment : deployments) {
        for (const auto &scenario : scenarios) {
            const auto schedule = makeSchedule(deployment, scenario, runDuration, seed);
            for (const auto &policy : policies) {
                if (!only.empty() && only != policy.name) {
                    continue;
                }
                const auto outcome = policy.choose == nullptr ? CoreRun(deployment, scenario, seed).run(schedule)
                                                              : BaselineRun(deployment, scenario, policy.choose).run(schedule);
                printOutcome(deployment, scenario, policy, outcome, seed, json);
                const auto group = std::string(deployment.name) + ": " + scenario.name;
                reuseBars.push_back({group, policy.name, outcome.reuse});
                skewBars.push_back({group, policy.name, outcome.skewP99});
                firstTokenBars.push_back({group, policy.name, outcome.firstTokenP95});
            }
        }
    }
    const auto directory = values["plot"].as<std::string>();
    if (!directory.empty()) {
        writeBarPlot(directory + "/reuse.svg", "cache reuse (cached prompt tokens over all prompt tokens)", reuseBars);
        writeBarPlot(directory + "/skew.svg", "load skew (p99 of maximum over mean load, smoothed over 1 s)", skewBars);
        writeBarPlot(directory + "/first-token.svg", "time to first token (p95, s)", firstTokenBars);
    }
    return 0;
}

} // namespace cyclamenspool::bench

int main(int argc, char **argv)
{
    return cyclamenspool::fake::runProgram(cyclamenspool::bench::run, argc, argv);
}
