#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/catalog.h>
#include <cyclamenspool/gateway/fleet.h>
#include <cyclamenspool/gateway/peermessages.h>
#include <cyclamenspool/gateway/storeavailability.h>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using gateway::Fleet;
using gateway::StoreAvailability;
using gateway::StoreUptime;

namespace {

const core::MonotonicTime start = core::MonotonicTime() + 1h;

/** @brief Records an answer every half second, the last one not after a time. */
void answerUntil(StoreAvailability &store, core::MonotonicTime from, core::MonotonicTime to)
{
    for (auto at = from; at <= to; at += 500ms) {
        store.onAnswered(at);
    }
}

} // namespace

TEST_CASE("an entry that is found removed has not expired while the store answers, also if this gateway's own calls fail meanwhile", "[gateway][store]")
{
    StoreAvailability store;
    answerUntil(store, start, start + 10s);
    CHECK_FALSE(store.mayEntryHaveExpired(start + 10s));
    store.onCallFailed();
    store.onReported({start, start + 15s});
    store.onAnswered(start + 15500ms);
    CHECK_FALSE(store.mayEntryHaveExpired(start + 15500ms));
}

TEST_CASE("an outage that every gateway sees: entries may have expired until servers had time to renew them", "[gateway][store]")
{
    StoreAvailability store;
    answerUntil(store, start, start + 10s);
    store.onReported({start, start + 10s});
    store.onAnswered(start + 16s);
    CHECK(store.mayEntryHaveExpired(start + 16s));
    CHECK(store.mayEntryHaveExpired(start + 18100ms));
    CHECK_FALSE(store.mayEntryHaveExpired(start + 18200ms));
}

TEST_CASE("a gateway that learns late that the store answered another one meanwhile does not take its own gap for an outage", "[gateway][store]")
{
    StoreAvailability store;
    answerUntil(store, start, start + 10s);
    store.onAnswered(start + 16s);
    CHECK(store.mayEntryHaveExpired(start + 16100ms));
    store.onReported({start + 1s, start + 15900ms});
    CHECK_FALSE(store.mayEntryHaveExpired(start + 16200ms));
}

TEST_CASE("an earlier uptime of a peer that lost the store does not hide an outage", "[gateway][store]")
{
    StoreAvailability store;
    answerUntil(store, start, start + 10s);
    store.onAnswered(start + 16s);
    store.onReported({start - 5s, start + 9s});
    REQUIRE(store.uptime());
    CHECK(store.uptime()->since == start + 16s);
    CHECK(store.mayEntryHaveExpired(start + 17s));
}

TEST_CASE("a gateway that starts just after an outage takes the outage's end from its peers", "[gateway][store]")
{
    StoreAvailability store;
    store.onAnswered(start);
    CHECK_FALSE(store.uptime());
    store.onReported({start - 300ms, start});
    CHECK(store.mayEntryHaveExpired(start + 1800ms));
    CHECK_FALSE(store.mayEntryHaveExpired(start + 1900ms));
    store.onReported({start - 20s, start});
    CHECK_FALSE(store.mayEntryHaveExpired(start + 100ms));
}

// Guards against living servers that are dropped at once: a store may come back from an older copy without a long gap in its answers.
TEST_CASE("a store that was restored without a long gap in its answers: entries may have expired until servers had time to renew them", "[gateway][store]")
{
    StoreAvailability store;
    answerUntil(store, start, start + 10s);
    store.onRestored(start + 10s);
    CHECK(store.mayEntryHaveExpired(start + 10s));
    answerUntil(store, start + 10s, start + 12s);
    CHECK(store.mayEntryHaveExpired(start + 12100ms));
    CHECK_FALSE(store.mayEntryHaveExpired(start + 12200ms));
    REQUIRE(store.uptime());
    CHECK(store.uptime()->since == start + 10s);
}

// Guards against a renewal time that ends early or late by the uptime of a gateway that has not noticed the restore.
TEST_CASE("the uptime of a peer that does not know yet of a restore neither ends nor prolongs the renewal time", "[gateway][store]")
{
    StoreAvailability store;
    answerUntil(store, start, start + 10s);
    store.onRestored(start + 10s);
    store.onReported({start - 5s, start + 11s});
    CHECK(store.mayEntryHaveExpired(start + 11s));
    store.onReported({start - 5s, start + 9s});
    CHECK(store.mayEntryHaveExpired(start + 12100ms));
    CHECK_FALSE(store.mayEntryHaveExpired(start + 12200ms));
    store.onReported({start - 5s, start + 20s});
    CHECK_FALSE(store.mayEntryHaveExpired(start + 20s));
    REQUIRE(store.uptime());
    CHECK(store.uptime()->since == start + 10s);
}

// Guards against a restore that hides a later outage, or that counts for a gateway which had no answer before.
TEST_CASE("a restore is followed by an outage like any other time, and counts without an earlier answer", "[gateway][store]")
{
    StoreAvailability store;
    store.onRestored(start);
    CHECK(store.mayEntryHaveExpired(start + 2s));
    CHECK_FALSE(store.mayEntryHaveExpired(start + 3s));
    store.onAnswered(start + 9s);
    CHECK(store.mayEntryHaveExpired(start + 11s));
    CHECK_FALSE(store.isRestoring(start + 11s));
}

// Guards against gateways that ignore each other's reports once they have run for long.
TEST_CASE("an uptime of any length reaches another gateway", "[gateway][store]")
{
    const auto now = std::chrono::steady_clock::now();
    for (const auto age : {0h, 1h, 2000h, 90000h}) {
        CAPTURE(age.count());
        const auto copy = gateway::decodeSnapshot(gateway::encodeSnapshot({{{}, {0, 7}}, StoreUptime{now - age, now}, {}}));
        REQUIRE(copy);
        REQUIRE(copy->storeUptime);
        CHECK(now - copy->storeUptime->since >= std::min<std::chrono::hours>(age, 1h) - 1s);
    }
}

TEST_CASE("an entry that a late response lists again keeps its server", "[gateway][store]")
{
    gateway::Dispatcher dispatcher{config::GatewaySettings()};
    gateway::Catalog catalog(dispatcher);
    constexpr auto section = gateway::Catalog::Section::Servers;
    const std::string text = R"({"service":"pool","address":"10.0.0.1:80","zone":"az-a","slots":8,"state":"ready"})";
    catalog.onStoreList(section, {{{"servers/s0", text, {0, 3}, false}}, {0, 3}});
    gateway::ServerPtr before;
    dispatcher.withFleet([&before](gateway::Fleet &fleet, core::MonotonicTime now) {
        before = fleet.find("s0");
        before->entryExpiredAt = now;
    });
    catalog.onStoreChanges(section, {{"servers/s0", text, {0, 5}, false}}, {0, 5});
    dispatcher.withFleet([&before](gateway::Fleet &fleet, core::MonotonicTime) {
        CHECK(fleet.find("s0") == before);
    });
}

TEST_CASE("a removal that a peer has read is final while the store serves that peer, whatever happens to this gateway's calls", "[gateway][store]")
{
    Fleet fleet;
    world::BackendServer entry;
    entry.id = "s0";
    entry.service = "pool";
    fleet.onServerListed(entry, start);
    fleet.onStoreAvailable(start);
    fleet.onStoreUnavailable();
    for (auto at = start; at <= start + 10s; at += 500ms) {
        fleet.onStoreUptimeReported({start, at});
    }
    CHECK_FALSE(fleet.onServerRemoved("s0", start + 10s));
    CHECK(fleet.serversOf("pool").empty());
}
