#include <catch2/catch.hpp>

#include <cyclamenspool/core/random.h>

#include <fault/matrixfleet.h>

#include <algorithm>
#include <cmath>

using namespace cyclamenspool;
using core::Milliseconds;
using fault::MatrixFleet;
using fault::RequestKind;

namespace {

/** @brief Fleet with one router and a given number of engines, after 5 s without requests. */
struct EnginePool {
    explicit EnginePool(int engines, std::uint64_t seed)
    {
        fake::FakeFleet::Options options;
        options.seed = seed;
        options.tableYaml = fault::matrixTable({});
        options.vmsYaml = "vms:\n  - {name: router-0, zone: az-a, address: router-0, role: router}\n";
        for (int i = 0; i < engines; ++i) {
            const auto number = std::to_string(i);
            options.vmsYaml += "  - {name: vm-engine-" + number + ", zone: az-a, address: vm-engine-" + number
                + ", role: agent, group: engines, server: engine-" + number + "}\n";
        }
        runRecord->partDelay = Milliseconds(700);
        options.makeBackend = [runRecord = runRecord](const std::string &server) {
            return std::make_unique<fault::RecordingBackend>(server, runRecord, "lamp");
        };
        fleet = std::make_unique<fake::FakeFleet>(std::move(options));
        engineCount = engines;
        fleet->run(Milliseconds(5000));
    }

    [[nodiscard]] std::vector<double> loads() const
    {
        std::vector<double> all;
        for (int i = 0; i < engineCount; ++i) {
            all.push_back(fleet->agent("vm-engine-" + std::to_string(i)).load(fleet->queue().now()).tokens);
        }
        return all;
    }

    std::shared_ptr<fault::RunRecord> runRecord = std::make_shared<fault::RunRecord>();
    std::unique_ptr<fake::FakeFleet> fleet;
    int engineCount = 0;
};

constexpr double largestRequest = 150; /* tokens of makeRequest */
constexpr double loadBound = 1.25; /* multiple of the mean load, as in the table */

} // namespace

TEST_CASE("no engine's smoothed load exceeds the load bound and every request is answered completely", "[agent]")
{
    const auto seed = static_cast<std::uint64_t>(GENERATE(1, 2, 3, 4, 5));
    const double hotFraction = GENERATE(0.0, 0.6);
    CAPTURE(seed, hotFraction);
    EnginePool pool(12, seed);
    core::RandomSource random(seed);
    std::vector<double> smoothed(12, 0.0);
    int sent = 0;
    int exceeded = 0;
    for (int step = 0; step < 600; ++step) {
        for (int i = 0; i < 3; ++i) {
            auto request = fault::makeRequest(RequestKind::Chat, "r" + std::to_string(sent++), "");
            const bool hot = random.uniform() < hotFraction;
            request.chat = hot ? "hot-" + std::to_string(random.index(3)) : "chat-" + std::to_string(random.index(500));
            pool.fleet->sendRequest("router-0", request);
        }
        pool.fleet->run(Milliseconds(50));
        const auto loads = pool.loads();
        double mean = 0;
        for (std::size_t i = 0; i < loads.size(); ++i) {
            smoothed[i] += (loads[i] - smoothed[i]) * 0.05;
            mean += smoothed[i] / static_cast<double>(loads.size());
        }
        const double limit = std::max(loadBound * mean, mean + largestRequest);
        exceeded += std::any_of(smoothed.begin(),
                                smoothed.end(),
                                [limit](double load) {
                                    return load > limit;
                                })
            ? 1
            : 0;
    }
    CHECK(exceeded == 0);
    pool.fleet->run(Milliseconds(10000));
    int completed = 0;
    for (int i = 0; i < sent; ++i) {
        completed += pool.fleet->responseTo("r" + std::to_string(i)).isComplete ? 1 : 0;
    }
    CHECK(completed == sent);
}

TEST_CASE("an engine that restarts without notice gets no more load than its cold-start ramp allows", "[agent]")
{
    fault::TableParts parts;
    parts.poolFields = "load_bound: 1.25, max_tokens: 100000, cold_tokens: 600, warm_up_ms: 20000";
    MatrixFleet matrix("lamp", parts);
    matrix.runRecord->partDelay = Milliseconds(700);
    auto &fleet = *matrix.fleet;
    fleet.run(Milliseconds(30000));
    int sent = 0;
    const auto load = [&](int steps) {
        double peak = 0;
        for (int step = 0; step < steps; ++step) {
            auto request = fault::makeRequest(RequestKind::Chat, "r" + std::to_string(sent), "");
            request.chat = "chat-" + std::to_string(sent++ % 100);
            fleet.sendRequest("router-0", request);
            fleet.run(Milliseconds(50));
            peak = std::max(peak, fleet.agent("vm-engine-0").load(fleet.queue().now()).tokens);
        }
        return peak;
    };
    load(200);
    fleet.kill("engine-0");
    fleet.restart("engine-0");
    fleet.run(Milliseconds(300));
    CHECK(fleet.agent("vm-engine-0").load(fleet.queue().now()).cold);
    // Load is sent until 2.3 s after the restart; the limit is the ramp's value after 2.5 of its 20 seconds.
    CHECK(load(40) <= 600 + (100000 - 600) * 2.5 / 20);
    CHECK(fleet.agent("vm-engine-0").counts().coldStarts >= 2);
}

TEST_CASE("after missing cache events no history counts as cached", "[agent]")
{
    const bool gap = GENERATE(false, true);
    MatrixFleet matrix;
    matrix.runRecord->partDelay = Milliseconds(700);
    auto &fleet = *matrix.fleet;
    const auto ask = [&](const std::string &id) {
        fleet.sendRequest("router-0", fault::makeRequest(RequestKind::Chat, id, ""));
    };
    ask("first");
    fleet.run(Milliseconds(5000));
    const auto vm = "vm-" + fleet.responseTo("first").server;
    auto state = fleet.backend(fleet.responseTo("first").server).state();
    state.eventGap = gap;
    REQUIRE(fleet.agent(vm).onEngineState(state, fleet.queue().now()).empty());
    ask("second");
    fleet.run(Milliseconds(100));
    REQUIRE(fleet.agent(vm).load(fleet.queue().now()).runs == 1);
    const auto counts = fleet.agent(vm).counts();
    CHECK(counts.estimatedWarmTokens == (gap ? 0 : 100));
}

TEST_CASE("a full pool refuses within a second with a retry delay and runs nothing it refused", "[agent]")
{
    fault::TableParts parts;
    parts.poolFields = "load_bound: 1.25, max_tokens: 600, cold_tokens: 600, warm_up_ms: 100";
    MatrixFleet matrix("lamp", parts);
    matrix.runRecord->partDelay = Milliseconds(5000);
    auto &fleet = *matrix.fleet;
    for (int i = 0; i < 60; ++i) {
        auto request = fault::makeRequest(RequestKind::Chat, "r" + std::to_string(i), "");
        request.chat = "chat-" + std::to_string(i);
        fleet.sendRequest("router-0", request);
        fleet.run(Milliseconds(50));
    }
    fleet.run(Milliseconds(1000));
    int refused = 0;
    for (int i = 0; i < 60; ++i) {
        const auto id = "r" + std::to_string(i);
        const auto &answer = fleet.responseTo(id);
        if (!answer.final) {
            continue;
        }
        ++refused;
        CHECK(answer.runState == core::RunState::NotRun);
        CHECK(matrix.runRecord->runsByRequest.count(id) == 0);
        CHECK(answer.retryAfter.count() > 0);
        CHECK(answer.endedAt - answer.sentAt <= Milliseconds(1000));
    }
    constexpr int maxAdmitted = 3 * 600 / 50; /* capacity of three engines divided by the decode tokens of a request, which stay outstanding after prefill */
    CHECK(refused >= 60 - maxAdmitted);
}
