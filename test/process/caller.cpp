#include <catch2/catch.hpp>

#include <harness/localfleet.h>

#include <boost/json/parse.hpp>

#include <csignal>
#include <thread>

using namespace cyclamenspool;
using harness::Answer;
using harness::LocalFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

harness::FleetShape smallShape()
{
    harness::FleetShape shape;
    shape.routers = 1;
    shape.zones = {"az-a"};
    shape.enginesPerZone = 1;
    return shape;
}

std::string errorKind(const Answer &answer)
{
    if (answer.body.empty()) {
        return "";
    }
    const auto body = boost::json::parse(answer.body).as_object();
    return body.contains("error") ? std::string(body.at("error").as_object().at("kind").as_string()) : "";
}

std::string statusLine(const std::string &raw)
{
    return raw.substr(0, raw.find("\r\n"));
}

} // namespace

TEST_CASE("bad input gets its 4xx and the router goes on", "[process]")
{
    auto shape = smallShape();
    shape.settings = {{"caller_timeout_ms", "700"}, {"max_body_bytes", "20000"}};
    LocalFleet fleet(shape);
    const auto address = fleet.routers[0].httpAddress;
    const auto post = [&](const std::string &body, const std::string &workspace) {
        harness::Call call{address, "POST", "/v1/chat/completions", {{"X-Workspace", workspace}}, body};
        return run(call);
    };
    const std::string good = R"({"model":"lamp","messages":[{"content":"hello"}],"max_tokens":2})";
    CHECK(errorKind(post("{", "desk")) == "bad_request");
    CHECK(errorKind(post("[]", "desk")) == "bad_request");
    CHECK(errorKind(post(good + "x", "desk")) == "bad_request");
    CHECK(errorKind(post(R"({"model":"lamp"})", "desk")) == "bad_request");
    CHECK(errorKind(post(R"({"model":"lamp","messages":[{"content":1}]})", "desk")) == "bad_request");
    CHECK(errorKind(post(good, "nobody")) == "unknown_workspace");
    CHECK(errorKind(post(good, "")) == "unknown_workspace");
    CHECK(errorKind(post(R"({"model":"other","messages":[{"content":"x"}]})", "desk")) == "unknown_pool");
    CHECK(post(std::string(30000, 'x'), "desk").status == 413);
    CHECK(errorKind(harness::run({address, "GET", "/v1/chat/completions", {{"X-Workspace", "desk"}}})) == "wrong_method");
    CHECK(errorKind(harness::run({address, "GET", "/nothing", {{"X-Workspace", "desk"}}})) == "unknown_path");
    harness::Call badDeadline{address, "POST", "/v1/chat/completions", {{"X-Workspace", "desk"}, {"X-Deadline-Ms", "soon"}}, good};
    CHECK(errorKind(harness::run(badDeadline)) == "bad_request");
    CHECK(statusLine(harness::exchangeRaw(address, "nonsense\r\n\r\n", false, seconds(2))).find("400") != std::string::npos);
    const std::string largeHeader = "GET /healthz HTTP/1.1\r\nHost: x\r\nX-Large: " + std::string(40000, 'x') + "\r\n\r\n";
    CHECK(statusLine(harness::exchangeRaw(address, largeHeader, false, seconds(2))).find("431") != std::string::npos);
    const std::string unfinished = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf";
    CHECK(statusLine(harness::exchangeRaw(address, unfinished, false, seconds(3))).find("408") != std::string::npos);
    CHECK(statusLine(harness::exchangeRaw(address, unfinished, true, seconds(2))).find("400") != std::string::npos);
    const std::string one = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
    const auto pipelined = harness::exchangeRaw(address, one + one + one, false, seconds(1));
    std::size_t answers = 0;
    for (auto at = pipelined.find("HTTP/1.1 200"); at != std::string::npos; at = pipelined.find("HTTP/1.1 200", at + 1)) {
        ++answers;
    }
    CHECK(answers == 3);
    const auto fine = post(good, "desk");
    CHECK(fine.status == 200);
    CHECK_FALSE(fine.header("x-request-id").empty());
}

TEST_CASE("a refusal tells its kind, whether it ran and when to come back", "[process]")
{
    auto shape = smallShape();
    shape.workspaceRows = "  - {name: tiny, requests_per_second: 1}\n";
    LocalFleet fleet(shape);
    auto call = fleet.chat(0, "c", "hello", 1);
    call.headers[0].second = "tiny";
    CHECK(run(call).status == 200);
    const auto refused = run(call);
    CHECK(refused.status == 429);
    CHECK(refused.header("retry-after") == "1");
    const auto error = boost::json::parse(refused.body).as_object().at("error").as_object();
    CHECK(error.at("not_run").as_bool());
    CHECK_FALSE(refused.header("x-request-id").empty());
}

TEST_CASE("a streamed answer is whole, resumed after a cut, and never another's", "[process]")
{
    LocalFleet fleet(smallShape());
    const auto engine = fleet.engines[0].backendAddress;
    SECTION("whole")
    {
        const auto answer = run(fleet.chat(0, "c", "my own words", 20, true));
        CHECK(answer.whole);
        CHECK(answer.header("content-type") == "text/event-stream");
        CHECK(answer.body.find("my own words") != std::string::npos);
        CHECK(answer.body.find("data: [DONE]") != std::string::npos);
    }
    SECTION("cut once: resumed at the offset")
    {
        LocalFleet::control(engine, "/test/cut?count=1&bytes=200");
        const auto answer = run(fleet.chat(0, "c", "my own words", 20, true));
        CHECK(answer.whole);
        for (int token = 0; token < 20; ++token) {
            const auto word = "\"w" + std::to_string(token) + " \"";
            const auto first = answer.body.find(word);
            CHECK(first != std::string::npos);
            CHECK(answer.body.find(word, first + 1) == std::string::npos);
        }
        CHECK(answer.body.find("data: [DONE]") != std::string::npos);
        CHECK(LocalFleet::number(engine, "/test/counts", "resumed") == 1);
    }
    SECTION("cut again and again: an explicit error")
    {
        LocalFleet::control(engine, "/test/cut?count=100&bytes=50");
        const auto answer = run(fleet.chat(0, "c", "my own words", 20, true));
        CHECK(answer.body.find("event: error") != std::string::npos);
        CHECK(answer.body.find("answer_cut") != std::string::npos);
        CHECK(answer.body.find("data: [DONE]") == std::string::npos);
    }
    SECTION("an answer with another request's id is dropped")
    {
        LocalFleet::control(engine, "/test/crossed?count=1");
        const auto answer = run(fleet.chat(0, "c", "my own words", 5));
        CHECK(answer.status == 502);
        CHECK(errorKind(answer) == "outcome_unknown");
        CHECK(run(fleet.chat(0, "c", "my own words", 5)).status == 200);
    }
}

TEST_CASE("a caller that leaves stops its engine", "[process]")
{
    LocalFleet fleet(smallShape());
    auto call = fleet.chat(0, "c", "hello", 2000, true);
    call.timeout = milliseconds(500);
    CHECK_FALSE(run(call).whole);
    const auto engine = fleet.engines[0].backendAddress;
    CHECK(LocalFleet::await([&] {
        return LocalFleet::number(engine, "/test/counts", "cancelled") == 1;
    }));
}

TEST_CASE("a deadline is kept", "[process]")
{
    LocalFleet fleet(smallShape());
    LocalFleet::control(fleet.engines[0].backendAddress, "/test/hold?step=accepted");
    auto call = fleet.chat(0, "c", "hello", 5);
    call.headers.emplace_back("X-Deadline-Ms", "600");
    const auto began = std::chrono::steady_clock::now();
    const auto answer = run(call);
    const auto took = std::chrono::steady_clock::now() - began;
    CHECK(answer.status == 504);
    CHECK(errorKind(answer) == "deadline_after_send");
    CHECK(took < milliseconds(1500));
}
