#include <catch2/catch.hpp>

#include <harness/gatewayfleet.h>
#include <harness/localfleet.h>

#include <algorithm>
#include <map>
#include <string>
#include <thread>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using harness::GatewayFleet;
using harness::LocalFleet;

namespace {

constexpr auto changeBound = 2000ms; /* default of configuration_ms and leave_ms */

using WallTime = std::chrono::system_clock::time_point;

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

/** @brief Returns the longest time from the confirmation of a version to its use, or that of a later one, at any gateway; the highest number if one never used
 * it. @param confirmed Time of confirmation by version. */
std::chrono::milliseconds longestDelay(const GatewayFleet &fleet, const std::map<int, WallTime> &confirmed)
{
    auto longest = 0ms;
    for (const auto &gateway : fleet.gateways) {
        const auto uses = GatewayFleet::routingTimes(gateway);
        for (const auto &[version, confirmedAt] : confirmed) {
            const auto use = std::find_if(uses.begin(), uses.end(), [version = version](const auto &each) {
                return each.first >= version;
            });
            const auto delay
                = use == uses.end() ? std::chrono::milliseconds::max() : std::chrono::duration_cast<std::chrono::milliseconds>(use->second - confirmedAt);
            longest = std::max(longest, delay);
        }
    }
    return longest;
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

// Guards against a gateway that asks peers for their copies in vain, as they lag like itself, and may not ask one that has a later copy for a second each time.
TEST_CASE("a store that no longer answers most gateways: changes in quick succession are in force everywhere within two seconds", "[process][gateway][store]")
{
    const int zones = GENERATE(1, 4);
    CAPTURE(zones);
    GatewayFleet fleet(12, 1, zones);
    fleet.store.setMaxWatchTime(30s);
    for (std::size_t i = 0; i < 9; ++i) {
        fleet.useSecondStoreAddress(i);
    }
    std::this_thread::sleep_for(2500ms); /* every gateway watches both sections */
    fleet.store.setLosingSecondResponses(true);
    std::map<int, WallTime> confirmed;
    for (int version = 2; version < 22; ++version) {
        fleet.publishRouting(version);
        confirmed[version] = std::chrono::system_clock::now();
        std::this_thread::sleep_for(145ms);
    }
    std::this_thread::sleep_for(changeBound);
    CHECK(longestDelay(fleet, confirmed) < changeBound);
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
