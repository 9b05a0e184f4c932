#include <catch2/catch.hpp>

#include <cyclamenspool/member/storereplica.h>

#include <cyclamenspool/core/random.h>

#include <map>
#include <string>
#include <vector>

using cyclamenspool::member::StoreItem;
using cyclamenspool::member::StoreReplica;
using cyclamenspool::member::StoreSnapshot;

TEST_CASE("each change is applied once and older changes and snapshots are ignored", "[member][mirror]")
{
    StoreReplica replica;
    CHECK(replica.replace({{{"a", "1", 3, false}, {"b", "1", 4, false}}, 5}).size() == 2);
    CHECK(replica.merge({{"a", "2", 6, false}}, 6).size() == 1);
    CHECK(replica.merge({{"a", "1", 3, false}}, 6).empty());
    CHECK(replica.replace({{{"a", "1", 3, false}}, 5}).empty());
    CHECK(replica.toSnapshot().items.size() == 2);
    CHECK(replica.revision() == 6);
}

TEST_CASE("a snapshot deletes missing items except those newer than its revision", "[member][mirror]")
{
    StoreReplica replica;
    static_cast<void>(replica.replace({{{"a", "1", 3, false}, {"b", "1", 4, false}}, 5}));
    static_cast<void>(replica.merge({{"c", "1", 9, false}}, 6));
    const auto applied = replica.replace({{{"a", "1", 3, false}}, 7});
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
        StoreItem item{key, "v" + std::to_string(revision), ++revision, random.index(3) == 0};
        history.push_back(item);
        if (item.isDeleted) {
            store.erase(key);
        } else {
            store[key] = item;
        }
    };
    const auto eventsAfter = [&](std::uint64_t after) {
        std::vector<StoreItem> events;
        for (const auto &item : history) {
            if (item.revision > after) {
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
            list.revision = revision;
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
            if (copy.revision() > 0) {
                static_cast<void>(copy.merge(eventsAfter(copy.revision()), revision));
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
        if (copy.revision() == 0) {
            continue;
        }
        static_cast<void>(copy.merge(eventsAfter(copy.revision()), revision));
        const auto items = copy.toSnapshot().items;
        CHECK(items.size() == store.size());
        for (const auto &item : items) {
            CHECK(store.count(item.key) == 1);
            CHECK(store[item.key].revision == item.revision);
        }
    }
}
