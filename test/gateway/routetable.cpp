#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/dispatcher.h>
#include <cyclamenspool/gateway/routetable.h>

#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

using namespace cyclamenspool;
using namespace std::chrono_literals;

namespace {

world::Route routeOf(const std::string &name, const std::string &prefix)
{
    world::Route route;
    route.name = name;
    route.host = "desk.example";
    route.prefix = prefix;
    route.services = {{"pool", 1.0}};
    return route;
}

world::RoutingConfig routingOf(std::uint64_t version)
{
    world::RoutingConfig routing;
    routing.version = version;
    routing.routes = {routeOf("short", "/a/"), routeOf("long", "/a/b/")};
    routing.requiresApiKey = true;
    routing.apiKeys["key-1"] = {"desk", -1};
    return routing;
}

/** @brief Lists one backend server and sends it 50 requests of one route, which are answered. @return Admission of these requests. */
gateway::Admission sendFiftyRequests(gateway::Dispatcher &dispatcher)
{
    dispatcher.withFleet([](gateway::Fleet &fleet, core::MonotonicTime now) {
        world::BackendServer server;
        server.id = "s0";
        server.service = "pool";
        fleet.onServerListed(server, now);
    });
    platform::RequestHead head;
    head.host = "desk.example";
    head.apiKey = "key-1";
    const auto admission = dispatcher.admit(head, "/a/x");
    for (int i = 0; i < 50; ++i) {
        dispatcher.place(admission, {}, 1s).inFlight->finish(gateway::Outcome::Answered);
    }
    return admission;
}

} // namespace

TEST_CASE("the route with the longest matching prefix of the host is found", "[gateway]")
{
    const gateway::RouteTable table(routingOf(1));
    CHECK(table.find("desk.example", "/a/b/c?x=/a/")->name == "long");
    CHECK(table.find("desk.example", "/a/x")->name == "short");
    CHECK(table.find("desk.example", "/b/") == nullptr);
    CHECK(table.find("other.example", "/a/x") == nullptr);
}

TEST_CASE("an older configuration is rejected, and a missing one gives 503 instead of 404", "[gateway]")
{
    gateway::Dispatcher dispatcher{config::GatewaySettings()};
    platform::RequestHead head;
    head.host = "desk.example";
    head.apiKey = "key-1";
    try {
        static_cast<void>(dispatcher.admit(head, "/a/x"));
        FAIL("admitted");
    } catch (const core::Error &error) {
        CHECK(core::ruleOf(error.kind()).status == 503);
    }
    CHECK(dispatcher.onRouting(routingOf(5)));
    CHECK_FALSE(dispatcher.onRouting(routingOf(4)));
    CHECK_FALSE(dispatcher.onRouting(routingOf(5)));
    CHECK(dispatcher.admit(head, "/a/x").workspace == "desk");
    head.apiKey = "other";
    CHECK_THROWS_AS(dispatcher.admit(head, "/a/x"), core::Error);
}

// Guards against a routing version that goes back for a worker while the control thread applies the documents of a restored store.
TEST_CASE("store restored: workers never see a lower routing version than before, whatever order the documents come in", "[gateway]")
{
    gateway::Dispatcher dispatcher{config::GatewaySettings()};
    CHECK(dispatcher.onRouting(routingOf(1)));
    std::atomic<bool> isDone{false};
    std::atomic<int> regressions{0};
    const auto readVersions = [&] {
        std::uint64_t latest = 0;
        while (!isDone) {
            const auto version = dispatcher.routes()->routing().version;
            regressions += version < latest ? 1 : 0;
            latest = std::max(latest, version);
        }
    };
    std::vector<std::thread> workers;
    for (int i = 0; i < 3; ++i) {
        workers.emplace_back(readVersions);
    }
    for (std::uint64_t version = 10; version < 500; version += 10) {
        CHECK(dispatcher.onRouting(routingOf(version)));
        CHECK_FALSE(dispatcher.onRouting(routingOf(version - 3)));
        CHECK_FALSE(dispatcher.onRouting(routingOf(version)));
    }
    isDone = true;
    for (auto &worker : workers) {
        worker.join();
    }
    CHECK(regressions == 0);
    CHECK(dispatcher.routes()->routing().version == 490);
}

TEST_CASE("retry abuse: retries stay within this gateway's share of the fleet-wide budget", "[gateway]")
{
    config::GatewaySettings settings;
    settings.retryRatio = 0.2;
    settings.retrySlack = 20;
    gateway::Dispatcher dispatcher(settings);
    dispatcher.onRouting(routingOf(1));
    dispatcher.onGatewaySeen("10.0.0.2:7000", std::chrono::steady_clock::now());
    const auto admission = sendFiftyRequests(dispatcher);
    int retries = 0;
    for (int i = 0; i < 200; ++i) {
        const auto result = dispatcher.place(admission, {"another"}, 1s);
        retries += result.inFlight != nullptr ? 1 : 0;
        if (result.inFlight != nullptr) {
            result.inFlight->finish(gateway::Outcome::Answered);
        }
    }
    CHECK(retries <= 0.2 * 50 + 20 / 2);
    CHECK(retries >= 10);
}

TEST_CASE("requests without an id are spread over the services of a traffic split", "[gateway]")
{
    gateway::Dispatcher dispatcher{config::GatewaySettings()};
    auto routing = routingOf(1);
    routing.routes.front().services = {{"one", 1.0}, {"two", 1.0}};
    routing.routes.front().usesPromptCache = false;
    const auto host = routing.routes.front().host;
    const auto prefix = routing.routes.front().prefix;
    dispatcher.onRouting(std::move(routing));
    platform::RequestHead head;
    head.host = host;
    head.apiKey = "key-1";
    int first = 0;
    for (int i = 0; i < 200; ++i) {
        first += dispatcher.admit(head, prefix + "x").service == "one" ? 1 : 0;
    }
    CHECK(first > 60);
    CHECK(first < 140);
}

TEST_CASE("histories that share their last part but not the parts before it are told apart", "[gateway]")
{
    gateway::Dispatcher dispatcher{config::GatewaySettings()};
    auto routing = routingOf(1);
    routing.routes.front().usesPromptCache = true;
    const auto host = routing.routes.front().host;
    const auto prefix = routing.routes.front().prefix;
    dispatcher.onRouting(std::move(routing));
    platform::RequestHead head;
    head.host = host;
    head.apiKey = "key-1";
    head.parts = {{1, 800}, {2, 400}, {3, 200}};
    const auto one = dispatcher.admit(head, prefix + "x").historyKey();
    head.parts[2].id = 4;
    CHECK(dispatcher.admit(head, prefix + "x").historyKey() == one);
    head.parts[0].id = 9;
    CHECK(dispatcher.admit(head, prefix + "x").historyKey() != one);
}

TEST_CASE("a changed retry window holds for services that have had requests", "[gateway]")
{
    config::GatewaySettings settings;
    settings.retryRatio = 0.2;
    settings.retrySlack = 0;
    settings.retryWindow = std::chrono::seconds(10);
    gateway::Dispatcher dispatcher(settings);
    dispatcher.onRouting(routingOf(1));
    const auto admission = sendFiftyRequests(dispatcher);
    CHECK(dispatcher.place(admission, {"another"}, 1s).inFlight != nullptr);
    settings.retryWindow = std::chrono::milliseconds(1);
    dispatcher.applySettings(settings);
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    CHECK(dispatcher.place(admission, {"another"}, 1s).inFlight == nullptr);
}
