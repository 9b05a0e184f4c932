#include <catch2/catch.hpp>

#include <cyclamenspool/member/storereplica.h>

#include <cyclamenspool/core/random.h>

#include <map>
#include <string>
#include <vector>

using cyclamenspool::member::StoreItem;
using cyclamenspool::member::StorePosition;
using cyclamenspool::member::StoreReplica;
using cyclamenspool::member::StoreSnapshot;

TEST_CASE("each change is applied once and older changes and snapshots are ignored", "[member][mirror]")
{
    StoreReplica replica;
    CHECK(replica.replace({{{"a", "1", {0, 3}, false}, {"b", "1", {0, 4}, false}}, {0, 5}}).size() == 2);
    CHECK(replica.merge({{"a", "2", {0, 6}, false}}, {0, 6}).size() == 1);
    CHECK(replica.merge({{"a", "1", {0, 3}, false}}, {0, 6}).empty());
    CHECK(replica.replace({{{"a", "1", {0, 3}, false}}, {0, 5}}).empty());
    CHECK(replica.toSnapshot().items.size() == 2);
    CHECK(replica.position() == StorePosition(0, 6));
}

TEST_CASE("a snapshot deletes missing items except those newer than its revision", "[member][mirror]")
{
    StoreReplica replica;
    static_cast<void>(replica.replace({{{"a", "1", {0, 3}, false}, {"b", "1", {0, 4}, false}}, {0, 5}}));
    static_cast<void>(replica.merge({{"c", "1", {0, 9}, false}}, {0, 6}));
    const auto applied = replica.replace({{{"a", "1", {0, 3}, false}}, {0, 7}});
    REQUIRE(applied.size() == 1);
    CHECK(applied.front().key == "b");
    CHECK(applied.front().isDeleted);
    CHECK(replica.toSnapshot().items.size() == 2);
}

TEST_CASE("copies that are updated by lists in pages, watches and peers in any order end like the store", "[member][mirror]")
{
    const auto seed = GENERATE(range(1, 200));
    cyclamenspool::core::RandomSource random(static_cast<std::uint64_t>(seed));
    std::vector<StoreItem> history;
    std::map<std::string, StoreItem> store;
    std::uint64_t revision = 1;
    const auto change = [&] {
        const std::string key = "k" + std::to_string(random.index(6));
        StoreItem item{key, "v" + std::to_string(revision), {0, revision + 1}, random.index(3) == 0};
        ++revision;
        history.push_back(item);
        if (item.isDeleted) {
            store.erase(key);
        } else {
            store[key] = item;
        }
    };
    const auto eventsAfter = [&](const StorePosition &after) {
        std::vector<StoreItem> events;
        for (const auto &item : history) {
            if (item.position > after) {
                events.push_back(item);
            }
        }
        return events;
    };
    std::vector<StoreReplica> copies(3);
    for (int step = 0; step < 60; ++step) {
        auto &copy = copies[random.index(copies.size())];
        switch (random.index(4)) {
        case 0: {
            // The pages of a list are read one after the other; the first one's revision counts.
            StoreSnapshot list;
            list.position = {0, revision};
            for (const std::string key : {"k0", "k1", "k2", "k3", "k4", "k5"}) {
                if (random.index(3) == 0) {
                    change();
                }
                if (store.count(key) > 0) {
                    list.items.push_back(store[key]);
                }
            }
            static_cast<void>(copy.replace(list));
            break;
        }
        case 1:
            if (!copy.position().isEmpty()) {
                static_cast<void>(copy.merge(eventsAfter(copy.position()), {0, revision}));
            }
            break;
        case 2:
            static_cast<void>(copy.replace(copies[random.index(copies.size())].toSnapshot()));
            break;
        default:
            change();
            break;
        }
    }
    for (auto &copy : copies) {
        if (copy.position().isEmpty()) {
            continue;
        }
        static_cast<void>(copy.merge(eventsAfter(copy.position()), {0, revision}));
        const auto items = copy.toSnapshot().items;
        CHECK(items.size() == store.size());
        for (const auto &item : items) {
            CHECK(store.count(item.key) == 1);
            CHECK(store[item.key].position == item.position);
        }
    }
}

// Guards against a gateway that stays on its old copy after a restore, as the store's revisions have gone back.
TEST_CASE("a list of a later era replaces the copy although its revision is lower", "[member][mirror][era]")
{
    StoreReplica replica;
    static_cast<void>(replica.replace({{{"a", "1", {1, 3}, false}, {"b", "1", {1, 4}, false}, {"c", "1", {1, 90}, false}}, {1, 100}}));
    const auto applied = replica.replace({{{"a", "1", {2, 3}, false}, {"b", "0", {2, 2}, false}, {"d", "1", {2, 5}, false}}, {2, 10}});
    CHECK(replica.position() == StorePosition(2, 10));
    std::map<std::string, StoreItem> changes;
    for (const auto &item : applied) {
        changes[item.key] = item;
    }
    CHECK(changes.size() == 3); /* a has the value that it had */
    CHECK(changes["b"].value == "0");
    CHECK(changes["c"].isDeleted);
    CHECK(changes["d"].value == "1");
    CHECK(replica.find("a")->position == StorePosition(2, 3));
    CHECK(replica.find("c") == nullptr);
    // The positions of the new era count from here on.
    CHECK(replica.merge({{"a", "2", {2, 11}, false}}, {2, 11}).size() == 1);
}

// Guards against a peer of an earlier era whose high revisions bring a dead history back.
TEST_CASE("a snapshot or changes of an earlier era never change the copy, however high their revisions are", "[member][mirror][era]")
{
    StoreReplica replica;
    static_cast<void>(replica.replace({{{"a", "new", {2, 3}, false}}, {2, 10}}));
    CHECK(replica.replace({{{"a", "old", {1, 500}, false}, {"b", "old", {1, 501}, false}}, {1, 900}}).empty());
    CHECK(replica.merge({{"a", "old", {1, 500}, false}}, {1, 900}).empty());
    CHECK(replica.position() == StorePosition(2, 10));
    CHECK(replica.items().size() == 1);
    CHECK(replica.find("a")->value == "new");
}

// Guards against changes that are missing for good: the restored store has passed the copy's revision again, so that it answers a watch without 410.
TEST_CASE("changes of a later era are not merged into a copy of an earlier one", "[member][mirror][era]")
{
    StoreReplica replica;
    static_cast<void>(replica.replace({{{"a", "1", {1, 3}, false}}, {1, 10}}));
    CHECK(replica.merge({{"a", "2", {2, 12}, false}}, {2, 12}).empty());
    CHECK(replica.position() == StorePosition(1, 10));
}

// Guards against an empty list of a restored store that leaves the copy's items in force.
TEST_CASE("an empty list of a later era deletes every item", "[member][mirror][era]")
{
    StoreReplica replica;
    static_cast<void>(replica.replace({{{"a", "1", {1, 3}, false}}, {1, 10}}));
    const auto applied = replica.replace({{}, {2, 1}});
    REQUIRE(applied.size() == 1);
    CHECK(applied.front().isDeleted);
    CHECK(replica.items().empty());
}
