#include <catch2/catch.hpp>

#include <cyclamenspool/member/mirror.h>

using cyclamenspool::member::Item;
using cyclamenspool::member::Mirror;

TEST_CASE("each change is applied once and older changes and snapshots are ignored", "[member][mirror]")
{
    Mirror mirror;
    CHECK(mirror.replace({{{"a", "1", 3, false}, {"b", "1", 4, false}}, 5}).size() == 2);
    CHECK(mirror.merge({{"a", "2", 6, false}}, 6).size() == 1);
    CHECK(mirror.merge({{"a", "1", 3, false}}, 6).empty());
    CHECK(mirror.replace({{{"a", "1", 3, false}}, 5}).empty());
    CHECK(mirror.list().items.size() == 2);
    CHECK(mirror.revision() == 6);
}

TEST_CASE("a snapshot deletes missing items except those newer than its revision", "[member][mirror]")
{
    Mirror mirror;
    static_cast<void>(mirror.replace({{{"a", "1", 3, false}, {"b", "1", 4, false}}, 5}));
    static_cast<void>(mirror.merge({{"c", "1", 9, false}}, 6));
    const auto applied = mirror.replace({{{"a", "1", 3, false}}, 7});
    REQUIRE(applied.size() == 1);
    CHECK(applied.front().key == "b");
    CHECK(applied.front().isDeleted);
    CHECK(mirror.list().items.size() == 2);
}
