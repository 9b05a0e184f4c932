#include <catch2/catch.hpp>

#include <harness/eventstream.h>
#include <harness/gatewayfleet.h>
#include <harness/localfleet.h>

#include <array>
#include <atomic>
#include <mutex>
#include <thread>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using harness::GatewayFleet;
using harness::LocalFleet;
using harness::PlainRequest;
using harness::PlainSocket;

namespace {

const std::string poisonPart = "badc0de";
const std::string sharedPart = "5a5a";
const std::string poisonBody = R"({"crash":true})";

constexpr int servers = 8;
constexpr auto downTime = 1500ms; /* of a server that has ended */

/** @brief Gateways of three zones in front of servers that end their connections when they begin to answer a prompt with one part, or a
 * request with one body. */
class PoisonedFleet
{
public:
    explicit PoisonedFleet(int gateways)
        : fleet(gateways, servers, 3)
    {
        for (std::size_t index = 0; index < fleet.backendServers.size(); ++index) {
            fleet.backendServers[index]->setHandler([this, index](const PlainRequest &request, PlainSocket &socket) {
                if (std::chrono::steady_clock::now() < downUntil[index].load()) {
                    return false;
                }
                if (request.body() == poisonBody) {
                    ++crashes;
                    downUntil[index] = std::chrono::steady_clock::now() + downTime;
                    return false;
                }
                if (request.target() == "/again/x") {
                    return harness::writeAll(socket, harness::formatResponseWithDigest(request, "hello"));
                }
                const std::string parts(request["Cyclamenspool-Prompt-Prefix"]);
                if (parts.find(poisonPart) == std::string::npos) {
                    return harness::writeAll(socket, harness::responseHeadFor(request) + harness::chunk(harness::serverSentEvent(1)) + "0\r\n\r\n");
                }
                ++crashes;
                downUntil[index] = std::chrono::steady_clock::now() + downTime;
                harness::writeAll(socket, harness::responseHeadFor(request));
                return false;
            });
        }
    }

    harness::HttpResponse call(const std::string &parts, std::size_t gateway)
    {
        auto request = fleet.makeRequest("r" + std::to_string(++number), "/resumed/x", gateway);
        request.headers.emplace_back("Cyclamenspool-Prompt-Prefix", parts + ",e" + std::to_string(number) + ":10");
        return sendRequest(request);
    }

    harness::HttpResponse callPoison(std::size_t gateway)
    {
        return call(sharedPart + ":100," + poisonPart + ":50", gateway);
    }

    harness::HttpResponse callSound(std::size_t gateway)
    {
        return call(sharedPart + ":100,ab" + std::to_string(number % 5) + ":50", gateway);
    }

    /** @brief Sends a request without a prompt; the servers end under one body. */
    harness::HttpResponse callPlain(const std::string &body, std::size_t gateway)
    {
        auto request = fleet.makeRequest("r" + std::to_string(++number), "/again/x", gateway);
        request.body = body;
        return sendRequest(request);
    }

    GatewayFleet fleet;
    std::atomic<int> crashes{0};
    std::array<std::atomic<std::chrono::steady_clock::time_point>, servers> downUntil{};
    int number = 0;
};

constexpr int crashesUntilBound = 5; /* backend servers that one part may end before the bound on further requests counts */
constexpr int crashesUntilRequestBound = 3; /* the same for one request that comes again */
constexpr int maxLaterRequests = 3; /* with that part, over all gateways */
constexpr auto agreementTime = 3000ms; /* after the fifth crash, for the gateways to agree */

} // namespace

// Guards against a prompt part that ends one backend server after the other, at all gateways.
TEST_CASE("a prompt part under which five backend servers ended is sent to no more than three others", "[process][gateway][quarantine]")
{
    PoisonedFleet poisoned(6);
    for (std::size_t i = 0; poisoned.crashes < crashesUntilBound && i < 60; ++i) {
        static_cast<void>(poisoned.callSound(i % 6));
        static_cast<void>(poisoned.callPoison(i % 6));
        std::this_thread::sleep_for(50ms);
    }
    std::this_thread::sleep_for(agreementTime);
    const int before = poisoned.crashes;
    for (std::size_t i = 0; i < 30; ++i) {
        const auto refused = poisoned.callPoison(i % 6);
        CHECK(refused.status >= 500);
        CHECK(poisoned.callSound(i % 6).status == 200);
    }
    CHECK(poisoned.crashes - before <= maxLaterRequests);
}

// Guards against a gateway that starts after the verdict, knows nothing of it and sends the part to further backend servers.
TEST_CASE("a restarted gateway sends a part that ends backend servers to no more than three of them", "[process][gateway][quarantine]")
{
    PoisonedFleet poisoned(6);
    for (std::size_t i = 0; poisoned.crashes < crashesUntilBound && i < 60; ++i) {
        static_cast<void>(poisoned.callPoison(i % 6));
        std::this_thread::sleep_for(50ms);
    }
    std::this_thread::sleep_for(agreementTime);
    auto &gateway = poisoned.fleet.gateways[0];
    gateway.process.kill();
    poisoned.fleet.start(gateway);
    REQUIRE(LocalFleet::waitUntil([&gateway] {
        return GatewayFleet::isReady(gateway);
    }));
    const int before = poisoned.crashes;
    for (std::size_t i = 0; i < 20; ++i) {
        static_cast<void>(poisoned.callPoison(0));
        std::this_thread::sleep_for(50ms);
    }
    CHECK(poisoned.crashes - before <= maxLaterRequests);
}

// Guards against a request without a prompt that ends one backend server after the other each time it comes again, at all gateways.
TEST_CASE("a request under which three backend servers ended is sent to no more than three others", "[process][gateway][quarantine]")
{
    PoisonedFleet poisoned(6);
    for (std::size_t i = 0; poisoned.crashes < crashesUntilRequestBound && i < 60; ++i) {
        static_cast<void>(poisoned.callPlain(poisonBody, i % 6));
        std::this_thread::sleep_for(50ms);
    }
    std::this_thread::sleep_for(agreementTime);
    const int before = poisoned.crashes;
    for (std::size_t i = 0; i < 30; ++i) {
        const auto refused = poisoned.callPlain(poisonBody, i % 6);
        CHECK(refused.status == 503);
        CHECK(poisoned.callPlain("{}", i % 6).status == 200);
    }
    CHECK(poisoned.crashes - before <= maxLaterRequests);
}
