#include <catch2/catch.hpp>

#include <harness/localfleet.h>

#include <cyclamenspool/core/uuid.h>

#include <boost/json/parse.hpp>

#include <atomic>
#include <csignal>
#include <future>
#include <thread>

using namespace cyclamenspool;
using harness::Answer;
using harness::LocalFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::string errorKind(const Answer &answer)
{
    if (answer.body.empty()) {
        return "";
    }
    const auto body = boost::json::parse(answer.body).as_object();
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
        const auto counts = boost::json::parse(LocalFleet::control(service.backendAddress, "/test/counts")).as_object();
        const auto *count = counts.at("runs").as_object().if_contains(key);
        runs += count == nullptr ? 0 : count->to_number<long>();
    }
    return runs;
}

bool isHeld(const std::string &address)
{
    return LocalFleet::number(address, "/test/counts", "held") == 1;
}

/** @brief Fleet with one plain service whose keys are open. */
harness::FleetShape bookingShape()
{
    harness::FleetShape shape;
    shape.enginesPerZone = 1;
    shape.settings = {{"clock_bound_ms", "50"}, {"view_lease_ms", "1000"}};
    return shape;
}

} // namespace

TEST_CASE("a booking runs once though its agent is killed", "[process]")
{
    LocalFleet fleet(bookingShape());
    auto &service = fleet.services[0];
    std::this_thread::sleep_for(milliseconds(100));
    const std::string step = GENERATE("before_run", "after_run");
    LocalFleet::control(service.backendAddress, "/test/hold?step=" + step);
    const auto key = freshKey();
    auto first = std::async(std::launch::async, [&] {
        return run(fleet.booking(0, key, "{}"));
    });
    REQUIRE(LocalFleet::await([&] {
        return isHeld(service.backendAddress);
    }));
    service.agent.kill();
    const auto answer = first.get();
    CHECK(errorKind(answer) == "outcome_unknown");
    LocalFleet::control(service.backendAddress, "/test/release");
    fleet.startAgent(service);
    REQUIRE(LocalFleet::awaitReady(service.httpAddress));
    std::this_thread::sleep_for(milliseconds(500));
    const auto again = run(fleet.booking(1, key, "{}"));
    CHECK(errorKind(again) == "may_have_run");
    CHECK(runsOf(fleet, key) == 1);
    const auto next = freshKey();
    CHECK(run(fleet.booking(1, next, "{}")).status == 200);
    CHECK(run(fleet.booking(0, next, "{}")).status == 200);
    CHECK(runsOf(fleet, next) == 1);
}

TEST_CASE("a booking runs once though its router is killed and the caller asks another", "[process]")
{
    LocalFleet fleet(bookingShape());
    auto &service = fleet.services[0];
    std::this_thread::sleep_for(milliseconds(100));
    LocalFleet::control(service.backendAddress, "/test/hold?step=before_run");
    const auto key = freshKey();
    auto first = std::async(std::launch::async, [&] {
        return run(fleet.booking(0, key, "{}"));
    });
    REQUIRE(LocalFleet::await([&] {
        return isHeld(service.backendAddress);
    }));
    fleet.routers[0].router.kill();
    CHECK_FALSE(first.get().whole);
    CHECK(errorKind(harness::run(fleet.booking(1, key, "{}"))) == "may_have_run");
    LocalFleet::control(service.backendAddress, "/test/release");
    REQUIRE(LocalFleet::await([&] {
        return run(fleet.booking(1, key, "{}")).status == 200;
    }));
    CHECK(runsOf(fleet, key) == 1);
    CHECK(errorKind(harness::run(fleet.booking(1, key, "{\"other\":1}"))) == "key_conflict");
}

TEST_CASE("a service that is down gets no booking and the refusal is true", "[process]")
{
    LocalFleet fleet(bookingShape());
    auto &service = fleet.services[0];
    std::this_thread::sleep_for(milliseconds(100));
    service.backend.kill();
    const auto key = freshKey();
    const auto answer = run(fleet.booking(0, key, "{}"));
    CHECK(answer.status == 503);
    CHECK(answer.body.find("\"not_run\":true") != std::string::npos);
    CHECK_FALSE(answer.header("retry-after").empty());
    fleet.startBackend(service);
    REQUIRE(LocalFleet::await([&] {
        return run(fleet.booking(0, key, "{}")).status == 200;
    }));
    CHECK(runsOf(fleet, key) == 1);
}

TEST_CASE("an agent that was frozen runs nothing on its old view", "[process]")
{
    LocalFleet fleet(bookingShape());
    auto &service = fleet.services[0];
    std::this_thread::sleep_for(milliseconds(100));
    service.agent.signal(SIGSTOP);
    const auto key = freshKey();
    const auto answer = run(fleet.booking(0, key, "{}"));
    CHECK(errorKind(answer) == "outcome_unknown");
    service.agent.signal(SIGCONT);
    std::this_thread::sleep_for(seconds(1));
    CHECK(runsOf(fleet, key) == 0);
    const auto later = freshKey();
    CHECK(LocalFleet::await([&] {
        const auto fresh = freshKey();
        return run(fleet.booking(0, fresh, "{}")).status == 200 && runsOf(fleet, fresh) == 1;
    }));
    CHECK(runsOf(fleet, later) == 0);
}

TEST_CASE("a planned stop of an agent or a router cuts no request", "[process]")
{
    harness::FleetShape shape;
    shape.services = 0;
    LocalFleet fleet(shape);
    const bool stopsRouter = GENERATE(false, true);
    std::atomic<bool> stop{false};
    std::atomic<int> whole{0};
    std::atomic<int> bad{0};
    std::vector<std::thread> callers;
    for (int caller = 0; caller < 6; ++caller) {
        callers.emplace_back([&, caller] {
            for (int i = 0; !stop; ++i) {
                const auto chat = std::to_string(caller) + "-" + std::to_string(i % 5);
                const auto answer = run(fleet.chat(1, chat, "hello", 30, true));
                const bool fine = answer.whole && answer.body.find("[DONE]") != std::string::npos;
                (fine ? whole : bad)++;
            }
        });
    }
    std::this_thread::sleep_for(seconds(1));
    int code = -1;
    if (stopsRouter) {
        LocalFleet::control(fleet.engines[0].backendAddress, "/test/hold?step=mid_stream");
        auto held = std::async(std::launch::async, [&] {
            return run(fleet.chat(0, "held", "hello", 5, true));
        });
        std::this_thread::sleep_for(milliseconds(300));
        fleet.routers[0].router.signal(SIGTERM);
        std::this_thread::sleep_for(milliseconds(300));
        CHECK(harness::run({fleet.routers[0].httpAddress, "GET", "/readyz"}).status == 503);
        LocalFleet::control(fleet.engines[0].backendAddress, "/test/release");
        CHECK(held.get().whole);
        code = fleet.routers[0].router.wait(seconds(10));
    } else {
        fleet.engines[0].agent.signal(SIGTERM);
        code = fleet.engines[0].agent.wait(seconds(10));
    }
    std::this_thread::sleep_for(milliseconds(500));
    stop = true;
    for (auto &caller : callers) {
        caller.join();
    }
    CHECK(code == 0);
    CHECK(bad == 0);
    CHECK(whole > 20);
}

TEST_CASE("a second signal ends a process at once", "[process]")
{
    harness::FleetShape shape;
    shape.services = 0;
    shape.enginesPerZone = 1;
    LocalFleet fleet(shape);
    LocalFleet::control(fleet.engines[0].backendAddress, "/test/hold?step=accepted");
    LocalFleet::control(fleet.engines[1].backendAddress, "/test/hold?step=accepted");
    auto held = std::async(std::launch::async, [&] {
        return run(fleet.chat(0, "c", "hello", 5));
    });
    std::this_thread::sleep_for(milliseconds(300));
    auto &router = fleet.routers[0].router;
    router.signal(SIGTERM);
    std::this_thread::sleep_for(milliseconds(800));
    CHECK(router.wait(milliseconds(10)) == -1);
    router.signal(SIGTERM);
    CHECK(router.wait(seconds(1)) == 1);
    CHECK_FALSE(held.get().whole);
}

TEST_CASE("an availability zone leaves within three seconds and returns, without an error for callers", "[process]")
{
    harness::FleetShape shape;
    shape.services = 0;
    LocalFleet fleet(shape);
    std::atomic<bool> stop{false};
    std::atomic<int> whole{0};
    std::atomic<int> bad{0};
    std::vector<std::thread> callers;
    for (int caller = 0; caller < 6; ++caller) {
        callers.emplace_back([&, caller] {
            for (int i = 0; !stop; ++i) {
                const auto chat = std::to_string(caller) + "-" + std::to_string(i % 7);
                const auto answer = run(fleet.chat(static_cast<std::size_t>(caller % 2), chat, "hello", 20));
                (answer.status == 200 && answer.whole ? whole : bad)++;
            }
        });
    }
    const auto startedIn = [&fleet](const std::string &zone) {
        long started = 0;
        for (const auto &engine : fleet.engines) {
            started += engine.zone == zone ? LocalFleet::number(engine.backendAddress, "/test/counts", "started") : 0;
        }
        return started;
    };
    std::this_thread::sleep_for(seconds(1));
    fleet.publishTable("  - {name: az-b, kind: zone}\n");
    std::this_thread::sleep_for(seconds(3));
    const auto after = startedIn("az-b");
    std::this_thread::sleep_for(seconds(1));
    CHECK(startedIn("az-b") == after);
    fleet.publishTable();
    CHECK(LocalFleet::await([&] {
        return startedIn("az-b") > after + 3;
    }));
    stop = true;
    for (auto &caller : callers) {
        caller.join();
    }
    CHECK(bad == 0);
    CHECK(whole > 20);
}
