// Compares placement policies on one schedule of returning chats: the real router and agent cores against simple baselines.

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
constexpr double smoothing = 0.1; /* of a sample; a time constant of 1 s */
constexpr double multiple = 1.25;
constexpr std::uint64_t firstPrompt = 800;
constexpr std::uint64_t growth = 400; /* tokens that a turn adds to a chat's history */
constexpr std::uint64_t longestPrompt = 8000;
constexpr double largestRequest = longestPrompt + 400;

/** @brief Size of a deployment. */
struct Deployment {
    const char *name;
    int engines;
    int zones;
    int routers;
    std::chrono::microseconds betweenZones;
    std::chrono::microseconds fromClients;
};

const Deployment deployments[] = {
    {"srisuwan", 12, 4, 4, std::chrono::microseconds(4000), std::chrono::microseconds(3000)},
    {"derwent", 18, 3, 3, std::chrono::microseconds(3000), std::chrono::microseconds(1000)},
};

/** @brief What happens during a run. */
struct Scenario {
    const char *name;
    double perEngine; /**< Requests a second for each engine. */
    double surge = 1.0; /**< Factor on one workspace's rate in the middle third. */
    bool churn = false; /**< An engine restarts every few seconds. */
    bool departure = false; /**< A zone is away in the middle third. */
    bool coldStart = false; /**< One engine turns cold in the middle. */
    bool mixed = false; /**< Long teardown briefs among quick pass or fail calls. */
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

/** @brief One request of the schedule. */
struct Arrival {
    Milliseconds at;
    std::string chat;
    std::uint64_t prompt;
    std::uint64_t decode;
};

std::vector<Arrival> makeSchedule(const Deployment &deployment, const Scenario &scenario, Milliseconds length, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<Arrival> schedule;
    const int chats = deployment.engines * 60;
    std::map<int, int> turns;
    std::uniform_real_distribution<double> unit(0.0, 1.0);
    double now = 0;
    const double end = static_cast<double>(length.count());
    while (true) {
        const bool surging = now > end / 3 && now < 2 * end / 3;
        const double surgeRate = surging ? 0.2 * (scenario.surge - 1.0) : 0.0; /* the surging workspace has a fifth of the load */
        const double rate = scenario.perEngine * deployment.engines * (1.0 + surgeRate);
        now += std::exponential_distribution<double>(rate)(random) * 1000.0;
        if (now >= end) {
            return schedule;
        }
        const bool fromSurge = unit(random) < surgeRate / (1.0 + surgeRate);
        const int part = chats / 5;
        const int chat = fromSurge ? static_cast<int>(unit(random) * part) : static_cast<int>(unit(random) * chats);
        const int turn = turns[chat]++;
        const bool isQuick = scenario.mixed && unit(random) < 0.7;
        const auto prompt = std::min(firstPrompt + growth * static_cast<std::uint64_t>(turn), longestPrompt);
        schedule.push_back({Milliseconds(static_cast<long>(now)), "chat-" + std::to_string(chat), prompt, isQuick ? 10U : 120U + (random() % 120U)});
    }
}

/** @brief What a run showed. */
struct Outcome {
    double reuse = 0.0;
    double skewMax = 0.0;
    double skewP99 = 0.0;
    double overBound = 0.0; /**< Part of the samples in which an engine was over the bound. */
    double firstTokenP95 = 0.0;
    int refused = 0;
    int lost = 0;
    double controlBytes = 0.0; /**< Bytes a second a node. */
};

double quantile(std::vector<double> values, double part)
{
    if (values.empty()) {
        return 0.0;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(part * static_cast<double>(values.size())))];
}

/** @brief Collects the loads of the engines that take work. */
class SkewMeter
{
public:
    explicit SkewMeter(std::size_t engines)
        : smoothed_(engines, 0.0)
    {
    }

    void sample(const std::vector<double> &loads, const std::vector<bool> &counted)
    {
        double sum = 0.0;
        double most = 0.0;
        int count = 0;
        for (std::size_t i = 0; i < loads.size(); ++i) {
            smoothed_[i] += smoothing * (loads[i] - smoothed_[i]);
            if (counted[i]) {
                sum += smoothed_[i];
                most = std::max(most, smoothed_[i]);
                ++count;
            }
        }
        const double mean = count == 0 ? 0.0 : sum / count;
        if (mean <= 0.0) {
            return;
        }
        ratios_.push_back(most / mean);
        over_ += most > std::max(multiple * mean, mean + largestRequest) ? 1 : 0;
    }

    void fill(Outcome &outcome) const
    {
        outcome.skewMax = ratios_.empty() ? 0.0 : *std::max_element(ratios_.begin(), ratios_.end());
        outcome.skewP99 = quantile(ratios_, 0.99);
        outcome.overBound = ratios_.empty() ? 0.0 : static_cast<double>(over_) / static_cast<double>(ratios_.size());
    }

private:
    std::vector<double> smoothed_;
    std::vector<double> ratios_;
    int over_ = 0;
};

/** @brief Engines that a baseline places on, with perfect and instant knowledge of their loads. */
struct Engines {
    std::vector<std::unique_ptr<EngineModel>> models;
    std::vector<double> loads;
    std::vector<member::Member> members;
    core::RandomSource random{1};
    std::size_t next = 0;

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

    [[nodiscard]] std::size_t draw()
    {
        while (true) {
            const auto index = random.index(members.size());
            if (members[index].accepting) {
                return index;
            }
        }
    }
};

using Choose = std::size_t (*)(Engines &, const Arrival &);

std::size_t roundRobin(Engines &engines, const Arrival &)
{
    do {
        engines.next = (engines.next + 1) % engines.members.size();
    } while (!engines.members[engines.next].accepting);
    return engines.next;
}

std::size_t atRandom(Engines &engines, const Arrival &)
{
    return engines.draw();
}

std::size_t leastOfTwo(Engines &engines, const Arrival &)
{
    const auto a = engines.draw();
    const auto b = engines.draw();
    return engines.loads[a] <= engines.loads[b] ? a : b;
}

std::size_t plainHash(Engines &engines, const Arrival &arrival)
{
    return engines.indexOf(policy::rankByRendezvous(arrival.chat, engines.members, 1).front());
}

std::size_t boundedHash(Engines &engines, const Arrival &arrival)
{
    const double limit = std::max(multiple * engines.mean(), 1.0);
    const auto ranked = policy::rankByRendezvous(arrival.chat, engines.members, engines.members.size());
    for (const auto *member : ranked) {
        if (engines.loads[engines.indexOf(member)] <= limit) {
            return engines.indexOf(member);
        }
    }
    return engines.indexOf(ranked.front());
}

struct Policy {
    const char *name;
    Choose choose; /**< Null: the real cores. */
};

const Policy policies[] = {{"cyclamenspool", nullptr},
                           {"round robin", roundRobin},
                           {"random", atRandom},
                           {"least load of two", leastOfTwo},
                           {"plain hash", plainHash},
                           {"bounded hash", boundedHash}};

const Milliseconds runLength{120000};

bool inMiddle(Milliseconds at)
{
    return at > runLength / 3 && at < 2 * runLength / 3;
}

/** @brief Runs a baseline. */
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
            engines_.models.push_back(std::make_unique<EngineModel>(fake::EngineTimes{}, "lamp"));
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
        for (Milliseconds now{0}; now < runLength + Milliseconds(60000); now += sampleStep) {
            changeEngines(now);
            while (next != schedule.end() && next->at < now + sampleStep) {
                drain(begin + next->at);
                dispatch(*next++);
            }
            drain(begin + now + sampleStep);
            std::vector<bool> counted;
            for (const auto &member : engines_.members) {
                counted.push_back(member.accepting);
            }
            if (now < runLength) {
                meter_.sample(engines_.loads, counted);
            }
        }
        return outcome();
    }

private:
    void drain(core::MonotonicTime until)
    {
        while (queue_.next(until) != nullptr) {
            queue_.pop().deliver();
        }
        queue_.advanceTo(until);
    }

    void changeEngines(Milliseconds now)
    {
        for (std::size_t i = 0; i < engines_.members.size(); ++i) {
            const bool away = scenario_.departure && inMiddle(now) && engines_.members[i].zone == "az-0";
            engines_.members[i].accepting = !away;
        }
        const bool restarts = scenario_.churn && now.count() % 8000 == 0 && now.count() > 0;
        if (restarts) {
            engines_.models[static_cast<std::size_t>(now.count() / 8000) % engines_.models.size()]->restart(queue_.now().monotonic);
        }
        if (scenario_.coldStart && now == runLength / 2) {
            engines_.models[0]->restart(queue_.now().monotonic);
        }
    }

    void dispatch(const Arrival &arrival)
    {
        const auto index = choose_(engines_, arrival);
        const auto service = engines_.models[index]->serve(arrival.chat, arrival.prompt, arrival.decode, queue_.now().monotonic);
        const auto prefill = static_cast<double>(arrival.prompt - service.cachedTokens);
        const auto decode = static_cast<double>(arrival.decode);
        engines_.loads[index] += prefill + decode;
        firstTokens_.push_back(std::chrono::duration<double>(service.firstToken + 2 * deployment_.fromClients).count());
        queue_.add(service.firstToken, {"", "", [this, index, prefill] {
                                            engines_.loads[index] -= prefill;
                                        }});
        queue_.add(service.lastToken, {"", "", [this, index, decode] {
                                           engines_.loads[index] -= decode;
                                           engines_.models[index]->finish();
                                       }});
    }

    Outcome outcome()
    {
        Outcome result;
        std::uint64_t warm = 0;
        std::uint64_t all = 0;
        for (const auto &model : engines_.models) {
            warm += model->warmOfAll().first;
            all += model->warmOfAll().second;
        }
        result.reuse = static_cast<double>(warm) / static_cast<double>(all);
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

/** @brief Runs the real cores. */
class CoreRun
{
public:
    CoreRun(const Deployment &deployment, const Scenario &scenario, std::uint64_t seed)
        : deployment_(deployment)
        , scenario_(scenario)
        , meter_(static_cast<std::size_t>(deployment.engines))
    {
        fake::FakeFleet::Shape shape;
        shape.seed = seed;
        shape.table = table("");
        shape.vms = vms();
        shape.logDecisions = false;
        shape.latency = [between = deployment.betweenZones](const std::string &from, const std::string &to) {
            return from == to ? std::chrono::microseconds(200) : between;
        };
        shape.makeBackend = [](const std::string &) {
            return std::make_unique<EngineModel>(fake::EngineTimes{}, "lamp");
        };
        fleet_ = std::make_unique<fake::FakeFleet>(std::move(shape));
        fleet_->run(Milliseconds(40000));
    }

    Outcome run(const std::vector<Arrival> &schedule)
    {
        const auto bytesBefore = fleet_->controlBytes();
        int asked = 0;
        auto next = schedule.begin();
        for (Milliseconds now{0}; now < runLength + Milliseconds(60000); now += sampleStep) {
            changeFleet(now);
            Milliseconds within{0};
            while (next != schedule.end() && next->at < now + sampleStep) {
                const auto offset = std::max(next->at - now, within);
                fleet_->run(offset - within);
                within = offset;
                ask(*next++, asked++);
            }
            fleet_->run(sampleStep - within);
            if (now < runLength) {
                sample(now);
            }
        }
        Outcome result = outcome(asked);
        const double seconds = static_cast<double>((runLength + Milliseconds(60000)).count()) / 1000.0;
        result.controlBytes = static_cast<double>(fleet_->controlBytes() - bytesBefore) / seconds / deployment_.engines;
        return result;
    }

private:
    [[nodiscard]] std::string table(const std::string &leaving) const
    {
        return "workspaces:\n  - {name: desk}\npools:\n  - {name: notes, kind: model, model: lamp, load_bound: 1.25, max_tokens: 200000, cold_tokens: 9000, "
               "warm_up_ms: 20000}\ngroups:\n  - {name: engines, pool: notes}\n"
            + leaving;
    }

    [[nodiscard]] std::string vms() const
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

    void changeFleet(Milliseconds now)
    {
        if (scenario_.departure && now == runLength / 3) {
            fleet_->publish(table("leaving:\n  - {name: az-0, kind: zone}\n"), "");
        }
        if (scenario_.departure && now == 2 * runLength / 3) {
            fleet_->publish(table(""), "");
        }
        const bool restarts = scenario_.churn && now.count() % 8000 == 0 && now.count() > 0;
        if (restarts) {
            model(static_cast<std::size_t>(now.count() / 8000) % static_cast<std::size_t>(deployment_.engines)).restart(fleet_->queue().now().monotonic);
        }
        if (scenario_.coldStart && now == runLength / 2) {
            model(0).restart(fleet_->queue().now().monotonic);
        }
    }

    void ask(const Arrival &arrival, int number)
    {
        router::CallerRequest request;
        request.id = "r" + std::to_string(number);
        request.workspace = "desk";
        request.pool = "notes";
        request.method = "POST";
        request.chat = arrival.chat;
        request.promptTokens = arrival.prompt;
        request.decodeTokens = arrival.decode;
        fleet_->ask("router-" + std::to_string(number % deployment_.routers), request);
    }

    void sample(Milliseconds now)
    {
        std::vector<double> loads;
        std::vector<bool> counted;
        for (int i = 0; i < deployment_.engines; ++i) {
            loads.push_back(fleet_->agent("vm-engine-" + std::to_string(i)).load(fleet_->queue().now()).tokens);
            counted.push_back(!(scenario_.departure && inMiddle(now) && i % deployment_.zones == 0));
        }
        meter_.sample(loads, counted);
    }

    Outcome outcome(int asked)
    {
        Outcome result;
        std::uint64_t warm = 0;
        std::uint64_t all = 0;
        for (int i = 0; i < deployment_.engines; ++i) {
            const auto counts = model(static_cast<std::size_t>(i)).warmOfAll();
            warm += counts.first;
            all += counts.second;
        }
        result.reuse = static_cast<double>(warm) / static_cast<double>(all);
        meter_.fill(result);
        std::vector<double> firstTokens;
        for (int i = 0; i < asked; ++i) {
            const auto &answer = fleet_->answer("r" + std::to_string(i));
            if (answer.whole) {
                firstTokens.push_back(std::chrono::duration<double>(answer.firstByte - answer.asked + 2 * deployment_.fromClients).count());
            } else if (answer.final && answer.runState == core::RunState::NotRun) {
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
        printJson(deployment, scenario, policy, "samples over the bound", outcome.overBound, "ratio", seed);
        printJson(deployment, scenario, policy, "first token p95", outcome.firstTokenP95, "s", seed);
        printJson(deployment, scenario, policy, "refused", outcome.refused, "requests", seed);
        printJson(deployment, scenario, policy, "lost", outcome.lost, "requests", seed);
        printJson(deployment, scenario, policy, "control traffic", outcome.controlBytes, "B/s a node", seed);
        return;
    }
    std::cout << std::left << std::setw(10) << deployment.name << std::setw(22) << scenario.name << std::setw(19) << policy.name << std::right << std::fixed
              << std::setprecision(3) << std::setw(7) << outcome.reuse << std::setprecision(2) << std::setw(7) << outcome.skewMax << std::setw(7)
              << outcome.skewP99 << std::setprecision(3) << std::setw(7) << outcome.overBound << std::setprecision(2) << std::setw(8) << outcome.firstTokenP95
              << std::setw(6) << outcome.refused << std::setw(6) << outcome.lost << std::setprecision(0) << std::setw(7) << outcome.controlBytes << std::endl;
}

int run(int argc, char **argv)
{
    po::options_description options("options");
    auto add = options.add_options();
    add("json", "print one JSON line a figure");
    add("plot", po::value<std::string>()->default_value(""), "directory for SVG plots; empty: none");
    add("seed", po::value<std::uint64_t>()->default_value(1), "seed");
    add("only", po::value<std::string>()->default_value(""), "policy; empty: all");
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
    std::vector<Bar> reuse;
    std::vector<Bar> skew;
    std::vector<Bar> firstToken;
    for (const auto &deployment : deployments) {
        for (const auto &scenario : scenarios) {
            const auto schedule = makeSchedule(deployment, scenario, runLength, seed);
            for (const auto &policy : policies) {
                if (!only.empty() && only != policy.name) {
                    continue;
                }
                const auto outcome = policy.choose == nullptr ? CoreRun(deployment, scenario, seed).run(schedule)
                                                              : BaselineRun(deployment, scenario, policy.choose).run(schedule);
                printOutcome(deployment, scenario, policy, outcome, seed, json);
                const auto group = std::string(deployment.name) + ": " + scenario.name;
                reuse.push_back({group, policy.name, outcome.reuse});
                skew.push_back({group, policy.name, outcome.skewP99});
                firstToken.push_back({group, policy.name, outcome.firstTokenP95});
            }
        }
    }
    const auto directory = values["plot"].as<std::string>();
    if (!directory.empty()) {
        writeBarPlot(directory + "/reuse.svg", "cache reuse (prompt tokens found warm over all)", reuse);
        writeBarPlot(directory + "/skew.svg", "load skew (p99 of max over mean, smoothed over 1 s)", skew);
        writeBarPlot(directory + "/first-token.svg", "time to the first token (p95, s)", firstToken);
    }
    return 0;
}

} // namespace cyclamenspool::bench

int main(int argc, char **argv)
{
    return cyclamenspool::fake::runProgram(cyclamenspool::bench::run, argc, argv);
}
