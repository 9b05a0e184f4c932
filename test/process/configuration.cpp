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

constexpr seconds propagationLimit{6};

std::vector<std::string> processAddresses(const LocalFleet &fleet)
{
    std::vector<std::string> addresses;
    for (const auto &router : fleet.routers) {
        addresses.push_back(router.httpAddress);
    }
    for (const auto &engine : fleet.engines) {
        addresses.push_back(engine.httpAddress);
    }
    return addresses;
}

bool allHaveRevision(const std::vector<std::string> &processes, long revision)
{
    for (const auto &address : processes) {
        if (LocalFleet::jsonNumber(address, "/status", "revision") != revision) {
            return false;
        }
    }
    return true;
}

harness::FleetShape fleetShape()
{
    harness::FleetShape shape;
    shape.serviceCount = 0;
    shape.enginesPerZone = 3;
    shape.settings = {{"view_lease_ms", "1000"}};
    return shape;
}

} // namespace

TEST_CASE("a published table is in force in every process within six seconds", "[process]")
{
    LocalFleet fleet(fleetShape());
    const auto processes = processAddresses(fleet);
    for (long revision = 2; revision <= 5; ++revision) {
        fleet.publishTable();
        CHECK(LocalFleet::waitUntil(
            [&] {
                return allHaveRevision(processes, revision);
            },
            propagationLimit));
    }
    const auto calls = LocalFleet::jsonNumber(fleet.configurationServiceAddress, "/test/counts", "calls");
    CHECK(calls < 200);
}

TEST_CASE("every process rejects an invalid table and applies the next valid one", "[process]")
{
    LocalFleet fleet(fleetShape());
    const auto processes = processAddresses(fleet);
    fleet.publish("table", "workspaces:\n  - {name: desk, weight: -1}\n");
    std::this_thread::sleep_for(seconds(2));
    CHECK(allHaveRevision(processes, 1));
    CHECK(sendRequest(fleet.makeChatRequest(0, "c", "hello", 2)).status == 200);
    fleet.publishTable();
    CHECK(LocalFleet::waitUntil(
        [&] {
            return allHaveRevision(processes, 3);
        },
        propagationLimit));
}

TEST_CASE("a restarted router gets the newest revision while the configuration service is stale or down", "[process]")
{
    LocalFleet fleet(fleetShape());
    const auto processes = processAddresses(fleet);
    fleet.publishTable();
    REQUIRE(LocalFleet::waitUntil(
        [&] {
            return allHaveRevision(processes, 2);
        },
        propagationLimit));
    const std::string mode = GENERATE("stale", "down");
    fleet.setPlatformMode(mode);
    fleet.routers[1].process.kill();
    fleet.startRouter(fleet.routers[1]);
    REQUIRE(LocalFleet::waitUntilReady(fleet.routers[1].httpAddress));
    CHECK(LocalFleet::waitUntil(
        [&] {
            return allHaveRevision(processes, 2);
        },
        propagationLimit));
    std::this_thread::sleep_for(seconds(2));
    CHECK(allHaveRevision(processes, 2));
}

TEST_CASE("most restarted processes get their documents from peers without calling the platform services", "[process]")
{
    LocalFleet fleet(fleetShape());
    fleet.routers[1].process.kill();
    fleet.startRouter(fleet.routers[1]);
    for (auto &engine : fleet.engines) {
        engine.agentProcess.kill();
        fleet.startAgent(engine);
    }
    int withoutServiceCalls = 0;
    for (const auto &address : processAddresses(fleet)) {
        REQUIRE(LocalFleet::waitUntilReady(address));
        withoutServiceCalls += LocalFleet::metric(address, "cyclamenspool_service_calls_total") == 0 ? 1 : 0;
    }
    constexpr int restartedProcesses = 7;
    constexpr int watchers = 4; /* processes that watch the platform services, in both zones together; the others ask peers only */
    CHECK(withoutServiceCalls >= restartedProcesses - watchers);
}

TEST_CASE("requests succeed while the platform services are down, and a change is in force after they return", "[process]")
{
    LocalFleet fleet(fleetShape());
    const auto processes = processAddresses(fleet);
    fleet.setPlatformMode("down");
    const auto before = LocalFleet::jsonNumber(fleet.configurationServiceAddress, "/test/counts", "calls");
    std::this_thread::sleep_for(seconds(4));
    const auto calls = LocalFleet::jsonNumber(fleet.configurationServiceAddress, "/test/counts", "calls") - before;
    CHECK(calls <= static_cast<long>(processes.size()) * 2 * 4);
    CHECK(sendRequest(fleet.makeChatRequest(0, "c", "hello", 2)).status == 200);
    fleet.publishTable();
    fleet.setPlatformMode("up");
    CHECK(LocalFleet::waitUntil(
        [&] {
            return allHaveRevision(processes, 2);
        },
        propagationLimit));
}

TEST_CASE("a router that was suspended refreshes its view before it sends requests to an evacuated zone", "[process]")
{
    LocalFleet fleet(fleetShape());
    const auto processes = processAddresses(fleet);
    const auto &router = fleet.routers[0];
    router.process.signal(SIGSTOP);
    fleet.publishTable("  - {name: az-a, kind: zone}\n");
    std::this_thread::sleep_for(seconds(3));
    long before = 0;
    for (const auto &engine : fleet.engines) {
        before += engine.zone == "az-a" ? LocalFleet::jsonNumber(engine.backendAddress, "/test/counts", "started") : 0;
    }
    router.process.signal(SIGCONT);
    for (int i = 0; i < 20; ++i) {
        CHECK(sendRequest(fleet.makeChatRequest(0, "c" + std::to_string(i), "hello", 2)).status == 200);
    }
    long after = 0;
    for (const auto &engine : fleet.engines) {
        after += engine.zone == "az-a" ? LocalFleet::jsonNumber(engine.backendAddress, "/test/counts", "started") : 0;
    }
    CHECK(after == before);
    CHECK(LocalFleet::waitUntil(
        [&] {
            return allHaveRevision(processes, 2);
        },
        propagationLimit));
}

TEST_CASE("an engine without its model gets one order to load it", "[process]")
{
    auto unloadedShape = fleetShape();
    unloadedShape.enginesPerZone = 1;
    unloadedShape.isModelLoaded = false;
    LocalFleet fleet(unloadedShape);
    CHECK(LocalFleet::waitUntil(
        [&] {
            return sendRequest(fleet.makeChatRequest(0, "c", "hello", 2)).status == 200;
        },
        seconds(15)));
    for (const auto &engine : fleet.engines) {
        CHECK(LocalFleet::waitUntil([&] {
            return LocalFleet::jsonNumber(engine.backendAddress, "/test/counts", "orders") == 1;
        }));
    }
}
