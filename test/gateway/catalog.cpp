#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/catalog.h>
#include <cyclamenspool/gateway/peermessages.h>

#include <limits>
#include <string>

using namespace cyclamenspool;
using gateway::Catalog;
using member::StoreItem;

namespace {

constexpr auto section = Catalog::Section::OperatorConfig;

StoreItem routingIn(std::uint64_t era, std::uint64_t revision, int version)
{
    return {"op/config", R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[],"tenants":[]})", {era, revision}, false};
}

/** @brief A gateway's catalog with its dispatcher. */
struct Copy {
    [[nodiscard]] std::uint64_t version() const
    {
        const auto routes = dispatcher.routes();
        return routes == nullptr ? 0 : routes->routing().version;
    }

    /** @brief Replies to a peer that asks for the operator's documents. */
    [[nodiscard]] std::string reply() const
    {
        return gateway::encodeSnapshot({catalog.snapshot(section), {}, catalog.documentsBesideCopy(section)});
    }

    /** @brief Applies another gateway's reply. */
    void receive(const std::string &reply)
    {
        const auto peer = gateway::decodeSnapshot(reply);
        REQUIRE(peer);
        catalog.onPeerDocuments(peer->inForce);
        catalog.onPeerSnapshot(section, peer->snapshot, peer->storeUptime);
    }

    gateway::Dispatcher dispatcher{config::GatewaySettings()};
    Catalog catalog{dispatcher};
};

/** @brief A gateway that has version 3 in force and the copy of a restored store, which holds version 2. */
struct RestoredCopy : Copy {
    RestoredCopy()
    {
        catalog.onStoreList(section, {{routingIn(1, 40, 3)}, {1, 50}});
        catalog.onStoreList(section, {{routingIn(2, 30, 2)}, {2, 31}});
    }
};

} // namespace

// Guards against a gateway that learns the restored copy from a peer, but not what that peer has in force.
TEST_CASE("catalog: a gateway takes over the routing version that a peer has in force beside its copy", "[gateway][era]")
{
    const RestoredCopy known;
    CHECK(known.catalog.routingVersion() == 3);
    Copy started;
    SECTION("without a copy")
    {
    }
    SECTION("with the restored copy")
    {
        started.catalog.onStoreList(section, {{routingIn(2, 30, 2)}, {2, 31}});
        CHECK(started.version() == 2);
    }
    SECTION("with a copy of an era that the peer does not know yet")
    {
        started.catalog.onStoreList(section, {{routingIn(3, 30, 2)}, {3, 31}});
    }
    started.receive(known.reply());
    CHECK(started.version() == 3);
    CHECK(started.catalog.routingVersion() == 3);
    // It can pass the version on itself, and a later one replaces it.
    Copy next;
    next.receive(started.reply());
    CHECK(next.version() == 3);
    const auto position = started.catalog.position(section);
    started.catalog.onStoreChanges(section, {routingIn(position.era, 33, 4)}, {position.era, 33});
    CHECK(started.version() == 4);
    CHECK(started.catalog.documentsBesideCopy(section).empty());
    started.receive(known.reply());
    CHECK(started.version() == 4);
}

// Guards against a document that is sent although the copy holds it.
TEST_CASE("catalog: the document in force is beside the copy only while the copy holds another one, none, or one that cannot be read", "[gateway][era]")
{
    Copy copy;
    CHECK(copy.catalog.documentsBesideCopy(section).empty());
    copy.catalog.onStoreList(section, {{routingIn(1, 40, 3)}, {1, 50}});
    CHECK(copy.catalog.documentsBesideCopy(section).empty());
    CHECK(copy.catalog.documentsBesideCopy(Catalog::Section::Servers).empty());
    copy.catalog.onStoreChanges(section, {{"op/config", "{", {1, 51}, false}}, {1, 51});
    CHECK(copy.catalog.documentsBesideCopy(section).size() == 1);
    copy.catalog.onStoreChanges(section, {{"op/config", {}, {1, 52}, true}}, {1, 52});
    REQUIRE(copy.catalog.documentsBesideCopy(section).size() == 1);
    CHECK(copy.catalog.documentsBesideCopy(section).front().value == routingIn(1, 40, 3).value);
    copy.catalog.onStoreChanges(section, {routingIn(1, 53, 3)}, {1, 53});
    CHECK(copy.catalog.documentsBesideCopy(section).empty());
}

// Guards against a version that is in force for a moment while the gateway still asks its peers, and is named to others.
TEST_CASE("catalog: a version below the lowest one is kept back until that changes, and named to nobody", "[gateway][era]")
{
    Copy started;
    started.catalog.setLowestRouting(std::numeric_limits<std::uint64_t>::max());
    started.catalog.onStoreList(section, {{routingIn(2, 30, 2)}, {2, 31}});
    started.catalog.onStoreList(Catalog::Section::Servers, {{}, {2, 31}});
    CHECK(started.catalog.isComplete());
    CHECK(started.version() == 0);
    CHECK(started.catalog.routingVersion() == 0);
    CHECK(started.catalog.knownRoutingVersion() == 2);
    CHECK(started.catalog.documentsBesideCopy(section).empty());
    SECTION("a peer has a higher version in force")
    {
        started.catalog.setLowestRouting(3);
        CHECK(started.version() == 0);
        started.receive(RestoredCopy().reply());
        CHECK(started.version() == 3);
    }
    SECTION("the higher version is written again")
    {
        started.catalog.setLowestRouting(3);
        started.catalog.onStoreChanges(section, {routingIn(2, 32, 3)}, {2, 32});
        CHECK(started.version() == 3);
    }
    SECTION("no peer has one")
    {
        started.catalog.setLowestRouting(0);
        CHECK(started.version() == 2);
        // Once a version is in force, nothing is kept back.
        started.catalog.setLowestRouting(9);
        started.catalog.onStoreChanges(section, {routingIn(2, 32, 3)}, {2, 32});
        CHECK(started.version() == 3);
    }
}

// Guards against a peer's document that is no routing document, or cannot be read.
TEST_CASE("catalog: of a peer's documents in force, only a routing document that can be read changes anything", "[gateway][era]")
{
    RestoredCopy copy;
    copy.catalog.onPeerDocuments({{"op/config", "{", {}, false},
                                  {"op/config", {}, {}, true},
                                  {"op/evacuate/az-a", "{}", {}, false},
                                  {"servers/s0", "{}", {}, false},
                                  routingIn(0, 0, 2)});
    CHECK(copy.version() == 3);
    CHECK(copy.catalog.position(section) == member::StorePosition(2, 31));
}
