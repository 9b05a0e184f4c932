#include <catch2/catch.hpp>

#include <cyclamenspool/platform/documents.h>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using platform::decode;

namespace {

member::StoreItem itemOf(const std::string &key, const std::string &value)
{
    return {key, value, {0, 7}, false};
}

const std::string validServer
    = R"({"service":"pool","address":"10.0.0.1:80","zone":"az-a","slots":64,"state":"ready","cold_remaining_ms":1500,"born":1700000000000})";

} // namespace

TEST_CASE("a backend server entry is decoded with its id and revision", "[platform]")
{
    const auto server = std::get<world::BackendServer>(decode(itemOf("servers/i-1", validServer)));
    CHECK(server.id == "i-1");
    CHECK(server.service == "pool");
    CHECK(server.coldRemaining == 1500ms);
    CHECK(server.startedUnixMs == 1700000000000ULL);
    CHECK_FALSE(server.sequence);
    CHECK_FALSE(server.leaving);
    CHECK(server.revision == 7);
}

// Guards against older entries that cannot be told from newer ones after the store was restored.
TEST_CASE("the sequence of a backend server entry is decoded; it is empty if it is missing, and an entry with an invalid one is rejected", "[platform]")
{
    const auto withSequence = [](const std::string &sequence) {
        return itemOf("servers/i-1", validServer.substr(0, validServer.size() - 1) + R"(,"sequence":)" + sequence + "}");
    };
    CHECK(std::get<world::BackendServer>(decode(withSequence("0"))).sequence == 0U);
    CHECK(std::get<world::BackendServer>(decode(withSequence("8201"))).sequence == 8201U);
    CHECK_FALSE(std::get<world::BackendServer>(decode(withSequence("null"))).sequence);
    CHECK_THROWS_AS(decode(withSequence("-1")), platform::MalformedValue);
    CHECK_THROWS_AS(decode(withSequence("\"9\"")), platform::MalformedValue);
}

TEST_CASE("a backend server entry with a missing, mistyped or out-of-range field, an unknown state or invalid JSON is rejected", "[platform]")
{
    const auto value = GENERATE(as<std::string>{},
                                "",
                                "{",
                                "[]",
                                "\xff\x00",
                                R"({"service":"pool"})",
                                R"({"service":1,"address":"10.0.0.1:80","zone":"a","slots":1,"state":"ready"})",
                                R"({"service":"pool","address":"nowhere","zone":"a","slots":1,"state":"ready"})",
                                R"({"service":"pool","address":"10.0.0.1:99999","zone":"a","slots":1,"state":"ready"})",
                                R"({"service":"pool","address":"10.0.0.1:80","zone":"a","slots":"1","state":"ready"})",
                                R"({"service":"pool","address":"10.0.0.1:80","zone":"a","slots":61700000000000,"state":"ready"})",
                                R"({"service":"pool","address":"10.0.0.1:80","zone":"a","slots":1,"state":"ready","cold_remaining_ms":9000000000000000})",
                                R"({"service":"pool","address":"10.0.0.1:80","zone":"a","slots":1,"state":"resting"})",
                                R"({"service":"pool","address":"10.0.0.1:80","zone":"a","slots":1,"state":"ready","cold_remaining_ms":-1})");
    CHECK_THROWS_AS(decode(itemOf("servers/i-1", value)), platform::MalformedValue);
}

TEST_CASE("zone evacuations and removed backend servers are decoded; other keys are ignored", "[platform]")
{
    const auto evacuation = std::get<platform::ZoneEvacuation>(decode(itemOf("op/evacuate/az-a", "{}")));
    CHECK(evacuation.zone == "az-a");
    CHECK(evacuation.isActive);
    CHECK_FALSE(std::get<platform::ZoneEvacuation>(decode({"op/evacuate/az-a", "", {0, 9}, true})).isActive);
    CHECK(std::get<platform::RemovedServer>(decode({"servers/i-1", "", {0, 9}, true})).id == "i-1");
    CHECK(std::holds_alternative<platform::IgnoredItem>(decode(itemOf("op/other", "{}"))));
}

TEST_CASE("a routing configuration is decoded; an unknown route kind counts as non-idempotent", "[platform]")
{
    const std::string configText = R"({"version":9,"routes":[
        {"name":"a","host":"X.example","prefix":"/a/","kind":"streaming","timeout_ms":500,"service":"s","max_attempts":2,"resumable":true,"sticky_sessions":true},
        {"name":"b","host":"x.example","prefix":"/b/","kind":"later","traffic_split":[{"service":"s","weight":90},{"service":"t","weight":10}]}],
        "services":[{"name":"s","max_connections":9,"cold_start_s":1.5,"cold_per_s":12.0,"engine":{"slots":64}}],
        "limits":{"max_body_bytes":100},"tenants":[{"name":"desk","api_keys":["k1","k2"],"priority":1}]})";
    const auto routing = std::get<world::RoutingConfig>(decode(itemOf("op/config", configText)));
    CHECK(routing.version == 9);
    REQUIRE(routing.routes.size() == 2);
    CHECK(routing.routes[0].host == "x.example");
    CHECK(routing.routes[0].isRetryable());
    CHECK(routing.routes[0].usesPromptCache);
    CHECK(routing.routes[1].kind == world::RouteKind::NonIdempotent);
    CHECK(routing.routes[1].services.size() == 2);
    CHECK(routing.services.at("s").coldStart == 1500ms);
    CHECK(routing.limits.bodyBytes == 100);
    CHECK(routing.apiKeys.at("k2").workspace == "desk");
    CHECK_THROWS_AS(decode(itemOf("op/config", R"({"routes":[]})")), platform::MalformedValue);
}
