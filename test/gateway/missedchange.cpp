#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/missedchange.h>
#include <cyclamenspool/gateway/watchpolicy.h>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using gateway::MissedChange;

namespace {

constexpr core::MonotonicTime start{std::chrono::hours(1)};

} // namespace

TEST_CASE("lost answer of a watch: a change that a peer has read is missed once it is overdue, not before", "[gateway][watches]")
{
    MissedChange missed;
    CHECK_FALSE(missed.onPeerPosition({0, 10}, {0, 10}, 750ms, start));
    CHECK_FALSE(missed.onPeerPosition({0, 11}, {0, 10}, 750ms, start + 100ms));
    CHECK_FALSE(missed.onPeerPosition({0, 11}, {0, 10}, 750ms, start + 800ms));
    CHECK(missed.onPeerPosition({0, 11}, {0, 10}, 750ms, start + 850ms));
}

TEST_CASE("answered watch: changes that peers read a little earlier are never missed", "[gateway][watches]")
{
    MissedChange missed;
    for (int i = 0; i < 100; ++i) {
        const auto revision = static_cast<std::uint64_t>(i);
        const auto at = start + i * 500ms;
        CHECK_FALSE(missed.onPeerPosition({0, revision + 1}, {0, revision}, 750ms, at));
        CHECK_FALSE(missed.onPeerPosition({0, revision + 1}, {0, revision + 1}, 750ms, at + 400ms));
    }
}

TEST_CASE("lost answer of a watch: a peer that has missed the change as well does not hide it", "[gateway][watches]")
{
    MissedChange missed;
    CHECK_FALSE(missed.onPeerPosition({0, 11}, {0, 10}, 750ms, start));
    CHECK_FALSE(missed.onPeerPosition({0, 9}, {0, 10}, 750ms, start + 800ms)); /* nothing to be had from this peer */
    CHECK(missed.onPeerPosition({0, 12}, {0, 10}, 750ms, start + 900ms));
    CHECK_FALSE(missed.onPeerPosition({0, 12}, {0, 12}, 750ms, start + 1000ms));
}

TEST_CASE("overdue times lie between the pauses of the watches and the bounds", "[gateway][watches]")
{
    for (const auto bound : {500ms, 2000ms, 4000ms, 6000ms}) {
        const gateway::WatchBounds bounds{bound, bound};
        CHECK(gateway::listOverdueAge(bounds) > gateway::listPause(bounds, false, 0ms));
        CHECK(gateway::configurationOverdueTime(bounds) > gateway::configurationPause(bounds, 0ms));
        CHECK(gateway::listOverdueAge(bounds) < bound * 2 / 3); /* the rest is for the peer's report and its copy */
        CHECK(gateway::configurationOverdueTime(bounds) < bound / 2);
        // A call for the list begins after the pause, so that it counts as unanswered before the copy is overdue for long.
        CHECK(gateway::listPause(bounds, false, 0ms) + gateway::unansweredTime(bounds) < bound * 2 / 3);
    }
}

// Guards against a copy that is taken from a peer of an earlier era, whose revisions are higher.
TEST_CASE("restored store: a peer of an earlier era never shows a missed change, one of a later era does", "[gateway][watches][era]")
{
    MissedChange missed;
    CHECK_FALSE(missed.onPeerPosition({1, 900}, {2, 10}, 750ms, start));
    CHECK_FALSE(missed.onPeerPosition({1, 901}, {2, 10}, 750ms, start + 2s));
    CHECK_FALSE(missed.onPeerPosition({3, 1}, {2, 10}, 750ms, start + 3s));
    CHECK(missed.onPeerPosition({3, 1}, {2, 10}, 750ms, start + 3800ms));
    CHECK_FALSE(missed.onPeerPosition({3, 1}, {3, 1}, 750ms, start + 4s));
}

// Guards against a new era that is waited for as if it were a change that the own call may still return.
TEST_CASE("restored store: the gateway that checks the store lists at once, the others after a check and an update, and well within the bound",
          "[gateway][watches][era]")
{
    for (const auto bound : {500ms, 2000ms, 4000ms, 6000ms}) {
        const gateway::WatchBounds bounds{bound, bound};
        CHECK(gateway::restoredListDelay(bounds, true, 0ms) <= 0ms);
        CHECK(gateway::restoredListDelay(bounds, false, 0ms) > gateway::storeCheckPeriod(bounds));
        CHECK(gateway::restoredListDelay(bounds, false, bound / 2) <= 0ms);
    }
}
