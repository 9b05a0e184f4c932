#include <catch2/catch.hpp>

#include <harness/earlyanswer.h>
#include <harness/gatewayfleet.h>
#include <harness/localfleet.h>

#include <string>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using harness::EarlyAnswerServer;
using harness::GatewayFleet;
using harness::LocalFleet;

namespace {

constexpr std::size_t uploadBytes = 8UL * 1024 * 1024;

} // namespace

// Guards against a part of a body that reaches the caller as a complete response.
TEST_CASE("an early response without a length whose connection is reset during the upload never reaches the caller as complete",
          "[process][gateway][answerends]")
{
    const auto route = GENERATE(as<std::string>(), "once", "again", "stream", "resumed");
    const auto status = GENERATE(as<std::string>(), "200 OK", "500 Internal Server Error");
    EarlyAnswerServer server({status, "", "part", 60ms});
    GatewayFleet fleet(1, 0);
    fleet.maxBodyBytes = 2 * uploadBytes;
    fleet.publishRouting(2);
    const harness::FakeBackendServer entry("i-early");
    fleet.store.put("servers/i-early", entry.listEntry("pool", "ready", server.address()));
    REQUIRE(LocalFleet::waitUntil([&fleet] {
        return fleet.routingTimes(fleet.gateways[0]).size() == 2 && GatewayFleet::readLog(fleet.gateways[0]).find("i-early") != std::string::npos;
    }));
    auto call = fleet.makeRequest("r1", "/" + route + "/x");
    call.body.assign(uploadBytes, 'x');
    const auto response = sendRequest(call);
    INFO(route << ", " << status << ": status " << response.status << ", body " << response.body);
    CHECK((response.status == 502 || !response.isComplete));
}
