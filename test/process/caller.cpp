#include <catch2/catch.hpp>

#include <harness/localfleet.h>

#include <boost/json/parse.hpp>

#include <csignal>
#include <thread>

using namespace cyclamenspool;
using harness::HttpResponse;
using harness::LocalFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

harness::FleetShape singleEngineShape()
{
    harness::FleetShape shape;
    shape.routerCount = 1;
    shape.zones = {"az-a"};
    shape.enginesPerZone = 1;
    return shape;
}

std::string errorKind(const HttpResponse &response)
{
    if (response.body.empty()) {
        return "";
    }
    const auto body = boost::json::parse(response.body).as_object();
    return body.contains("error") ? std::string(body.at("error").as_object().at("kind").as_string()) : "";
}

std::string statusLine(const std::string &raw)
{
    return raw.substr(0, raw.find("\r\n"));
}

} // namespace

TEST_CASE("the router answers each kind of invalid request with its 4xx status and keeps serving", "[process]")
{
    auto shape = singleEngineShape();
    shape.settings = {{"caller_timeout_ms", "700"}, {"max_body_bytes", "20000"}};
    LocalFleet fleet(shape);
    const auto address = fleet.routers[0].httpAddress;
    const auto post = [&](const std::string &body, const std::string &workspace) {
        harness::HttpRequest call{address, "POST", "/v1/chat/completions", {{"X-Workspace", workspace}}, body};
        return sendRequest(call);
    };
    const std::string validBody = R"({"model":"lamp","messages":[{"content":"hello"}],"max_tokens":2})";
    CHECK(errorKind(post("{", "desk")) == "bad_request");
    CHECK(errorKind(post("[]", "desk")) == "bad_request");
    CHECK(errorKind(post(validBody + "x", "desk")) == "bad_request");
    CHECK(errorKind(post(R"({"model":"lamp"})", "desk")) == "bad_request");
    CHECK(errorKind(post(R"({"model":"lamp","messages":[{"content":1}]})", "desk")) == "bad_request");
    CHECK(errorKind(post(validBody, "nobody")) == "unknown_workspace");
    CHECK(errorKind(post(validBody, "")) == "unknown_workspace");
    CHECK(errorKind(post(R"({"model":"other","messages":[{"content":"x"}]})", "desk")) == "unknown_pool");
    CHECK(post(std::string(30000, 'x'), "desk").status == 413);
    CHECK(errorKind(harness::sendRequest({address, "GET", "/v1/chat/completions", {{"X-Workspace", "desk"}}})) == "wrong_method");
    CHECK(errorKind(harness::sendRequest({address, "GET", "/nothing", {{"X-Workspace", "desk"}}})) == "unknown_path");
    harness::HttpRequest badDeadline{address, "POST", "/v1/chat/completions", {{"X-Workspace", "desk"}, {"X-Deadline-Ms", "soon"}}, validBody};
    CHECK(errorKind(harness::sendRequest(badDeadline)) == "bad_request");
    CHECK(statusLine(harness::exchangeRaw(address, "nonsense\r\n\r\n", false, seconds(2))).find("400") != std::string::npos);
    const std::string oversizedHeader = "GET /healthz HTTP/1.1\r\nHost: x\r\nX-Large: " + std::string(40000, 'x') + "\r\n\r\n";
    CHECK(statusLine(harness::exchangeRaw(address, oversizedHeader, false, seconds(2))).find("431") != std::string::npos);
    const std::string incompleteRequest = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf";
    CHECK(statusLine(harness::exchangeRaw(address, incompleteRequest, false, seconds(3))).find("408") != std::string::npos);
    CHECK(statusLine(harness::exchangeRaw(address, incompleteRequest, true, seconds(2))).find("400") != std::string::npos);
    const std::string singleRequest = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
    const auto pipelined = harness::exchangeRaw(address, singleRequest + singleRequest + singleRequest, false, seconds(1));
    std::size_t responses = 0;
    for (auto at = pipelined.find("HTTP/1.1 200"); at != std::string::npos; at = pipelined.find("HTTP/1.1 200", at + 1)) {
        ++responses;
    }
    CHECK(responses == 3);
    const auto validResponse = post(validBody, "desk");
    CHECK(validResponse.status == 200);
    CHECK_FALSE(validResponse.header("x-request-id").empty());
}

TEST_CASE("a request over its workspace's rate limit gets 429 with not_run and Retry-After", "[process]")
{
    auto shape = singleEngineShape();
    shape.workspaceRows = "  - {name: tiny, requests_per_second: 1}\n";
    LocalFleet fleet(shape);
    auto call = fleet.makeChatRequest(0, "c", "hello", 1);
    call.headers[0].second = "tiny";
    CHECK(sendRequest(call).status == 200);
    const auto refused = sendRequest(call);
    CHECK(refused.status == 429);
    CHECK(refused.header("retry-after") == "1");
    const auto error = boost::json::parse(refused.body).as_object().at("error").as_object();
    CHECK(error.at("not_run").as_bool());
    CHECK_FALSE(refused.header("x-request-id").empty());
}

TEST_CASE("a streamed response is complete, resumes after a cut connection, and never belongs to another request", "[process]")
{
    LocalFleet fleet(singleEngineShape());
    const auto engine = fleet.engines[0].backendAddress;
    SECTION("uninterrupted: complete")
    {
        const auto response = sendRequest(fleet.makeChatRequest(0, "c", "my own words", 20, true));
        CHECK(response.isComplete);
        CHECK(response.header("content-type") == "text/event-stream");
        CHECK(response.body.find("my own words") != std::string::npos);
        CHECK(response.body.find("data: [DONE]") != std::string::npos);
    }
    SECTION("connection cut once: resumed at the offset")
    {
        LocalFleet::callTestControl(engine, "/test/cut?count=1&bytes=200");
        const auto response = sendRequest(fleet.makeChatRequest(0, "c", "my own words", 20, true));
        CHECK(response.isComplete);
        for (int token = 0; token < 20; ++token) {
            const auto word = "\"w" + std::to_string(token) + " \"";
            const auto first = response.body.find(word);
            CHECK(first != std::string::npos);
            CHECK(response.body.find(word, first + 1) == std::string::npos);
        }
        CHECK(response.body.find("data: [DONE]") != std::string::npos);
        CHECK(LocalFleet::jsonNumber(engine, "/test/counts", "resumed") == 1);
    }
    SECTION("connection cut on every attempt: ends with an error event")
    {
        LocalFleet::callTestControl(engine, "/test/cut?count=100&bytes=50");
        const auto response = sendRequest(fleet.makeChatRequest(0, "c", "my own words", 20, true));
        CHECK(response.body.find("event: error") != std::string::npos);
        CHECK(response.body.find("answer_cut") != std::string::npos);
        CHECK(response.body.find("data: [DONE]") == std::string::npos);
    }
    SECTION("response with another request's id: rejected")
    {
        LocalFleet::callTestControl(engine, "/test/crossed?count=1");
        const auto response = sendRequest(fleet.makeChatRequest(0, "c", "my own words", 5));
        CHECK(response.status == 502);
        CHECK(errorKind(response) == "outcome_unknown");
        CHECK(sendRequest(fleet.makeChatRequest(0, "c", "my own words", 5)).status == 200);
    }
}

TEST_CASE("the engine cancels the request of a caller that disconnects", "[process]")
{
    LocalFleet fleet(singleEngineShape());
    auto call = fleet.makeChatRequest(0, "c", "hello", 2000, true);
    call.timeout = milliseconds(500);
    CHECK_FALSE(sendRequest(call).isComplete);
    const auto engine = fleet.engines[0].backendAddress;
    CHECK(LocalFleet::waitUntil([&] {
        return LocalFleet::jsonNumber(engine, "/test/counts", "cancelled") == 1;
    }));
}

TEST_CASE("a request whose engine does not respond gets 504 at its deadline", "[process]")
{
    LocalFleet fleet(singleEngineShape());
    LocalFleet::callTestControl(fleet.engines[0].backendAddress, "/test/hold?step=accepted");
    auto call = fleet.makeChatRequest(0, "c", "hello", 5);
    call.headers.emplace_back("X-Deadline-Ms", "600");
    const auto start = std::chrono::steady_clock::now();
    const auto response = sendRequest(call);
    const auto duration = std::chrono::steady_clock::now() - start;
    CHECK(response.status == 504);
    CHECK(errorKind(response) == "deadline_after_send");
    CHECK(duration < milliseconds(1500));
}
