#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/routinginquiry.h>

#include <limits>
#include <optional>
#include <string>
#include <vector>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using gateway::RoutingInquiry;

namespace {

const core::MonotonicTime start = core::MonotonicTime() + 1h;
constexpr auto none = std::numeric_limits<std::uint64_t>::max();

/** @brief An inquiry of a gateway that starts and asks two peers. */
RoutingInquiry startedInquiry()
{
    RoutingInquiry inquiry;
    inquiry.start({"a", "b"}, start);
    return inquiry;
}

} // namespace

// Guards against a start with what a restored store holds, before any peer could name the version in force.
TEST_CASE("routing inquiry: a gateway that starts waits for a version that a peer has in force", "[gateway][era]")
{
    auto inquiry = startedInquiry();
    CHECK(inquiry.lowestVersion(start) == none);
    // Peers that start too, or are of the version before, know nothing.
    inquiry.onAnswered("a", GENERATE(std::optional<std::uint64_t>(), std::optional<std::uint64_t>(0)));
    CHECK(inquiry.lowestVersion(start + 1ms) == none);
    inquiry.onAnswered("b", 3);
    CHECK(inquiry.lowestVersion(start + 2ms) == 3);
    inquiry.onAnswered("c", 4);
    inquiry.onAnswered("a", 2); /* still catching up */
    CHECK(inquiry.lowestVersion(start + 3ms) == 4);
    inquiry.onFailed("b");
    CHECK(inquiry.lowestVersion(start + 4ms) == 4);
}

// Guards against a start by a peer's message that was not written for a gateway that starts, and lacks what such a one has to know.
TEST_CASE("routing inquiry: only a reply ends the wait of a gateway that starts, any message names a version", "[gateway][era]")
{
    auto inquiry = startedInquiry();
    static_cast<void>(inquiry.onNamed("c", 3, start));
    CHECK(inquiry.lowestVersion(start + 1ms) == none);
    inquiry.onAnswered("a", 2);
    CHECK(inquiry.lowestVersion(start + 2ms) == 3);
}

// Guards against a start with what a restored store holds, since all seeds start at the same time and know no better.
TEST_CASE("routing inquiry: a running peer that calls a gateway whose seeds all start is asked", "[gateway][era]")
{
    auto inquiry = startedInquiry();
    inquiry.onAnswered("a", 0);
    inquiry.onFailed("b");
    CHECK(inquiry.lowestVersion(start + 299ms) == none);
    CHECK_FALSE(inquiry.onNamed("c", 0, start + 299ms));
    CHECK(inquiry.onNamed("c", 7, start + 299ms));
    CHECK_FALSE(inquiry.onNamed("c", 7, start + 299ms)); /* asked already */
    CHECK(inquiry.lowestVersion(start + 301ms) == none);
    inquiry.onAnswered("c", 7);
    CHECK(inquiry.lowestVersion(start + 302ms) == 7);
    CHECK_FALSE(inquiry.onNamed("d", 8, start + 303ms));
    CHECK_FALSE(RoutingInquiry().onNamed("c", 7, start));
}

// Guards against gateways that wait for each other after all were killed, and against one that waits for a frozen peer or for a document that nobody has.
TEST_CASE("routing inquiry: a gateway starts without a word of its peers once all have failed or know none, or after a second", "[gateway][era]")
{
    CHECK(RoutingInquiry().lowestVersion(start) == 0);
    auto alone = startedInquiry();
    alone.start({}, start);
    CHECK(alone.lowestVersion(start) == 0);
    auto inquiry = startedInquiry();
    inquiry.onFailed("a");
    CHECK(inquiry.lowestVersion(start + 1ms) == none);
    SECTION("the other one starts too")
    {
        inquiry.onAnswered("b", 0);
        CHECK(inquiry.lowestVersion(start + 299ms) == none); /* a running peer may call */
        CHECK(inquiry.lowestVersion(start + 300ms) == 0);
    }
    SECTION("the other one does not answer")
    {
        CHECK(inquiry.lowestVersion(start + 999ms) == none);
        CHECK(inquiry.lowestVersion(start + 1s) == 0);
    }
    SECTION("the other one names a version that no gateway can give")
    {
        inquiry.onAnswered("b", 9);
        CHECK(inquiry.lowestVersion(start + 2999ms) == 9);
        CHECK(inquiry.lowestVersion(start + 3s) == 0);
    }
}

// Guards against a document that each gateway reads from a peer although its own call to the store returns it.
TEST_CASE("routing inquiry: a running gateway asks for a version that no copy holds, one that starts for any", "[gateway][era]")
{
    RoutingInquiry inquiry;
    CHECK(inquiry.isPullDue(3, {2, 2}, false, start));
    CHECK_FALSE(inquiry.isPullDue(3, {2, 2}, true, start));
    CHECK_FALSE(inquiry.isPullDue(3, {3, 3}, false, start));
    CHECK_FALSE(inquiry.isPullDue(0, {0, 0}, false, start));
    CHECK(inquiry.isPullDue(3, {2, 0}, true, start));
    CHECK_FALSE(inquiry.isPullDue(3, {3, 0}, true, start));
}

// Guards against a document that cannot be read here and is asked for with each message, and against a wait for the next version.
TEST_CASE("routing inquiry: a version is asked for again after a time, a higher one at once", "[gateway][era]")
{
    RoutingInquiry inquiry;
    inquiry.onPull(3, start);
    CHECK_FALSE(inquiry.isPullDue(3, {2, 2}, false, start + 999ms));
    CHECK(inquiry.isPullDue(3, {2, 2}, false, start + 1s));
    CHECK(inquiry.isPullDue(4, {2, 2}, false, start + 1ms));
    CHECK_FALSE(inquiry.isPullDue(3, {2, 0}, false, start + 299ms));
    CHECK(inquiry.isPullDue(3, {2, 0}, false, start + 300ms));
}

// Guards against a document of a later software version that each older gateway of a large fleet asks for every second.
TEST_CASE("routing inquiry: a running gateway asks ever more rarely for a version that it cannot read", "[gateway][era]")
{
    RoutingInquiry inquiry;
    auto now = start;
    int pulls = 0;
    for (; now < start + 600s; now += 100ms) {
        for (const std::uint64_t version : {21, 20}) {
            if (inquiry.isPullDue(version, {2, 2}, false, now)) {
                inquiry.onPull(version, now);
                ++pulls;
            }
        }
    }
    CHECK(pulls <= 16); /* after 0, 1, 3, 7, 15, 31, 63 s, then every 60 s */
    CHECK(inquiry.isPullDue(22, {2, 2}, false, now));
    inquiry.onPull(22, now);
    CHECK(inquiry.isPullDue(22, {2, 2}, false, now + 1s));
}

// Guards against a wait for peers that cannot know more than the store has said.
TEST_CASE("routing inquiry: a store that names no era has lost nothing, so that its list ends the wait", "[gateway][era][start]")
{
    auto inquiry = startedInquiry();
    inquiry.onStoreRead(1);
    CHECK(inquiry.lowestVersion(start) == none);
    inquiry.onStoreRead(0);
    CHECK(inquiry.lowestVersion(start) == 0);
    auto named = startedInquiry();
    static_cast<void>(named.onNamed("c", 4, start)); /* written after the store's answer */
    named.onStoreRead(0);
    CHECK(named.lowestVersion(start) == 4);
}

// Guards against a wait for VMs that are gone, which answer no attempt to connect, and against one that ends before a running peer's answer.
TEST_CASE("routing inquiry: peers that cannot be reached are not waited for, unless they have called", "[gateway][era][start]")
{
    auto inquiry = startedInquiry();
    static_cast<void>(inquiry.onNamed("b", 4, start + 200ms));
    CHECK(inquiry.unanswered() == std::vector<std::string>{"a", "b"});
    inquiry.onUnreached("a");
    inquiry.onUnreached("b");
    inquiry.onUnreached("c");
    CHECK(inquiry.unanswered() == std::vector<std::string>{"b"});
    CHECK(inquiry.lowestVersion(start + 300ms) == none);
    inquiry.onAnswered("b", 4);
    CHECK(inquiry.lowestVersion(start + 301ms) == 4);
}

// Guards against a wait that lasts until the next exchange with the peers.
TEST_CASE("routing inquiry: it names the time at which the lowest version changes by itself", "[gateway][era][start]")
{
    auto inquiry = startedInquiry();
    CHECK(inquiry.nextChange(start) == start + 300ms);
    CHECK(inquiry.nextChange(start + 300ms) == start + 1s);
    CHECK_FALSE(inquiry.nextChange(start + 1s));
    inquiry.onAnswered("a", 3);
    CHECK(inquiry.nextChange(start + 1ms) == start + 3s);
    CHECK_FALSE(inquiry.nextChange(start + 3s));
    CHECK_FALSE(RoutingInquiry().nextChange(start));
}
