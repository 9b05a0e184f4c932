#include <catch2/catch.hpp>

#include <cyclamenspool/platform/headers.h>

using namespace cyclamenspool;
using namespace std::chrono_literals;

TEST_CASE("a caller's headers are decoded", "[platform]")
{
    platform::Fields fields;
    fields.set("Host", "Desk.Example:8080");
    fields.set("Authorization", "Bearer key-1");
    fields.set("Cyclamenspool-Request-Id", "r1");
    fields.set("Cyclamenspool-Deadline-Ms", "1200");
    fields.set("Cyclamenspool-Token-Usage", "1460,80");
    fields.set("Cyclamenspool-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    const auto head = platform::readRequestHead(fields);
    CHECK(head.host == "desk.example");
    CHECK(head.apiKey == "key-1");
    CHECK(head.callerTimeout == 1200ms);
    CHECK(head.maxResponseTokens == 80);
    REQUIRE(head.parts.size() == 3);
    CHECK(head.parts[1].id == 0x91bd3f06);
    CHECK(head.parts[1].tokens == 410);
}

TEST_CASE("a malformed header is rejected as a bad request that names it", "[platform]")
{
    platform::Fields fields;
    const auto [name, value] = GENERATE(table<std::string, std::string>({{"Cyclamenspool-Deadline-Ms", "soon"},
                                                                         {"Cyclamenspool-Deadline-Ms", "-5"},
                                                                         {"Cyclamenspool-Token-Usage", "7"},
                                                                         {"Cyclamenspool-Prompt-Prefix", "xyz:1"},
                                                                         {"Cyclamenspool-Prompt-Prefix", "5c1e"}}));
    fields.set(name, value);
    try {
        static_cast<void>(platform::readRequestHead(fields));
        FAIL("not refused");
    } catch (const core::Error &error) {
        CHECK(error.kind() == core::ErrorKind::BadRequest);
        CHECK(std::string(error.what()).find(name) != std::string::npos);
    }
}

TEST_CASE("hop-by-hop headers and those reserved for the system are not forwarded", "[platform]")
{
    platform::Fields fields;
    fields.set("Connection", "keep-alive, X-Hop");
    fields.set("X-Hop", "1");
    fields.set("X-Kept", "2");
    fields.set("Authorization", "Bearer key-1");
    fields.set("cyclamenspool-tenant", "forged");
    fields.set("Kv-Fetch", "forged");
    fields.set("Last-Event-Id", "3");
    std::string out;
    platform::AddedHeaders added;
    added.serverId = "i-1";
    added.workspace = "desk";
    added.remainingTime = 900ms;
    added.lastEventId = "8";
    platform::appendForwardedHeaders(out, fields, added);
    CHECK(out == "X-Kept: 2\r\nCyclamenspool-Deadline-Ms: 900\r\nCyclamenspool-Expect-Instance: i-1\r\nCyclamenspool-Tenant: desk\r\nLast-Event-Id: 8\r\n");
}

TEST_CASE("the headers of a backend server's response are decoded", "[platform]")
{
    platform::Fields fields;
    fields.set("Cyclamenspool-Response-Seal", "s");
    fields.set("Cyclamenspool-Server-Load", "3,1,8");
    fields.set("Keep-Alive", "timeout=5, max=9");
    const auto head = platform::readResponseHead(200, fields);
    CHECK(head.hasDigest);
    CHECK_FALSE(head.isNotExecuted);
    REQUIRE(head.load);
    CHECK(head.load->waiting == 1);
    CHECK(head.idleTimeout == 5s);
    CHECK(platform::readResponseHead(421, platform::Fields()).isNotExecuted);
}

TEST_CASE("a load header has three or four figures, and a malformed one is ignored and marked", "[platform]")
{
    const auto read = [](const char *value) {
        platform::Fields fields;
        fields.set("Cyclamenspool-Server-Load", value);
        return platform::readResponseHead(200, fields);
    };
    CHECK_FALSE(read("3,1,8").load->pacePercent);
    CHECK_FALSE(read("3,1,8").isLoadMalformed);
    REQUIRE(read("3,1,8,250").load);
    CHECK(read("3,1,8,250").load->slots == 8);
    CHECK(read("3,1,8,250").load->pacePercent == 250);
    for (const char *value : {"3,1", "3,1,8,250,1", "3,1,8,", "3,1,8,x", "3,-1,8", "3,1,8,-5", "3,1,8.5", "3,,8", "9999999999,1,8"}) {
        INFO(value);
        CHECK_FALSE(read(value).load);
        CHECK(read(value).isLoadMalformed);
    }
    CHECK_FALSE(platform::readResponseHead(200, platform::Fields()).isLoadMalformed);
}

TEST_CASE("a response is an event stream by its content type, or if it has none", "[platform]")
{
    platform::Fields fields;
    CHECK(platform::readResponseHead(200, fields).isEventStream);
    fields.set("Content-Type", "Text/Event-Stream; charset=utf-8");
    CHECK(platform::readResponseHead(200, fields).isEventStream);
    fields.set("Content-Type", "application/json");
    CHECK_FALSE(platform::readResponseHead(200, fields).isEventStream);
}

TEST_CASE("a refusal has a Retry-After header in seconds with three decimals", "[platform]")
{
    std::string out;
    platform::appendRefusalHeaders(out, "r1", 250ms);
    CHECK(out == "Cyclamenspool-Request-Id: r1\r\nRetry-After: 0.250\r\n");
}
