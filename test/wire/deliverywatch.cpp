#include <catch2/catch.hpp>

#include <cyclamenspool/wire/deliverywatch.h>

using namespace cyclamenspool;
using namespace std::chrono_literals;

// Guards against a connection that ends while its peer still receives, or stays open for a peer that does not.
TEST_CASE("a connection stays open until its peer has acknowledged all bytes, or none for the longest pause", "[wire]")
{
    const core::MonotonicTime start{1h};
    wire::DeliveryWatch watch;
    CHECK(watch.isPending(1000, start, 5s));
    CHECK(watch.isPending(1000, start + 4s, 5s));
    CHECK(watch.isPending(999, start + 4900ms, 5s));
    CHECK(watch.isPending(999, start + 9s, 5s));
    SECTION("the peer acknowledges the rest")
    {
        CHECK(!watch.isPending(0, start + 9s, 5s));
    }
    SECTION("the peer acknowledges no more")
    {
        CHECK(!watch.isPending(999, start + 9900ms, 5s));
    }
}
