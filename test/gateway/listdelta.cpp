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
    return {"servers/" + id, text, revision, false};
}

/** @brief A gateway's copy of the list with the servers s0 and s1, at revision 10. */
struct Copy {
    Copy()
    {
        catalog.onStoreList(Catalog::Section::Servers, {{entryOf("s0", 3), entryOf("s1", 4)}, 10});
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
        return catalog.revision(Catalog::Section::Servers);
    }

    gateway::Dispatcher dispatcher{config::GatewaySettings()};
    Catalog catalog{dispatcher};
};

/** @brief Reads changes at one gateway and applies what it publishes at another one. @return True if the other one applied them. */
bool publish(Copy &watcher, Copy &follower, const std::vector<StoreItem> &changes, std::uint64_t revision)
{
    const auto bytes = gateway::encodeListDelta(watcher.catalog.reduceServerChanges(changes, revision));
    watcher.catalog.onStoreChanges(Catalog::Section::Servers, changes, revision);
    const auto delta = gateway::decodeListDelta(bytes);
    REQUIRE(delta);
    return follower.catalog.onPeerListDelta(*delta);
}

/** @brief Plays an outage of the store at the only gateway that calls it. */
void loseStore(Copy &watcher)
{
    watcher.catalog.onStoreFailure(Catalog::Section::Servers, "reset");
    std::this_thread::sleep_for(1600ms); /* longer than the gap between answers of one uptime */
    watcher.catalog.onStoreChanges(Catalog::Section::Servers, {}, 10);
}

} // namespace

TEST_CASE("hundreds of gateways: one report of each server is a few bytes for the gateways that do not watch the list", "[gateway][list]")
{
    Copy watcher;
    std::vector<StoreItem> items;
    for (int i = 0; i < 180; ++i) {
        items.push_back(entryOf("server-" + std::to_string(i), 20));
    }
    watcher.catalog.onStoreChanges(Catalog::Section::Servers, items, 20);
    for (auto &item : items) {
        item = entryOf(item.key.substr(8), 30);
    }
    const auto delta = watcher.catalog.reduceServerChanges(items, 30);
    CHECK(delta.items.empty());
    CHECK(delta.isReportedAllBut);
    CHECK(gateway::encodeListDelta(delta).size() < 100);
    member::StoreReplica copy;
    static_cast<void>(copy.replace({items, 30}));
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
    watcher.catalog.onStoreList(Catalog::Section::Servers, {items, 20});
    std::vector<StoreItem> changes;
    for (int i = 0; i < reporting; ++i) {
        changes.push_back(entryOf("server-" + std::to_string(i), 30));
    }
    changes.push_back(entryOf("server-179", 31, "draining"));
    changes.push_back(entryOf("new", 32, "ready", 3000));
    const auto bytes = gateway::encodeListDelta(watcher.catalog.reduceServerChanges(changes, 32));
    CHECK(bytes.size() < 90 * 6 + 800);
    const auto delta = gateway::decodeListDelta(bytes);
    REQUIRE(delta);
    Copy follower;
    follower.catalog.onStoreList(Catalog::Section::Servers, {items, 20});
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
    CHECK(publish(watcher, follower, {{"servers/s1", {}, 12, true}}, 12));
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
    StoreItem removed{"servers/s1", {}, 12, true};
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
    watcher.catalog.onStoreChanges(Catalog::Section::Servers, {entryOf("s0", 11, "draining")}, 11);
    CHECK_FALSE(publish(watcher, follower, {entryOf("s1", 12, "draining")}, 12));
    CHECK(follower.revision() == 10);
    CHECK(follower.availabilityOf("s1") == Availability::Usable);
    follower.catalog.onStoreChanges(Catalog::Section::Servers, {entryOf("s0", 11, "draining"), entryOf("s1", 12, "draining")}, 12);
    CHECK(publish(watcher, follower, {entryOf("s1", 13, "draining")}, 13));
    // Changes that this gateway read itself are not reverted by older ones.
    follower.catalog.onStoreChanges(Catalog::Section::Servers, {entryOf("s1", 20)}, 20);
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
    StoreItem lapsed{"servers/s1", {}, 12, true};
    CHECK(publish(watcher, follower, {lapsed}, 12));
    CHECK(watcher.availabilityOf("s1") == Availability::Usable);
    CHECK(follower.availabilityOf("s1") == Availability::Usable);
}

// Guards against a leaving server that the watching gateway knew before its followers: it listed a later page after the revision that its copy has.
TEST_CASE("a change that the watching gateway has from a later page of its list reaches the follower", "[gateway][list]")
{
    Copy watcher;
    Copy follower;
    watcher.catalog.onStoreList(Catalog::Section::Servers, {{entryOf("s0", 3), entryOf("s1", 13, "draining")}, 12});
    follower.catalog.onStoreChanges(Catalog::Section::Servers, {}, 12);
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
