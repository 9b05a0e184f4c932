#include <catch2/catch.hpp>

#include <harness/localfleet.h>

#include <cyclamenspool/core/errorkind.h>
#include <cyclamenspool/core/uuid.h>
#include <cyclamenspool/wire/generated/messages.pb.h>
#include <cyclamenspool/wire/peerconnectionpool.h>

#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>

#include <atomic>
#include <csignal>
#include <future>
#include <map>
#include <string>
#include <thread>

using namespace cyclamenspool;
using harness::HttpResponse;
using harness::LocalFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::string errorKind(const HttpResponse &response)
{
    if (response.body.empty()) {
        return "";
    }
    const auto body = boost::json::parse(response.body).as_object();
    return body.contains("error") ? std::string(body.at("error").as_object().at("kind").as_string()) : "";
}

std::string freshKey()
{
    static core::RandomSource random(std::random_device{}());
    return core::makeUuid7(std::chrono::system_clock::now(), random);
}

long runsOf(const LocalFleet &fleet, const std::string &key)
{
    long runs = 0;
    for (const auto &service : fleet.services) {
        const auto counts = boost::json::parse(LocalFleet::callTestControl(service.backendAddress, "/test/counts")).as_object();
        const auto *count = counts.at("runs").as_object().if_contains(key);
        runs += count == nullptr ? 0 : count->to_number<long>();
    }
    return runs;
}

bool isHeld(const std::string &address)
{
    return LocalFleet::jsonNumber(address, "/test/counts", "held") == 1;
}

/** @brief Returns the shape of a fleet with one plain service; the short clock bound and view lease make new idempotency keys usable soon after the start.
 * The tests wait 100 ms, twice the clock bound, before they create a key. */
harness::FleetShape bookingShape()
{
    harness::FleetShape shape;
    shape.enginesPerZone = 1;
    shape.settings = {{"clock_bound_ms", "50"}, {"view_lease_ms", "1000"}};
    return shape;
}

} // namespace

TEST_CASE("a booking runs once although its agent is killed while the request is open", "[process]")
{
    LocalFleet fleet(bookingShape());
    auto &service = fleet.services[0];
    std::this_thread::sleep_for(milliseconds(100));
    const std::string step = GENERATE("before_run", "after_run");
    LocalFleet::callTestControl(service.backendAddress, "/test/hold?step=" + step);
    const auto key = freshKey();
    auto firstResponse = std::async(std::launch::async, [&] {
        return sendRequest(fleet.makeBookingRequest(0, key, "{}"));
    });
    REQUIRE(LocalFleet::waitUntil([&] {
        return isHeld(service.backendAddress);
    }));
    service.agentProcess.kill();
    const auto response = firstResponse.get();
    CHECK(errorKind(response) == "outcome_unknown");
    LocalFleet::callTestControl(service.backendAddress, "/test/release");
    fleet.startAgent(service);
    REQUIRE(LocalFleet::waitUntilReady(service.httpAddress));
    std::this_thread::sleep_for(milliseconds(500));
    const auto retryResponse = sendRequest(fleet.makeBookingRequest(1, key, "{}"));
    CHECK(errorKind(retryResponse) == "may_have_run");
    CHECK(runsOf(fleet, key) == 1);
    const auto secondKey = freshKey();
    CHECK(sendRequest(fleet.makeBookingRequest(1, secondKey, "{}")).status == 200);
    CHECK(sendRequest(fleet.makeBookingRequest(0, secondKey, "{}")).status == 200);
    CHECK(runsOf(fleet, secondKey) == 1);
}

TEST_CASE("a booking runs once although its router is killed and the caller retries at another router", "[process]")
{
    LocalFleet fleet(bookingShape());
    auto &service = fleet.services[0];
    std::this_thread::sleep_for(milliseconds(100));
    LocalFleet::callTestControl(service.backendAddress, "/test/hold?step=before_run");
    const auto key = freshKey();
    auto firstResponse = std::async(std::launch::async, [&] {
        return sendRequest(fleet.makeBookingRequest(0, key, "{}"));
    });
    REQUIRE(LocalFleet::waitUntil([&] {
        return isHeld(service.backendAddress);
    }));
    fleet.routers[0].process.kill();
    CHECK_FALSE(firstResponse.get().isComplete);
    CHECK(errorKind(harness::sendRequest(fleet.makeBookingRequest(1, key, "{}"))) == "may_have_run");
    LocalFleet::callTestControl(service.backendAddress, "/test/release");
    REQUIRE(LocalFleet::waitUntil([&] {
        return sendRequest(fleet.makeBookingRequest(1, key, "{}")).status == 200;
    }));
    CHECK(runsOf(fleet, key) == 1);
    CHECK(errorKind(harness::sendRequest(fleet.makeBookingRequest(1, key, "{\"other\":1}"))) == "key_conflict");
}

TEST_CASE("a booking for a service that is down is refused as not run, and a retry after its restart runs once", "[process]")
{
    LocalFleet fleet(bookingShape());
    auto &service = fleet.services[0];
    std::this_thread::sleep_for(milliseconds(100));
    service.backendProcess.kill();
    const auto key = freshKey();
    const auto response = sendRequest(fleet.makeBookingRequest(0, key, "{}"));
    CHECK(response.status == 503);
    CHECK(response.body.find("\"not_run\":true") != std::string::npos);
    CHECK_FALSE(response.header("retry-after").empty());
    fleet.startBackend(service);
    REQUIRE(LocalFleet::waitUntil([&] {
        return sendRequest(fleet.makeBookingRequest(0, key, "{}")).status == 200;
    }));
    CHECK(runsOf(fleet, key) == 1);
}

TEST_CASE("an agent that was suspended runs no request on its outdated view", "[process]")
{
    LocalFleet fleet(bookingShape());
    auto &service = fleet.services[0];
    std::this_thread::sleep_for(milliseconds(100));
    service.agentProcess.signal(SIGSTOP);
    const auto key = freshKey();
    const auto response = sendRequest(fleet.makeBookingRequest(0, key, "{}"));
    CHECK(errorKind(response) == "outcome_unknown");
    service.agentProcess.signal(SIGCONT);
    std::this_thread::sleep_for(seconds(1));
    CHECK(runsOf(fleet, key) == 0);
    CHECK(LocalFleet::waitUntil([&] {
        const auto currentKey = freshKey();
        return sendRequest(fleet.makeBookingRequest(0, currentKey, "{}")).status == 200 && runsOf(fleet, currentKey) == 1;
    }));
    CHECK(runsOf(fleet, key) == 0); /* nor once the agent serves again */
}

TEST_CASE("no request is cut by the graceful shutdown of an agent or a router", "[process]")
{
    harness::FleetShape shape;
    shape.serviceCount = 0;
    LocalFleet fleet(shape);
    const bool isRouterStopped = GENERATE(false, true);
    std::atomic<bool> stopCallers{false};
    std::atomic<int> completed{0};
    std::atomic<int> failed{0};
    std::vector<std::thread> callerThreads;
    for (int caller = 0; caller < 6; ++caller) {
        callerThreads.emplace_back([&, caller] {
            for (int i = 0; !stopCallers; ++i) {
                const auto chat = std::to_string(caller) + "-" + std::to_string(i % 5);
                const auto response = sendRequest(fleet.makeChatRequest(1, chat, "hello", 30, true));
                const bool isComplete = response.isComplete && response.body.find("[DONE]") != std::string::npos;
                (isComplete ? completed : failed)++;
            }
        });
    }
    std::this_thread::sleep_for(seconds(1));
    int exitCode = -1;
    if (isRouterStopped) {
        LocalFleet::callTestControl(fleet.engines[0].backendAddress, "/test/hold?step=mid_stream");
        auto heldResponse = std::async(std::launch::async, [&] {
            return sendRequest(fleet.makeChatRequest(0, "held", "hello", 5, true));
        });
        std::this_thread::sleep_for(milliseconds(300));
        fleet.routers[0].process.signal(SIGTERM);
        std::this_thread::sleep_for(milliseconds(300));
        CHECK(harness::sendRequest({fleet.routers[0].httpAddress, "GET", "/readyz"}).status == 503);
        LocalFleet::callTestControl(fleet.engines[0].backendAddress, "/test/release");
        CHECK(heldResponse.get().isComplete);
        exitCode = fleet.routers[0].process.wait(seconds(10));
    } else {
        fleet.engines[0].agentProcess.signal(SIGTERM);
        exitCode = fleet.engines[0].agentProcess.wait(seconds(10));
    }
    std::this_thread::sleep_for(milliseconds(500));
    stopCallers = true;
    for (auto &caller : callerThreads) {
        caller.join();
    }
    CHECK(exitCode == 0);
    CHECK(failed == 0);
    CHECK(completed > 20);
}

TEST_CASE("a second SIGTERM stops a router although a request is open", "[process]")
{
    harness::FleetShape shape;
    shape.serviceCount = 0;
    shape.enginesPerZone = 1;
    LocalFleet fleet(shape);
    LocalFleet::callTestControl(fleet.engines[0].backendAddress, "/test/hold?step=accepted");
    LocalFleet::callTestControl(fleet.engines[1].backendAddress, "/test/hold?step=accepted");
    auto heldResponse = std::async(std::launch::async, [&] {
        return sendRequest(fleet.makeChatRequest(0, "c", "hello", 5));
    });
    std::this_thread::sleep_for(milliseconds(300));
    auto &router = fleet.routers[0].process;
    router.signal(SIGTERM);
    std::this_thread::sleep_for(milliseconds(800));
    CHECK(router.wait(milliseconds(10)) == -1);
    router.signal(SIGTERM);
    CHECK(router.wait(seconds(1)) == 1);
    CHECK_FALSE(heldResponse.get().isComplete);
}

TEST_CASE("an availability zone is evacuated within three seconds and used again afterwards, without an error for callers", "[process]")
{
    harness::FleetShape shape;
    shape.serviceCount = 0;
    LocalFleet fleet(shape);
    std::atomic<bool> stopCallers{false};
    std::atomic<int> completed{0};
    std::atomic<int> failed{0};
    std::vector<std::thread> callerThreads;
    for (int caller = 0; caller < 6; ++caller) {
        callerThreads.emplace_back([&, caller] {
            for (int i = 0; !stopCallers; ++i) {
                const auto chat = std::to_string(caller) + "-" + std::to_string(i % 7);
                const auto response = sendRequest(fleet.makeChatRequest(static_cast<std::size_t>(caller % 2), chat, "hello", 20));
                (response.status == 200 && response.isComplete ? completed : failed)++;
            }
        });
    }
    const auto startedIn = [&fleet](const std::string &zone) {
        long started = 0;
        for (const auto &engine : fleet.engines) {
            started += engine.zone == zone ? LocalFleet::jsonNumber(engine.backendAddress, "/test/counts", "started") : 0;
        }
        return started;
    };
    std::this_thread::sleep_for(seconds(1));
    fleet.publishTable("  - {name: az-b, kind: zone}\n");
    std::this_thread::sleep_for(seconds(3));
    const auto startedAfterEvacuation = startedIn("az-b");
    std::this_thread::sleep_for(seconds(1));
    CHECK(startedIn("az-b") == startedAfterEvacuation);
    fleet.publishTable();
    CHECK(LocalFleet::waitUntil([&] {
        return startedIn("az-b") > startedAfterEvacuation + 3;
    }));
    stopCallers = true;
    for (auto &caller : callerThreads) {
        caller.join();
    }
    CHECK(failed == 0);
    CHECK(completed > 20);
}

TEST_CASE("an agent answers a message that it cannot read at once, and a malformed submission as not run", "[process]")
{
    harness::FleetShape shape;
    shape.routerCount = 1;
    shape.zones = {"az-a"};
    shape.enginesPerZone = 1;
    LocalFleet fleet(shape);
    boost::asio::io_context context;
    wire::PeerConnectionPool pool(context, {});
    std::map<std::string, std::string> replies;
    int ended = 0;
    for (const std::string path : {"/submit", "/exchange", "/handover", "/placed", "/unknown"}) {
        wire::StreamCallbacks callbacks;
        callbacks.onMessage = [&replies, path](const std::string &message) {
            replies[path] = message;
        };
        callbacks.onEnd = [&ended](const wire::StreamEnd &) {
            ++ended;
        };
        pool.submit(fleet.services[0].peerAddress, path, "\xff\xff\xff", std::move(callbacks));
    }
    context.run_for(seconds(1));
    CHECK(ended == 5);
    wire::Reply reply;
    REQUIRE(reply.ParseFromString(replies["/submit"]));
    REQUIRE(reply.has_failed());
    CHECK(core::ruleOf(static_cast<core::ErrorKind>(reply.failed().kind())).runState == core::RunState::NotRun);
}
