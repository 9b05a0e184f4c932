// Measures the estimators of a pool's mean load while the loads move: error, bytes, time to settle, loss under crashes.

#include <fake/program.h>

#include <cyclamenspool/core/random.h>
#include <cyclamenspool/member/meanestimator.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <iostream>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace cyclamenspool::bench {

namespace po = boost::program_options;
using core::Milliseconds;

constexpr long stepMillis = 50;
constexpr long warmMillis = 10000;
constexpr long runMillis = 40000;
constexpr double exchangePeriodMillis = 250;
constexpr std::size_t frameBytes = 48; /* HTTP/2 frames around a message */

struct Method {
    const char *name;
    std::unique_ptr<member::MeanEstimator> (*make)(const member::EstimatorParameters &);
    std::size_t samples;
    double smoothing;
};

const Method methods[] = {
    {"pairwise, unsmoothed", member::makePairwiseEstimator, 0, 1.0},
    {"pairwise, smoothing 0.5", member::makePairwiseEstimator, 0, 0.5},
    {"pairwise, smoothing 0.25", member::makePairwiseEstimator, 0, 0.25},
    {"pairwise, smoothing 0.1", member::makePairwiseEstimator, 0, 0.1},
    {"sampling 8", member::makeSamplingEstimator, 8, 0},
    {"sampling 16", member::makeSamplingEstimator, 16, 0},
    {"sampling 32", member::makeSamplingEstimator, 32, 0},
};

/** @brief How the loads move and what fails. */
struct Scenario {
    const char *name;
    double surge; /**< Factor on the arrivals in the middle third. */
    double crashPart; /**< Part of the engines that crash at one third; their load is gone. */
    double lossPart; /**< Part of the replies that are lost. */
};

const Scenario scenarios[] = {{"steady", 1.0, 0.0, 0.0}, {"surge", 3.0, 0.0, 0.0}, {"crash", 1.0, 0.05, 0.0}, {"loss", 1.0, 0.0, 0.05}};

struct Engine {
    std::unique_ptr<member::MeanEstimator> estimator;
    double load = 0.0;
    std::priority_queue<std::pair<long, double>, std::vector<std::pair<long, double>>, std::greater<>> running; /* end and tokens */
    long nextExchange = 0;
    bool alive = true;
};

struct Result {
    double meanError = 0.0;
    double p95Error = 0.0;
    double bytesPerSecond = 0.0;
    double unknownPart = 0.0;
};

core::Now timeAt(long millis)
{
    const Milliseconds base(3600000);
    return {core::MonotonicTime(base + Milliseconds(millis)), core::WallTime(base + Milliseconds(millis))};
}

/** @brief Engines whose requests come and go while they exchange loads. */
class Trial
{
public:
    Trial(const Method &method, const Scenario &scenario, std::size_t engines, std::uint64_t seed)
        : scenario_(scenario)
        , random_(seed)
        , generator_(seed)
    {
        member::EstimatorParameters periods;
        periods.maxSamples = method.samples;
        periods.smoothing = method.smoothing;
        for (std::size_t i = 0; i < engines; ++i) {
            Engine engine;
            engine.estimator = method.make(periods);
            engine.nextExchange = static_cast<long>(random_.uniform() * exchangePeriodMillis);
            engines_.push_back(std::move(engine));
        }
    }

    Result run()
    {
        const long end = warmMillis + runMillis;
        for (long now = 0; now < end; now += stepMillis) {
            if (now >= warmMillis + runMillis / 3) {
                crash();
            }
            const bool surging = now > warmMillis + runMillis / 3 && now < warmMillis + 2 * runMillis / 3;
            move(now, surging ? scenario_.surge : 1.0);
            exchange(now);
            if (now >= warmMillis) {
                measure(now);
            }
        }
        Result result;
        std::sort(errors_.begin(), errors_.end());
        for (const double error : errors_) {
            result.meanError += error / static_cast<double>(errors_.size());
        }
        result.p95Error = errors_.empty() ? 0.0 : errors_[errors_.size() * 95 / 100];
        result.bytesPerSecond = static_cast<double>(bytes_) / static_cast<double>(engines_.size()) / (static_cast<double>(end) / 1000.0);
        result.unknownPart = static_cast<double>(unknown_) / static_cast<double>(unknown_ + errors_.size());
        return result;
    }

private:
    void crash()
    {
        const auto count = static_cast<std::size_t>(scenario_.crashPart * static_cast<double>(engines_.size()));
        for (std::size_t i = 0; i < count; ++i) {
            engines_[i].alive = false;
        }
    }

    void move(long now, double surge)
    {
        std::poisson_distribution<int> arrivals(0.25 * surge);
        std::lognormal_distribution<double> tokens(5.0, 1.0);
        std::exponential_distribution<double> length(1.0 / 3000.0);
        for (auto &engine : engines_) {
            while (!engine.running.empty() && engine.running.top().first <= now) {
                engine.load -= engine.running.top().second;
                engine.running.pop();
            }
            for (int i = arrivals(generator_); i > 0; --i) {
                const double cost = tokens(generator_);
                engine.load += cost;
                engine.running.emplace(now + static_cast<long>(length(generator_)), cost);
            }
            engine.estimator->setLoad(std::max(engine.load, 0.0), 1.0, timeAt(now));
        }
    }

    void exchange(long now)
    {
        for (auto &engine : engines_) {
            if (!engine.alive || engine.nextExchange > now) {
                continue;
            }
            engine.nextExchange = now + static_cast<long>(exchangePeriodMillis * (0.5 + random_.uniform()));
            auto &peer = engines_[random_.index(engines_.size())];
            if (&peer == &engine) {
                continue;
            }
            const auto question = engine.estimator->startExchange(timeAt(now));
            bytes_ += question.ByteSizeLong() + frameBytes;
            if (!peer.alive) {
                continue;
            }
            const auto reply = peer.estimator->answer(question, timeAt(now));
            bytes_ += reply.ByteSizeLong() + frameBytes;
            if (random_.uniform() >= scenario_.lossPart) {
                engine.estimator->finishExchange(reply, timeAt(now));
            }
        }
    }

    void measure(long now)
    {
        double sum = 0.0;
        std::size_t alive = 0;
        for (const auto &engine : engines_) {
            sum += engine.alive ? engine.load : 0.0;
            alive += engine.alive ? 1 : 0;
        }
        const double mean = sum / static_cast<double>(alive);
        for (const auto &engine : engines_) {
            const auto estimate = engine.estimator->estimate(timeAt(now));
            if (engine.alive && estimate) {
                errors_.push_back(std::abs(*estimate - mean) / mean);
            }
            unknown_ += engine.alive && !estimate ? 1 : 0;
        }
    }

    const Scenario &scenario_;
    core::RandomSource random_;
    std::mt19937_64 generator_;
    std::vector<Engine> engines_;
    std::vector<double> errors_;
    std::size_t unknown_ = 0;
    std::uint64_t bytes_ = 0;
};

void printJson(const Scenario &scenario, const Method &method, std::size_t engines, const char *measure, double value, const char *unit, std::uint64_t seed)
{
    boost::json::object line;
    line["scenario"] = std::string("estimate ") + scenario.name + " " + std::to_string(engines);
    line["policy"] = method.name;
    line["measure"] = measure;
    line["value"] = value;
    line["unit"] = unit;
    line["seed"] = seed;
    std::cout << boost::json::serialize(line) << '\n';
}

void printRow(const Scenario &scenario, const Method &method, std::size_t engines, const Result &result)
{
    std::cout << std::left << std::setw(8) << scenario.name << std::setw(5) << engines << std::setw(26) << method.name << std::right << std::fixed
              << std::setprecision(3) << std::setw(8) << result.meanError << std::setw(8) << result.p95Error << std::setw(9) << std::setprecision(0)
              << result.bytesPerSecond << std::setw(9) << std::setprecision(3) << result.unknownPart << '\n';
}

int run(int argc, char **argv)
{
    po::options_description options("options");
    auto add = options.add_options();
    add("json", "print one JSON line a figure");
    add("seed", po::value<std::uint64_t>()->default_value(1), "seed");
    const auto parsed = fake::parseCommandLine(options, argc, argv);
    if (!parsed) {
        return 0;
    }
    const auto &values = *parsed;
    const auto seed = values["seed"].as<std::uint64_t>();
    const bool json = values.count("json") > 0;
    if (!json) {
        std::cout << "scenario engines method           error: mean     p95  bytes/s  unknown\n";
    }
    for (const auto &scenario : scenarios) {
        for (const std::size_t engines : {std::size_t{12}, std::size_t{100}, std::size_t{925}}) {
            for (const auto &method : methods) {
                const auto result = Trial(method, scenario, engines, seed).run();
                if (json) {
                    printJson(scenario, method, engines, "mean error", result.meanError, "ratio", seed);
                    printJson(scenario, method, engines, "p95 error", result.p95Error, "ratio", seed);
                    printJson(scenario, method, engines, "control traffic", result.bytesPerSecond, "B/s a node", seed);
                } else {
                    printRow(scenario, method, engines, result);
                }
            }
        }
    }
    return 0;
}

} // namespace cyclamenspool::bench

int main(int argc, char **argv)
{
    return cyclamenspool::fake::runProgram(cyclamenspool::bench::run, argc, argv);
}
