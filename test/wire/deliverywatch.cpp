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

// Guards against a sound peer that sends for long before it reads, and is taken for gone.
TEST_CASE("bytes received from a peer that acknowledges nothing are progress", "[wire]")
{
    const core::MonotonicTime start{1h};
    wire::DeliveryWatch watch;
    CHECK(watch.isPending(1000, start, 2500ms));
    watch.onReceived(start + 2400ms);
    CHECK(watch.isPending(1000, start + 4800ms, 2500ms));
    CHECK_FALSE(watch.isPending(1000, start + 4900ms, 2500ms));
}
