#include <catch2/catch.hpp>

#include <harness/localfleet.h>

#include <boost/json/parse.hpp>

#include <csignal>
#include <thread>

using namespace cyclamenspool;
using harness::LocalFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds inForceBound{6};

std::vector<std::string> addresses(const LocalFleet &fleet)
{
    std::vector<std::string> all;
    for (const auto &router : fleet.routers) {
        all.push_back(router.httpAddress);
    }
    for (const auto &engine : fleet.engines) {
        all.push_back(engine.httpAddress);
    }
    return all;
}

bool allAt(const std::vector<std::string> &processes, long revision)
{
    for (const auto &address : processes) {
        if (LocalFleet::number(address, "/status", "revision") != revision) {
            return false;
        }
    }
    return true;
}

harness::FleetShape shape()
{
    harness::FleetShape shape;
    shape.services = 0;
    shape.enginesPerZone = 3;
    shape.settings = {{"view_lease_ms", "1000"}};
    return shape;
}

} // namespace

TEST_CASE("a change is in force everywhere within six seconds", "[process]")
{
    LocalFleet fleet(shape());
    const auto all = addresses(fleet);
    for (long revision = 2; revision <= 5; ++revision) {
        fleet.publishTable();
        CHECK(LocalFleet::await(
            [&] {
                return allAt(all, revision);
            },
            inForceBound));
    }
    const auto calls = LocalFleet::number(fleet.configurationService, "/test/counts", "calls");
    CHECK(calls < 200);
}

TEST_CASE("a bad value is refused alike everywhere and the next good one is taken", "[process]")
{
    LocalFleet fleet(shape());
    const auto all = addresses(fleet);
    fleet.publish("table", "workspaces:\n  - {name: desk, weight: -1}\n");
    std::this_thread::sleep_for(seconds(2));
    CHECK(allAt(all, 1));
    CHECK(run(fleet.chat(0, "c", "hello", 2)).status == 200);
    fleet.publishTable();
    CHECK(LocalFleet::await(
        [&] {
            return allAt(all, 3);
        },
        inForceBound));
}

TEST_CASE("a stale service and a restarted process do not bring an old revision back", "[process]")
{
    LocalFleet fleet(shape());
    const auto all = addresses(fleet);
    fleet.publishTable();
    REQUIRE(LocalFleet::await(
        [&] {
            return allAt(all, 2);
        },
        inForceBound));
    const std::string mode = GENERATE("stale", "down");
    fleet.setPlatform(mode);
    fleet.routers[1].router.kill();
    fleet.startRouter(fleet.routers[1]);
    REQUIRE(LocalFleet::awaitReady(fleet.routers[1].httpAddress));
    CHECK(LocalFleet::await(
        [&] {
            return allAt(all, 2);
        },
        inForceBound));
    std::this_thread::sleep_for(seconds(2));
    CHECK(allAt(all, 2));
}

TEST_CASE("a process that starts among informed peers does not ask the services", "[process]")
{
    LocalFleet fleet(shape());
    fleet.routers[1].router.kill();
    fleet.startRouter(fleet.routers[1]);
    for (auto &engine : fleet.engines) {
        engine.agent.kill();
        fleet.startAgent(engine);
    }
    int silent = 0;
    for (const auto &address : addresses(fleet)) {
        REQUIRE(LocalFleet::awaitReady(address));
        silent += LocalFleet::metric(address, "cyclamenspool_service_calls_total") == 0 ? 1 : 0;
    }
    constexpr int restarted = 7;
    constexpr int watchers = 4;
    CHECK(silent >= restarted - watchers);
}

TEST_CASE("the fleet serves while the platform is down and catches up afterwards", "[process]")
{
    LocalFleet fleet(shape());
    const auto all = addresses(fleet);
    fleet.setPlatform("down");
    const auto before = LocalFleet::number(fleet.configurationService, "/test/counts", "calls");
    std::this_thread::sleep_for(seconds(4));
    const auto calls = LocalFleet::number(fleet.configurationService, "/test/counts", "calls") - before;
    CHECK(calls <= static_cast<long>(all.size()) * 2 * 4);
    CHECK(run(fleet.chat(0, "c", "hello", 2)).status == 200);
    fleet.publishTable();
    fleet.setPlatform("up");
    CHECK(LocalFleet::await(
        [&] {
            return allAt(all, 2);
        },
        inForceBound));
}

TEST_CASE("a process that was paused re-reads its view before it acts", "[process]")
{
    LocalFleet fleet(shape());
    const auto all = addresses(fleet);
    const auto &router = fleet.routers[0];
    router.router.signal(SIGSTOP);
    fleet.publishTable("  - {name: az-a, kind: zone}\n");
    std::this_thread::sleep_for(seconds(3));
    long before = 0;
    for (const auto &engine : fleet.engines) {
        before += engine.zone == "az-a" ? LocalFleet::number(engine.backendAddress, "/test/counts", "started") : 0;
    }
    router.router.signal(SIGCONT);
    for (int i = 0; i < 20; ++i) {
        CHECK(run(fleet.chat(0, "c" + std::to_string(i), "hello", 2)).status == 200);
    }
    long after = 0;
    for (const auto &engine : fleet.engines) {
        after += engine.zone == "az-a" ? LocalFleet::number(engine.backendAddress, "/test/counts", "started") : 0;
    }
    CHECK(after == before);
    CHECK(LocalFleet::await(
        [&] {
            return allAt(all, 2);
        },
        inForceBound));
}

TEST_CASE("an engine without its model is ordered to load it", "[process]")
{
    auto empty = shape();
    empty.enginesPerZone = 1;
    empty.modelLoaded = false;
    LocalFleet fleet(empty);
    CHECK(LocalFleet::await(
        [&] {
            return run(fleet.chat(0, "c", "hello", 2)).status == 200;
        },
        seconds(15)));
    for (const auto &engine : fleet.engines) {
        CHECK(LocalFleet::await([&] {
            return LocalFleet::number(engine.backendAddress, "/test/counts", "orders") == 1;
        }));
    }
}
