#include <catch2/catch.hpp>

#include <cyclamenspool/member/storereplica.h>

using cyclamenspool::member::StoreItem;
using cyclamenspool::member::StoreReplica;

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
