#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/requestmeter.h>

#include <random>
#include <sstream>
#include <string>
#include <vector>

using namespace cyclamenspool;
using namespace std::chrono_literals;

namespace {

world::Route routeOf(world::RouteKind kind, const std::string &name)
{
    world::Route route;
    route.kind = kind;
    route.name = name;
    return route;
}

} // namespace

TEST_CASE("latencies are reported by route kind and request counts by workspace", "[gateway]")
{
    gateway::RequestMeter meter;
    meter.record({world::RouteKind::Streaming, "ask", "desk", true, 900ms, 200ms});
    meter.record({world::RouteKind::Streaming, "ask", "desk", false, 20ms, std::nullopt});
    meter.record({world::RouteKind::Idempotent, "look", "", true, 20ms, 10ms});
    std::ostringstream out;
    meter.write(out);
    const auto text = out.str();
    CHECK(text.find("cyclamenspool_request_seconds_count{kind=\"streaming\"} 2\n") != std::string::npos);
    CHECK(text.find("cyclamenspool_answer_head_seconds_count{kind=\"streaming\"} 1\n") != std::string::npos);
    CHECK(text.find("cyclamenspool_request_seconds_count{kind=\"idempotent\"} 1\n") != std::string::npos);
    CHECK(text.find("cyclamenspool_request_seconds_count{kind=\"non_idempotent\"} 0\n") != std::string::npos);
    CHECK(text.find("cyclamenspool_workspace_requests_total{workspace=\"desk\",answered=\"yes\"} 1\n") != std::string::npos);
    CHECK(text.find("cyclamenspool_workspace_requests_total{workspace=\"desk\",answered=\"no\"} 1\n") != std::string::npos);
    CHECK(text.find("workspace=\"\"") == std::string::npos);
}

TEST_CASE("the usual duration of a kind of request follows its answered requests only", "[gateway]")
{
    const auto streaming = routeOf(world::RouteKind::Streaming, "ask");
    const auto idempotent = routeOf(world::RouteKind::Idempotent, "look");
    gateway::RequestMeter meter;
    CHECK(meter.usualDuration(streaming) == 0ns);
    meter.record({world::RouteKind::Streaming, "ask", "desk", true, 900ms, 200ms});
    for (int refused = 0; refused < 100; ++refused) {
        meter.record({world::RouteKind::Streaming, "ask", "desk", false, 0ms, std::nullopt});
    }
    CHECK(meter.usualDuration(streaming) == 1s);
    CHECK(meter.usualDuration(idempotent) == 0ns);
}

// Guards against a route that is judged by the requests of another one.
TEST_CASE("the usual duration of a non-idempotent route follows its own requests, and those of its kind before it has any", "[gateway]")
{
    const auto quick = routeOf(world::RouteKind::NonIdempotent, "quick");
    const auto slow = routeOf(world::RouteKind::NonIdempotent, "slow");
    const auto added = routeOf(world::RouteKind::NonIdempotent, "added");
    gateway::RequestMeter meter;
    for (int i = 0; i < 10; ++i) {
        meter.record({world::RouteKind::NonIdempotent, "quick", "", true, 40ms, std::nullopt});
        meter.record({world::RouteKind::NonIdempotent, "slow", "", true, 9s, std::nullopt});
        meter.record({world::RouteKind::NonIdempotent, "added", "", false, 9s, std::nullopt});
    }
    CHECK(meter.usualDuration(quick) == 50ms);
    CHECK(meter.usualDuration(slow) == 10s);
    CHECK(meter.usualDuration(added) == 10s);
    meter.retainRoutes({slow, added});
    CHECK(meter.usualDuration(quick) == 10s);
    CHECK(meter.usualDuration(slow) == 10s);
}

// Guards against a planned stop that refuses quick requests because others are slow, or accepts slow ones because most are quick.
TEST_CASE("in a planned stop, requests of quick routes are accepted and those of slow ones refused, whatever their shares", "[gateway][stop]")
{
    const auto slowShare = GENERATE(0.04, 0.1, 0.5);
    CAPTURE(slowShare);
    const auto quick = routeOf(world::RouteKind::NonIdempotent, "quick");
    const auto slow = routeOf(world::RouteKind::NonIdempotent, "slow");
    std::mt19937 random(29); // NOLINT(cert-msc32-c,cert-msc51-cpp): the same requests in every run
    std::lognormal_distribution<double> spread(0.0, 0.5);
    std::bernoulli_distribution isSlow(slowShare);
    const auto draw = [&] {
        const auto &route = isSlow(random) ? slow : quick;
        const std::chrono::duration<double> median = route.name == "slow" ? 10s : 50ms;
        return std::pair(&route, std::chrono::duration_cast<std::chrono::nanoseconds>(median * spread(random)));
    };
    gateway::RequestMeter meter;
    constexpr int requests = 2000;
    for (int i = 0; i < requests; ++i) {
        const auto [route, duration] = draw();
        meter.record({route->kind, route->name, "", true, duration, std::nullopt});
    }
    std::uniform_real_distribution<double> arrival(0.0, 2.85); /* s after the signal, until all requests are refused */
    int refusedQuick = 0;
    int cut = 0;
    for (int i = 0; i < requests; ++i) {
        const auto [route, duration] = draw();
        const auto timeLeft = std::chrono::duration<double>(7.2 - arrival(random)); /* grace period 8 s */
        const bool isRefused = timeLeft < meter.usualDuration(*route);
        refusedQuick += isRefused && route == &quick ? 1 : 0;
        cut += !isRefused && duration > timeLeft ? 1 : 0;
    }
    CHECK(refusedQuick == 0);
    CHECK(cut == 0);
}
