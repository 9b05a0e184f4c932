#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/requestmeter.h>

#include <sstream>

using namespace cyclamenspool;
using namespace std::chrono_literals;

TEST_CASE("latencies are reported by route kind and request counts by workspace", "[gateway]")
{
    gateway::RequestMeter meter;
    meter.record({world::RouteKind::Streaming, "desk", true, 900ms, 200ms});
    meter.record({world::RouteKind::Streaming, "desk", false, 20ms, std::nullopt});
    meter.record({world::RouteKind::Idempotent, "", true, 20ms, 10ms});
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
    gateway::RequestMeter meter;
    CHECK(meter.usualDuration(world::RouteKind::Streaming) == 0ns);
    meter.record({world::RouteKind::Streaming, "desk", true, 900ms, 200ms});
    for (int refused = 0; refused < 100; ++refused) {
        meter.record({world::RouteKind::Streaming, "desk", false, 0ms, std::nullopt});
    }
    CHECK(meter.usualDuration(world::RouteKind::Streaming) == 1s);
    CHECK(meter.usualDuration(world::RouteKind::Idempotent) == 0ns);
}
