#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/catalog.h>
#include <cyclamenspool/gateway/peermessages.h>

#include <string>
#include <thread>
#include <vector>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using gateway::Availability;
using gateway::Catalog;
using gateway::ListDelta;
using member::StoreItem;

namespace {

StoreItem entryOf(const std::string &id, std::uint64_t revision, const std::string &state = "ready", int coldMs = 0)
{
    const auto text = R"({"service":"pool","address":"10.0.0.1:80","zone":"az-a","slots":8,"version":"1","state":")" + state + R"(","cold_remaining_ms":)"
        + std::to_string(coldMs) + R"(,"sequence":)" + std::to_string(revision) + "}";
    return {"servers/" + id, text, {0, revision}, false};
}

/** @brief A gateway's copy of the list with the servers s0 and s1, at revision 10. */
struct Copy {
    Copy()
    {
        catalog.onStoreList(Catalog::Section::Servers, {{entryOf("s0", 3), entryOf("s1", 4)}, {0, 10}});
    }

    [[nodiscard]] Availability availabilityOf(const std::string &id)
    {
        auto availability = Availability::Count;
        dispatcher.withFleet([&](gateway::Fleet &fleet, core::MonotonicTime now) {
            const auto server = fleet.find(id);
            availability = server == nullptr ? Availability::Count : fleet.availabilityOf(*server, now);
        });
        return availability;
    }

    [[nodiscard]] std::uint64_t revision() const
    {
        return catalog.position(Catalog::Section::Servers).revision;
    }

    gateway::Dispatcher dispatcher{config::GatewaySettings()};
    Catalog catalog{dispatcher};
};

/** @brief Reads changes at one gateway and applies what it publishes at another one. @return True if the other one applied them. */
bool publish(Copy &watcher, Copy &follower, const std::vector<StoreItem> &changes, std::uint64_t revision)
{
    const auto bytes = gateway::encodeListDelta(watcher.catalog.reduceServerChanges(changes, {0, revision}));
    watcher.catalog.onStoreChanges(Catalog::Section::Servers, changes, {0, revision});
    const auto delta = gateway::decodeListDelta(bytes);
    REQUIRE(delta);
    return follower.catalog.onPeerListDelta(*delta);
}

/** @brief Plays an outage of the store at the only gateway that calls it. */
void loseStore(Copy &watcher)
{
    watcher.catalog.onStoreFailure(Catalog::Section::Servers, "reset");
    std::this_thread::sleep_for(1600ms); /* longer than the gap between answers of one uptime */
    watcher.catalog.onStoreChanges(Catalog::Section::Servers, {}, {0, 10});
}

} // namespace

TEST_CASE("hundreds of gateways: one report of each server is a few bytes for the gateways that do not watch the list", "[gateway][list]")
{
    Copy watcher;
    std::vector<StoreItem> items;
    for (int i = 0; i < 180; ++i) {
        items.push_back(entryOf("server-" + std::to_string(i), 20));
    }
    watcher.catalog.onStoreChanges(Catalog::Section::Servers, items, {0, 20});
    for (auto &item : items) {
        item = entryOf(item.key.substr(8), 30);
    }
    const auto delta = watcher.catalog.reduceServerChanges(items, {0, 30});
    CHECK(delta.items.empty());
    CHECK(delta.isReportedAllBut);
    CHECK(gateway::encodeListDelta(delta).size() < 100);
    member::StoreReplica copy;
    static_cast<void>(copy.replace({items, {0, 30}}));
    CHECK(gateway::reportedServers(delta, copy).size() == 180);
}

TEST_CASE("hundreds of gateways: with reports of any share of the servers, a follower hears of just these", "[gateway][list]")
{
    const auto reporting = GENERATE(0, 1, 90, 91, 150, 179, 180);
    CAPTURE(reporting);
    Copy watcher;
    std::vector<StoreItem> items;
    for (int i = 0; i < 180; ++i) {
        items.push_back(entryOf("server-" + std::to_string(i), 20));
    }
    watcher.catalog.onStoreList(Catalog::Section::Servers, {items, {0, 20}});
    std::vector<StoreItem> changes;
    for (int i = 0; i < reporting; ++i) {
        changes.push_back(entryOf("server-" + std::to_string(i), 30));
    }
    changes.push_back(entryOf("server-179", 31, "draining"));
    changes.push_back(entryOf("new", 32, "ready", 3000));
    const auto bytes = gateway::encodeListDelta(watcher.catalog.reduceServerChanges(changes, {0, 32}));
    CHECK(bytes.size() < 90 * 6 + 800);
    const auto delta = gateway::decodeListDelta(bytes);
    REQUIRE(delta);
    Copy follower;
    follower.catalog.onStoreList(Catalog::Section::Servers, {items, {0, 20}});
    follower.dispatcher.withFleet([](gateway::Fleet &fleet, core::MonotonicTime) {
        for (int i = 0; i < 180; ++i) {
            fleet.find("server-" + std::to_string(i))->isColdUntilReport = true;
        }
    });
    REQUIRE(follower.catalog.onPeerListDelta(*delta));
    for (int i = 0; i < 179; ++i) {
        CHECK(follower.availabilityOf("server-" + std::to_string(i)) == (i < reporting ? Availability::Usable : Availability::Cold));
    }
    CHECK(follower.availabilityOf("server-179") == Availability::Leaving);
    CHECK(follower.availabilityOf("new") == Availability::Cold);
}

TEST_CASE("an entry that lapsed in an outage is not brought back by the reports of the others", "[gateway][list]")
{
    Copy watcher;
    Copy follower;
    loseStore(watcher);
    CHECK(publish(watcher, follower, {{"servers/s1", {}, {0, 12}, true}}, 12));
    CHECK(publish(watcher, follower, {entryOf("s0", 13)}, 13));
    bool isExpired = false;
    follower.dispatcher.withFleet([&isExpired](gateway::Fleet &fleet, core::MonotonicTime) {
        isExpired = fleet.find("s1") != nullptr && fleet.find("s1")->entryExpiredAt.has_value();
    });
    CHECK(isExpired);
}

TEST_CASE("a follower gets a leaving, a new and a removed backend server from the gateway that watches the list", "[gateway][list]")
{
    Copy watcher;
    Copy follower;
    StoreItem removed{"servers/s1", {}, {0, 12}, true};
    CHECK(publish(watcher, follower, {entryOf("s0", 11, "draining"), removed, entryOf("s2", 13)}, 13));
    CHECK(follower.availabilityOf("s0") == Availability::Leaving);
    CHECK(follower.availabilityOf("s1") == Availability::Count);
    CHECK(follower.availabilityOf("s2") == Availability::Usable);
    CHECK(follower.revision() == 13);
}

TEST_CASE("a change and its reversal between two publications reach the follower in their order", "[gateway][list]")
{
    Copy watcher;
    Copy follower;
    CHECK(publish(watcher, follower, {entryOf("s0", 11, "draining"), entryOf("s0", 12)}, 12));
    CHECK(follower.availabilityOf("s0") == Availability::Usable);
    CHECK(publish(watcher, follower, {entryOf("s0", 13, "draining")}, 13));
    CHECK(follower.availabilityOf("s0") == Availability::Leaving);
}

TEST_CASE("a follower that lacks earlier changes ignores later ones, and stays at the revision that it has", "[gateway][list]")
{
    Copy watcher;
    Copy follower;
    watcher.catalog.onStoreChanges(Catalog::Section::Servers, {entryOf("s0", 11, "draining")}, {0, 11});
    CHECK_FALSE(publish(watcher, follower, {entryOf("s1", 12, "draining")}, 12));
    CHECK(follower.revision() == 10);
    CHECK(follower.availabilityOf("s1") == Availability::Usable);
    follower.catalog.onStoreChanges(Catalog::Section::Servers, {entryOf("s0", 11, "draining"), entryOf("s1", 12, "draining")}, {0, 12});
    CHECK(publish(watcher, follower, {entryOf("s1", 13, "draining")}, 13));
    // Changes that this gateway read itself are not reverted by older ones.
    follower.catalog.onStoreChanges(Catalog::Section::Servers, {entryOf("s1", 20)}, {0, 20});
    CHECK_FALSE(publish(watcher, follower, {entryOf("s1", 14, "draining")}, 14));
    CHECK(follower.availabilityOf("s1") == Availability::Usable);
}

TEST_CASE("cold zone return: a cold server's remaining time reaches the follower with each report", "[gateway][list]")
{
    Copy watcher;
    Copy follower;
    CHECK(publish(watcher, follower, {entryOf("s0", 11, "ready", 5000)}, 11));
    CHECK(follower.availabilityOf("s0") == Availability::Cold);
    CHECK(publish(watcher, follower, {entryOf("s0", 12, "ready", 3000)}, 12));
    CHECK(follower.availabilityOf("s0") == Availability::Cold);
    CHECK(publish(watcher, follower, {entryOf("s0", 13)}, 13));
    CHECK(follower.availabilityOf("s0") == Availability::Usable);
}

TEST_CASE("a server that may have restarted is used again once the watching gateway has seen a further report", "[gateway][list]")
{
    Copy watcher;
    Copy follower;
    follower.dispatcher.withFleet([](gateway::Fleet &fleet, core::MonotonicTime) {
        fleet.find("s0")->isColdUntilReport = true;
    });
    CHECK(follower.availabilityOf("s0") == Availability::Cold);
    CHECK(publish(watcher, follower, {entryOf("s0", 11)}, 11));
    CHECK(follower.availabilityOf("s0") == Availability::Usable);
}

TEST_CASE("entries that lapse in an outage that only the watching gateway has noticed are kept for the grace period", "[gateway][list]")
{
    Copy watcher;
    Copy follower;
    loseStore(watcher);
    StoreItem lapsed{"servers/s1", {}, {0, 12}, true};
    CHECK(publish(watcher, follower, {lapsed}, 12));
    CHECK(watcher.availabilityOf("s1") == Availability::Usable);
    CHECK(follower.availabilityOf("s1") == Availability::Usable);
}

// Guards against a leaving server that the watching gateway knew before its followers: it listed a later page after the revision that its copy has.
TEST_CASE("a change that the watching gateway has from a later page of its list reaches the follower", "[gateway][list]")
{
    Copy watcher;
    Copy follower;
    watcher.catalog.onStoreList(Catalog::Section::Servers, {{entryOf("s0", 3), entryOf("s1", 13, "draining")}, {0, 12}});
    follower.catalog.onStoreChanges(Catalog::Section::Servers, {}, {0, 12});
    CHECK(publish(watcher, follower, {entryOf("s1", 13, "draining")}, 14));
    CHECK(watcher.availabilityOf("s1") == Availability::Leaving);
    CHECK(follower.availabilityOf("s1") == Availability::Leaving);
}

TEST_CASE("malformed changes of the list are rejected", "[gateway][list]")
{
    CHECK_FALSE(gateway::decodeListDelta(""));
    CHECK_FALSE(gateway::decodeListDelta("\xff\xff\xff"));
    wire::ListUpdate message;
    message.set_base_revision(5);
    message.set_revision(4);
    CHECK_FALSE(gateway::decodeListDelta(message.SerializeAsString()));
    message.set_revision(5);
    CHECK(gateway::decodeListDelta(message.SerializeAsString()));
    for (int i = 0; i < 2000; ++i) {
        message.add_pass_to("10.0.0.1:1");
    }
    CHECK_FALSE(gateway::decodeListDelta(message.SerializeAsString()));
}

namespace {

StoreItem entryIn(std::uint64_t era, const std::string &id, std::uint64_t revision, const std::string &state = "ready")
{
    auto item = entryOf(id, revision, state);
    item.position.era = era;
    return item;
}

StoreItem configurationIn(std::uint64_t era, std::uint64_t revision, int version)
{
    const auto text = R"({"version":)" + std::to_string(version)
        + R"(,"routes":[],"services":[],"tenants":[],"limits":{"max_header_bytes":8192,"max_body_bytes":1000000,"header_timeout_ms":5000,"idle_timeout_ms":60000}})";
    return {"op/config", text, {era, revision}, false};
}

} // namespace

// Guards against changes of one history that are applied to a copy of another one.
TEST_CASE("restored store: changes of the list follow on a copy of their own era only", "[gateway][list][era]")
{
    Copy watcher;
    Copy follower;
    watcher.catalog.onStoreList(Catalog::Section::Servers, {{entryIn(1, "s0", 3), entryIn(1, "s1", 4)}, {1, 9}});
    CHECK_FALSE([&] {
        const std::vector<StoreItem> changes{entryIn(1, "s0", 10, "draining")};
        const auto delta = gateway::decodeListDelta(gateway::encodeListDelta(watcher.catalog.reduceServerChanges(changes, {1, 10})));
        REQUIRE(delta);
        CHECK(delta->base == member::StorePosition(1, 9));
        CHECK(delta->position == member::StorePosition(1, 10));
        return follower.catalog.onPeerListDelta(*delta);
    }());
    CHECK(follower.availabilityOf("s0") == Availability::Usable);
    // The other way: a gateway of the new era gets changes of the ended one.
    const auto late = follower.catalog.reduceServerChanges({entryOf("s0", 11, "draining")}, {0, 11});
    CHECK_FALSE(watcher.catalog.onPeerListDelta(late));
    CHECK(watcher.availabilityOf("s0") == Availability::Usable);
    CHECK(watcher.catalog.position(Catalog::Section::Servers) == member::StorePosition(1, 9));
}

// Guards against a peer of the version before, or one that is cut off, that brings the ended era back.
TEST_CASE("restored store: a copy without an era, or of an earlier one, never replaces a copy of a later one", "[gateway][list][era]")
{
    Copy copy;
    copy.catalog.onStoreList(Catalog::Section::Servers, {{entryIn(2, "s0", 3)}, {2, 9}});
    wire::ItemCopy older; /* as a gateway sends it that does not know eras */
    older.set_revision(1000);
    auto *entry = older.add_items();
    entry->set_key("servers/s9");
    entry->set_value(entryOf("s9", 1000).value);
    entry->set_revision(1000);
    const auto snapshot = gateway::decodeSnapshot(older.SerializeAsString());
    REQUIRE(snapshot);
    copy.catalog.onPeerSnapshot(Catalog::Section::Servers, snapshot->snapshot, snapshot->storeUptime);
    CHECK(copy.availabilityOf("s9") == Availability::Count);
    CHECK(copy.catalog.position(Catalog::Section::Servers) == member::StorePosition(2, 9));
    // Its own copy keeps its era on the wire.
    const auto sent = gateway::decodeSnapshot(gateway::encodeSnapshot({copy.catalog.snapshot(Catalog::Section::Servers), {}, {}}));
    REQUIRE(sent);
    CHECK(sent->snapshot.position == member::StorePosition(2, 9));
    CHECK(sent->snapshot.items.front().position == member::StorePosition(2, 3));
}

// Guards against peers that do not learn of a new era as its list holds no change, or nothing at all.
TEST_CASE("restored store: the position that a gateway tells its peers rises with the era, whatever the list holds", "[gateway][list][era]")
{
    Copy copy;
    auto equal = copy.catalog.snapshot(Catalog::Section::Servers);
    equal.position = {1, 8};
    for (auto &item : equal.items) {
        item.position.era = 1;
    }
    copy.catalog.onStoreList(Catalog::Section::Servers, equal);
    CHECK(copy.catalog.changePosition(Catalog::Section::Servers) == member::StorePosition(1, 4));
    copy.catalog.onStoreList(Catalog::Section::Servers, {{}, {2, 5}});
    CHECK(copy.catalog.changePosition(Catalog::Section::Servers).era == 2);
    CHECK(copy.catalog.era() == 2);
}

// Guards against an answer of a dead history that arrives late, and against calls that go on from a position that the store no longer knows.
TEST_CASE("restored store: once a later era is known, answers of the earlier one are ignored and the section is to be listed", "[gateway][list][era]")
{
    Copy copy;
    CHECK_FALSE(copy.catalog.timeWithoutEra(Catalog::Section::Servers));
    CHECK(copy.catalog.onStoreEra(3, "peer"));
    CHECK_FALSE(copy.catalog.onStoreEra(2, "store"));
    CHECK(copy.catalog.timeWithoutEra(Catalog::Section::Servers));
    CHECK(copy.catalog.watchPosition(Catalog::Section::Servers) == member::StorePosition(3, 0));
    copy.catalog.onStoreChanges(Catalog::Section::Servers, {entryOf("s0", 11, "draining")}, {0, 11});
    copy.catalog.onStoreList(Catalog::Section::Servers, {{entryIn(2, "s0", 12, "draining")}, {2, 12}});
    copy.catalog.onStoreChanges(Catalog::Section::Servers, {entryIn(3, "s0", 12, "draining")}, {3, 12});
    CHECK(copy.availabilityOf("s0") == Availability::Usable);
    copy.catalog.onStoreList(Catalog::Section::Servers, {{entryIn(3, "s0", 3, "draining")}, {3, 7}});
    CHECK(copy.availabilityOf("s0") == Availability::Leaving);
    CHECK(copy.catalog.watchPosition(Catalog::Section::Servers) == member::StorePosition(3, 7));
    CHECK_FALSE(copy.catalog.timeWithoutEra(Catalog::Section::Servers));
}

// Guards against requests that are handled by a configuration older than one already in effect, as the restored store holds one.
TEST_CASE("restored store: an older configuration of a later era never replaces a newer one in effect", "[gateway][list][era]")
{
    Copy copy;
    const auto version = [&copy] {
        const auto routes = copy.dispatcher.routes();
        return routes == nullptr ? std::uint64_t(0) : static_cast<std::uint64_t>(routes->routing().version);
    };
    copy.catalog.onStoreList(Catalog::Section::OperatorConfig, {{configurationIn(1, 40, 15)}, {1, 50}});
    REQUIRE(version() == 15);
    copy.catalog.onStoreList(Catalog::Section::OperatorConfig, {{configurationIn(2, 30, 12)}, {2, 31}});
    CHECK(version() == 15);
    CHECK(copy.catalog.position(Catalog::Section::OperatorConfig) == member::StorePosition(2, 31));
    copy.catalog.onStoreChanges(Catalog::Section::OperatorConfig, {configurationIn(2, 32, 15)}, {2, 32});
    CHECK(version() == 15);
    copy.catalog.onStoreChanges(Catalog::Section::OperatorConfig, {configurationIn(2, 33, 17)}, {2, 33});
    CHECK(version() == 17);
}

// Guards against a gateway of the version before whose revisions count as later than those of a restored store, and against one that cannot read the messages.
TEST_CASE("restored store: the positions of an update and of totals are of era 0 if their sender names no era", "[gateway][list][era]")
{
    wire::GatewayNews update;
    update.set_operator_revision(900);
    update.set_server_revision(901);
    const auto older = gateway::storeReportIn(update);
    CHECK(older.operatorPosition == member::StorePosition(0, 900));
    CHECK(older.serverPosition < member::StorePosition(1, 1));
    CHECK_FALSE(older.routingVersion);
    gateway::setStoreReport(update, {{2, 10}, {3, 11}, 0});
    wire::GatewayNews received;
    REQUIRE(received.ParseFromString(update.SerializeAsString()));
    const auto report = gateway::storeReportIn(received);
    CHECK(report.operatorPosition == member::StorePosition(2, 10));
    CHECK(report.serverPosition == member::StorePosition(3, 11));
    CHECK(report.routingVersion == 0U);
    CHECK(received.operator_revision() == 10);
    wire::ZoneTotals totals;
    gateway::setStoreReport(totals, {{2, 10}, {3, 11}, 7});
    CHECK(gateway::storeReportIn(totals).serverPosition == member::StorePosition(3, 11));
    CHECK(gateway::storeReportIn(totals).routingVersion == 7U);
}
