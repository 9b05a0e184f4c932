#include <catch2/catch.hpp>

#include <harness/gatewayfleet.h>
#include <harness/localfleet.h>

#include <future>
#include <string>
#include <thread>
#include <vector>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using harness::GatewayFleet;
using harness::HttpResponse;
using harness::LocalFleet;

namespace {

constexpr int memoryMb = 120;
constexpr std::size_t largeBodyBytes = 4'100'000;

double metricOf(const GatewayFleet &fleet, const std::string &name)
{
    harness::HttpRequest call;
    call.address = fleet.gateways[0].metricsAddress;
    call.target = "/metrics";
    const auto metrics = sendRequest(call).body;
    const auto place = metrics.find(name + " ");
    return place == std::string::npos ? -1 : std::stod(metrics.substr(place + name.size() + 1));
}

} // namespace

// Guards against a process that is killed for its memory with all requests in it, as it reads every body that arrives.
TEST_CASE("many large bodies at once: a gateway keeps within its memory, and refuses at once what it has no room for", "[process][gateway][bodies]")
{
    constexpr int callers = 40;
    GatewayFleet fleet(1, 2);
    auto &gateway = fleet.gateways[0];
    fleet.maxBodyBytes = 2 * largeBodyBytes;
    fleet.publishRouting(2);
    GatewayFleet::writeSettings(gateway, GatewayFleet::readSettings(gateway) + "memory_mb: " + std::to_string(memoryMb) + "\n");
    fleet.useStoreAddress(0, fleet.store.address());
    for (auto &server : fleet.backendServers) {
        server->setHandler([](const harness::PlainRequest &request, harness::PlainSocket &socket) {
            std::this_thread::sleep_for(600ms);
            return harness::writeAll(socket, harness::formatResponseWithDigest(request, "ok"));
        });
    }
    std::vector<std::future<HttpResponse>> responses;
    for (int i = 0; i < callers; ++i) {
        auto call = fleet.makeRequest("large-" + std::to_string(i), i % 2 == 0 ? "/once/x" : "/stream/x");
        call.body.assign(largeBodyBytes, 'x');
        responses.push_back(std::async(std::launch::async, [call] {
            return sendRequest(call);
        }));
    }
    std::this_thread::sleep_for(300ms);
    CHECK(sendRequest(fleet.makeRequest("small", "/again/x")).status == 200);
    int served = 0;
    int refused = 0;
    for (auto &each : responses) {
        const auto response = each.get();
        INFO("status " << response.status);
        CHECK((response.status == 200 || response.status == 503));
        served += response.status == 200 ? 1 : 0;
        refused += response.status == 503 ? 1 : 0;
        CHECK((response.status != 503 || !response.header("retry-after").empty()));
    }
    CHECK(served >= 10);
    CHECK(refused > 0);
    CHECK(metricOf(fleet, "cyclamenspool_peak_memory_bytes") < memoryMb * 1e6);
    CHECK(metricOf(fleet, "cyclamenspool_request_body_bytes") == 0);
}
