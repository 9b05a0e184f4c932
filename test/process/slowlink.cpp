#include <catch2/catch.hpp>

#include <harness/faultproxy.h>
#include <harness/gatewayfleet.h>
#include <harness/localfleet.h>

#include <string>
#include <thread>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using harness::FaultProxy;
using harness::GatewayFleet;
using harness::LocalFleet;

namespace {

constexpr std::uint64_t slowLinkBytesPerSecond = 10'000'000 / 8;
constexpr std::chrono::milliseconds configurationBound{3000};

/** @brief Gateways, the last of which reads the store over a link of 10 Mbit/s. */
class SlowLinkFleet
{
public:
    /** @brief Starts the gateways with a configuration of about 270 bytes a route. */
    SlowLinkFleet(int gateways, int routes)
        : fleet(gateways, 1)
        , link(fleet.store.address())
        , slow(fleet.gateways.size() - 1)
    {
        for (const auto &gateway : fleet.gateways) {
            const auto settings = GatewayFleet::readSettings(gateway);
            GatewayFleet::writeSettings(gateway, settings + "configuration_ms: " + std::to_string(configurationBound.count()) + "\n");
        }
        fleet.idleRouteCount = routes;
        publish(true);
        fleet.useStoreAddress(slow, link.address());
        REQUIRE(LocalFleet::waitUntil([this] {
            return !isSecondKeyRefused();
        }));
        link.setBandwidth(slowLinkBytesPerSecond);
    }

    /** @brief Writes the next version. @param hasSecondKey Whether the workspace has the key "key-2". */
    void publish(bool hasSecondKey)
    {
        fleet.publishRouting(++version, "pool", hasSecondKey ? std::vector<std::string>{"key-1", "key-2"} : std::vector<std::string>{"key-1"});
    }

    /** @brief Writes versions in quick succession. */
    void publishSeries(std::chrono::milliseconds gap, std::chrono::milliseconds time)
    {
        const auto begin = std::chrono::steady_clock::now();
        for (auto at = 0ms; at < time; at += gap) {
            std::this_thread::sleep_until(begin + at);
            publish(true);
        }
        std::this_thread::sleep_until(begin + time);
    }

    /** @brief Returns whether the gateway with the slow link refuses "key-2". */
    [[nodiscard]] bool isSecondKeyRefused()
    {
        auto call = fleet.makeRequest("probe-" + std::to_string(++probes), "/again/x", slow);
        call.headers[3].second = "Bearer key-2";
        return sendRequest(call).status == 401;
    }

    GatewayFleet fleet;
    FaultProxy link;
    const std::size_t slow; /* index of the gateway */
    int version = 1;
    int probes = 0;
};

} // namespace

// Guards against versions that a gateway with a slow link applies later and later, as it reads each of them in full.
TEST_CASE("slow link: the last of many large configurations and an evacuation beside them are in force within the bound", "[process][gateway][slowlink]")
{
    constexpr int routes = 1900;
    const auto gap = GENERATE(240ms, 80ms);
    const auto time = gap * 17;
    const int gateways = GENERATE(1, 2);
    SlowLinkFleet slow(gateways, routes);
    slow.publishSeries(gap, time);
    slow.fleet.store.put("op/evacuate/az-x", "{}");
    slow.publish(false);
    CHECK(LocalFleet::waitUntil(
        [&slow] {
            return slow.isSecondKeyRefused();
        },
        configurationBound));
    CHECK(GatewayFleet::readLog(slow.fleet.gateways.back()).find("\"zone\":\"az-x\",\"leaving\":true") != std::string::npos);
}

// Guards against a slow read that is taken for a lost call and begun again.
TEST_CASE("slow link: one large configuration is read once", "[process][gateway][slowlink]")
{
    constexpr int routes = 3700;
    SlowLinkFleet slow(1, routes);
    slow.publish(false);
    CHECK(LocalFleet::waitUntil(
        [&slow] {
            return slow.isSecondKeyRefused();
        },
        configurationBound));
    const auto log = GatewayFleet::readLog(slow.fleet.gateways.back());
    CHECK(log.find("\"event\":\"store_lost\"") == std::string::npos);
    CHECK(log.find("\"event\":\"store_call_replaced\"") == std::string::npos);
}
