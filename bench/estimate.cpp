// Measures the estimators of a pool's mean load under changing load, crashes and lost replies: estimation error, control traffic and the share of
// engines without an estimate.

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

constexpr long stepMs = 50;
constexpr long warmUpMs = 10000;
constexpr long runMs = 40000;
constexpr double exchangePeriodMs = 250;
constexpr std::size_t frameBytes = 48; /* allowance for the HTTP/2 frames of a message */

/** @brief Estimator with its parameters. */
struct Method {
    const char *name;
    std::unique_ptr<member::MeanEstimator> (*makeEstimator)(const member::EstimatorParameters &);
    std::size_t samples; /**< Of the sampling estimator; 0 for the pairwise one. */
    double smoothing; /**< Of the pairwise estimator; 0 for the sampling one. */
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

/** @brief Load pattern and faults of a run. */
struct Scenario {
    const char *name;
    double arrivalFactor; /**< Factor on the arrival rate in the middle third. */
    double crashedFraction; /**< Fraction of the engines that crash after the first third; their load no longer counts towards the mean. */
    double lostFraction; /**< Fraction of the replies that are lost. */
};

const Scenario scenarios[] = {{"steady", 1.0, 0.0, 0.0}, {"surge", 3.0, 0.0, 0.0}, {"crash", 1.0, 0.05, 0.0}, {"loss", 1.0, 0.0, 0.05}};

/** @brief Engine with its estimator and its running requests. */
struct Engine {
    std::unique_ptr<member::MeanEstimator> estimator;
    double load = 0.0;
    std::priority_queue<std::pair<long, double>, std::vector<std::pair<long, double>>, std::greater<>> running; /**< End in ms and tokens of each request. */
    long nextExchangeMs = 0;
    bool alive = true;
};

/** @brief Measurements of a run. */
struct Result {
    double meanError = 0.0; /**< Relative error, like the next one. */
    double p95Error = 0.0;
    double bytesPerSecond = 0.0; /**< Control traffic of an engine. */
    double unknownFraction = 0.0; /**< Fraction of the samples without an estimate. */
};

core::Now timeAt(long timeMs)
{
    const Milliseconds base(3600000);
    return {core::MonotonicTime(base + Milliseconds(timeMs)), core::WallTime(base + Milliseconds(timeMs))};
}

/** @brief Simulates engines that serve requests and exchange their loads. */
class Simulation
{
public:
    Simulation(const Method &method, const Scenario &scenario, std::size_t engines, std::uint64_t seed)
        : scenario_(scenario)
        , random_(seed)
        , generator_(seed)
    {
        member::EstimatorParameters parameters;
        parameters.maxSamples = method.samples;
        parameters.smoothing = method.smoothing;
        for (std::size_t i = 0; i < engines; ++i) {
            Engine engine;
            engine.estimator = method.makeEstimator(parameters);
            engine.nextExchangeMs = static_cast<long>(random_.uniform() * exchangePeriodMs);
            engines_.push_back(std::move(engine));
        }
    }

    Result run()
    {
        const long end = warmUpMs + runMs;
        for (long now = 0; now < end; now += stepMs) {
            if (now >= warmUpMs + runMs / 3) {
                crashEngines();
            }
            const bool isSurging = now > warmUpMs + runMs / 3 && now < warmUpMs + 2 * runMs / 3;
            updateLoads(now, isSurging ? scenario_.arrivalFactor : 1.0);
            exchangeLoads(now);
            if (now >= warmUpMs) {
                measureErrors(now);
            }
        }
        Result result;
        std::sort(errors_.begin(), errors_.end());
        for (const double error : errors_) {
            result.meanError += error / static_cast<double>(errors_.size());
        }
        result.p95Error = errors_.empty() ? 0.0 : errors_[errors_.size() * 95 / 100];
        result.bytesPerSecond = static_cast<double>(bytes_) / static_cast<double>(engines_.size()) / (static_cast<double>(end) / 1000.0);
        result.unknownFraction = static_cast<double>(unknownSamples_) / static_cast<double>(unknownSamples_ + errors_.size());
        return result;
    }

private:
    void crashEngines()
    {
        const auto count = static_cast<std::size_t>(scenario_.crashedFraction * static_cast<double>(engines_.size()));
        for (std::size_t i = 0; i < count; ++i) {
            engines_[i].alive = false;
        }
    }

    void updateLoads(long now, double arrivalFactor)
    {
        std::poisson_distribution<int> arrivalCount(0.25 * arrivalFactor);
        std::lognormal_distribution<double> tokens(5.0, 1.0);
        std::exponential_distribution<double> durationMs(1.0 / 3000.0);
        for (auto &engine : engines_) {
            while (!engine.running.empty() && engine.running.top().first <= now) {
                engine.load -= engine.running.top().second;
                engine.running.pop();
            }
            for (int i = arrivalCount(generator_); i > 0; --i) {
                const double requestTokens = tokens(generator_);
                engine.load += requestTokens;
                engine.running.emplace(now + static_cast<long>(durationMs(generator_)), requestTokens);
            }
            engine.estimator->setLoad(std::max(engine.load, 0.0), 1.0, timeAt(now));
        }
    }

    void exchangeLoads(long now)
    {
        for (auto &engine : engines_) {
            if (!engine.alive || engine.nextExchangeMs > now) {
                continue;
            }
            engine.nextExchangeMs = now + static_cast<long>(exchangePeriodMs * (0.5 + random_.uniform()));
            auto &peer = engines_[random_.index(engines_.size())];
            if (&peer == &engine) {
                continue;
            }
            const auto request = engine.estimator->startExchange(timeAt(now));
            bytes_ += request.ByteSizeLong() + frameBytes;
            if (!peer.alive) {
                continue;
            }
            const auto reply = peer.estimator->answer(request, timeAt(now));
            bytes_ += reply.ByteSizeLong() + frameBytes;
            if (random_.uniform() >= scenario_.lostFraction) {
                engine.estimator->finishExchange(reply, timeAt(now));
            }
        }
    }

    void measureErrors(long now)
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
            unknownSamples_ += engine.alive && !estimate ? 1 : 0;
        }
    }

    const Scenario &scenario_;
    core::RandomSource random_;
    std::mt19937_64 generator_;
    std::vector<Engine> engines_;
    std::vector<double> errors_;
    std::size_t unknownSamples_ = 0;
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
              << result.bytesPerSecond << std::setw(9) << std::setprecision(3) << result.unknownFraction << '\n';
}

int run(int argc, char **argv)
{
    po::options_description options("options");
    auto add = options.add_options();
    add("json", "print one JSON line per figure");
    add("seed", po::value<std::uint64_t>()->default_value(1), "seed of the random numbers");
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
                const auto result = Simulation(method, scenario, engines, seed).run();
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
