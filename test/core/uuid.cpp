#include <catch2/catch.hpp>

#include <cyclamenspool/core/uuid.h>

using namespace cyclamenspool::core;

TEST_CASE("the creation time of a version 7 UUID can be read back", "[core]")
{
    RandomSource random(GENERATE(1, 2, 3));
    const auto time = WallTime(Milliseconds(1796351932015));
    const auto text = makeUuid7(time, random);
    REQUIRE(text.size() == 36);
    REQUIRE(uuid7Time(text).has_value());
    CHECK(*uuid7Time(text) == time);
    CHECK(makeUuid7(time, random) != text);
}

TEST_CASE("a text that is not a version 7 UUID has no creation time", "[core]")
{
    const std::string text = GENERATE("", "booking-17", "f47ac10b-58cc-4372-a567-0e02b2c3d479", "zzzzzzzz-58cc-7372-a567-0e02b2c3d479");
    CHECK_FALSE(uuid7Time(text).has_value());
}
