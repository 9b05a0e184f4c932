#include <catch2/catch.hpp>

#include <harness/gatewayfleet.h>
#include <harness/localfleet.h>

#include <string>
#include <thread>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using harness::GatewayFleet;
using harness::LocalFleet;

namespace {

constexpr auto changeBound = 2000ms; /* default of configuration_ms and leave_ms */

/** @brief Returns whether every gateway accepts requests with an API key. */
bool isKeyAcceptedEverywhere(const GatewayFleet &fleet, const std::string &key)
{
    for (std::size_t i = 0; i < fleet.gateways.size(); ++i) {
        auto call = fleet.makeRequest("probe", "/again/x", i);
        call.headers[3].second = "Bearer " + key;
        if (sendRequest(call).status != 200) {
            return false;
        }
    }
    return true;
}

/** @brief Returns the number of requests that a backend server runs of 20 that are sent to one gateway. */
int countRuns(GatewayFleet &fleet, std::size_t server, std::size_t gateway, const std::string &idPrefix)
{
    const int before = fleet.backendServers[server]->totalRunCount();
    for (int i = 0; i < 20; ++i) {
        CHECK(sendRequest(fleet.makeRequest(idPrefix + std::to_string(i), "/once/x", gateway)).status == 200);
    }
    return fleet.backendServers[server]->totalRunCount() - before;
}

} // namespace

// Guards against a configuration that no gateway reads for the 22 s in which its own lost watch times out, as no peer has a later one either.
TEST_CASE("a store that answers no gateway for a while: a configuration is in force everywhere within two seconds of its return", "[process][gateway][store]")
{
    const int zones = GENERATE(1, 3);
    const auto silence = GENERATE(1500ms, 3000ms);
    CAPTURE(zones, silence.count());
    GatewayFleet fleet(3, 1, zones);
    std::this_thread::sleep_for(1500ms); /* every gateway watches both sections */
    fleet.store.setSilent(true);
    std::this_thread::sleep_for(silence);
    fleet.store.setSilent(false);
    fleet.publishRouting(2, "pool", {"key-1", "key-2"});
    CHECK(LocalFleet::waitUntil(
        [&fleet] {
            return isKeyAcceptedEverywhere(fleet, "key-2");
        },
        changeBound));
}

// Guards against a leaving server that no gateway notices while the calls that the store has lost time out.
TEST_CASE("a store that answers no gateway for a while: a server that leaves at its return gets nothing two seconds later", "[process][gateway][store]")
{
    const int zones = GENERATE(1, 3);
    GatewayFleet fleet(3, 2, zones);
    std::this_thread::sleep_for(1500ms);
    fleet.store.setSilent(true);
    std::this_thread::sleep_for(2000ms);
    fleet.store.setSilent(false);
    fleet.store.put("servers/i-0", fleet.backendServers[0]->listEntry("pool", "draining"));
    std::this_thread::sleep_for(changeBound);
    for (std::size_t i = 0; i < fleet.gateways.size(); ++i) {
        CHECK(countRuns(fleet, 0, i, "r" + std::to_string(i) + "-") == 0);
    }
}

// Guards against a server that a gateway goes on using, as the store turns this gateway away, although a peer that the store serves has seen it leave.
TEST_CASE("a store that turns one gateway away: a server that leaves meanwhile gets nothing from that gateway, then and after the store's return",
          "[process][gateway][store]")
{
    GatewayFleet fleet(2, 1, 2);
    fleet.turnAway(1);
    std::this_thread::sleep_for(1000ms);
    fleet.store.remove("servers/i-0");
    std::this_thread::sleep_for(changeBound);
    const auto call = fleet.makeRequest("r1", "/once/x", 1);
    CHECK(sendRequest(call).status == 503);
    fleet.store.setSecondStatus(200);
    std::this_thread::sleep_for(500ms);
    CHECK(sendRequest(call).status == 503);
    CHECK(fleet.backendServers[0]->totalRunCount() == 0);
}

// Guards the opposite: entries that expire while the store serves no gateway are no reason to stop using their servers.
TEST_CASE("a store that answers no gateway for a while: servers whose entries expired meanwhile stay in use until they are listed again",
          "[process][gateway][store]")
{
    GatewayFleet fleet(2, 1, 2);
    std::this_thread::sleep_for(1000ms);
    fleet.store.setSilent(true);
    std::this_thread::sleep_for(2500ms);
    fleet.store.remove("servers/i-0");
    fleet.store.setSilent(false);
    for (int i = 0; i < 15; ++i) {
        std::this_thread::sleep_for(100ms);
        CHECK(sendRequest(fleet.makeRequest("r" + std::to_string(i), "/once/x", static_cast<std::size_t>(i % 2))).status == 200);
    }
    fleet.store.put("servers/i-0", fleet.backendServers[0]->listEntry("pool"));
    std::this_thread::sleep_for(1500ms);
    CHECK(sendRequest(fleet.makeRequest("last-0", "/once/x", 0)).status == 200);
    CHECK(sendRequest(fleet.makeRequest("last-1", "/once/x", 1)).status == 200);
}
