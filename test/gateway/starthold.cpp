#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/starthold.h>
#include <cyclamenspool/gateway/startqueue.h>

#include <memory>
#include <optional>
#include <vector>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using gateway::StartFacts;
using gateway::StartHold;
using gateway::StartOutlook;
using gateway::StartQueue;

namespace {

const core::MonotonicTime start = core::MonotonicTime() + 1h;

/** @brief A hold of a gateway that starts, for three requests and 1,000 bytes. */
StartHold startingHold()
{
    StartHold hold;
    hold.setLimits({3, 1000});
    hold.setOutlook(StartOutlook::Pending);
    return hold;
}

/** @brief Returns the tickets that go on at a time, in their order. */
std::vector<StartHold::Ticket> takeAll(StartHold &hold, core::MonotonicTime now)
{
    std::vector<StartHold::Ticket> tickets;
    while (const auto ticket = hold.takeNext(now)) {
        tickets.push_back(*ticket);
    }
    return tickets;
}

} // namespace

TEST_CASE("start hold: held requests go on in the order in which they came, before any later one", "[gateway][start]")
{
    auto hold = startingHold();
    const auto first = hold.hold({start, 10s, 100}, start);
    const auto second = hold.hold({start, 2500ms, 100}, start);
    REQUIRE(first);
    REQUIRE(second);
    CHECK_FALSE(hold.takeNext(start + 1ms));
    hold.setOutlook(StartOutlook::Known);
    CHECK(hold.nextDue(start + 2ms) == start + 2ms);
    const auto third = hold.hold({start, 10s, 100}, start + 2ms);
    REQUIRE(third);
    CHECK(takeAll(hold, start + 2ms) == std::vector{*first, *second, *third});
    CHECK_FALSE(hold.isHolding());
    CHECK_FALSE(hold.hold({start, 10s, 100}, start + 3ms));
}

// Guards against a caller that leaves, or has no time left to come back, while its request is held.
TEST_CASE("start hold: a request is held for three tenths of its caller's time, and at most 1 s", "[gateway][start]")
{
    auto hold = startingHold();
    const auto patient = hold.hold({start, 12s, 100}, start);
    const auto hurried = hold.hold({start, 600ms, 100}, start);
    const auto unnamed = hold.hold({start, std::nullopt, 100}, start);
    REQUIRE((patient && hurried && unnamed));
    CHECK(hold.nextDue(start) == start + 180ms);
    CHECK(takeAll(hold, start + 179ms).empty());
    CHECK(takeAll(hold, start + 180ms) == std::vector{*hurried});
    CHECK(takeAll(hold, start + 300ms) == std::vector{*unnamed});
    CHECK(takeAll(hold, start + 999ms).empty());
    CHECK(takeAll(hold, start + 1s) == std::vector{*patient});
    CHECK_FALSE(hold.hold({start, 600ms, 100}, start + 180ms)); /* its headers took so long */
}

// Guards against memory that a herd of callers fills, and against places that those who have left keep.
TEST_CASE("start hold: the number and the bytes of held requests are bounded, and free again once a caller leaves", "[gateway][start]")
{
    auto hold = startingHold();
    const auto first = hold.hold({start, 10s, 900}, start);
    REQUIRE(first);
    CHECK_FALSE(hold.hold({start, 10s, 101}, start));
    REQUIRE(hold.hold({start, 10s, 50}, start));
    REQUIRE(hold.hold({start, 10s, 50}, start));
    CHECK_FALSE(hold.hold({start, 10s, 0}, start));
    hold.remove(*first);
    hold.remove(*first);
    CHECK(hold.count() == 2);
    CHECK(hold.hold({start, 10s, 900}, start));
    CHECK_FALSE(StartHold().hold({start, 10s, 1}, start));
}

TEST_CASE("start hold: nothing is held while nobody can say when the routing will be known", "[gateway][start]")
{
    auto hold = startingHold();
    const auto held = hold.hold({start, 10s, 100}, start);
    REQUIRE(held);
    hold.setOutlook(StartOutlook::Away);
    CHECK(takeAll(hold, start) == std::vector{*held});
    CHECK_FALSE(hold.hold({start, 10s, 100}, start));
    hold.setOutlook(StartOutlook::Pending);
    CHECK(hold.hold({start, 10s, 100}, start));
}

TEST_CASE("start outlook: what the store or a peer may still supply is waited for, what nobody can supply is not", "[gateway][start]")
{
    StartFacts facts;
    CHECK(outlookOf(facts) == StartOutlook::Pending); /* the store may answer */
    facts.uptime = 1s;
    CHECK(outlookOf(facts) == StartOutlook::Away);
    facts.isRoutingAwaited = true;
    CHECK(outlookOf(facts) == StartOutlook::Pending);
    facts.uptime = 10ms;
    facts.hasStoreFailed = true;
    CHECK(outlookOf(facts) == StartOutlook::Pending);
    facts.isRoutingAwaited = false;
    CHECK(outlookOf(facts) == StartOutlook::Away);
    facts.isPeerRunning = true;
    CHECK(outlookOf(facts) == StartOutlook::Away);
    facts.isRoutingInForce = true;
    CHECK(outlookOf(facts) == StartOutlook::Pending); /* the peer gives its list of servers too */
    facts.uptime = 1s;
    CHECK(outlookOf(facts) == StartOutlook::Known); /* refused as without a server */
    facts = {};
    facts.isRoutingInForce = true;
    CHECK(outlookOf(facts) == StartOutlook::Pending);
    facts.isListKnown = true;
    CHECK(outlookOf(facts) == StartOutlook::Known);
}

// Guards against a request that goes on twice, or after its caller has left.
TEST_CASE("start queue: a request goes on once, and not after its place is gone", "[gateway][start]")
{
    boost::asio::io_context context;
    std::vector<int> resumed;
    std::unique_ptr<StartQueue::Place> second;
    auto queue = std::make_unique<StartQueue>(context);
    CHECK_FALSE(queue->isHolding());
    queue->begin({10, 1000});
    const auto hold = [&](int number, core::Milliseconds timeout) {
        return queue->hold({std::chrono::steady_clock::now(), timeout, 10}, [&resumed, number, &second] {
            resumed.push_back(number);
            second.reset(); /* the first one's handler ends the second one */
        });
    };
    const auto first = hold(1, 10s);
    second = hold(2, 10s);
    const auto third = hold(3, 10s);
    const auto hurried = hold(4, 50ms);
    REQUIRE((first && second && third && hurried));
    SECTION("in order, once the outlook is known")
    {
        queue->setOutlook(StartOutlook::Known);
        context.run_for(5s); /* returns once nothing is left to do */
        CHECK(resumed == std::vector{1, 3, 4});
        CHECK_FALSE(hold(5, 10s));
    }
    SECTION("at its own limit")
    {
        const auto limit = std::chrono::steady_clock::now() + 5s;
        while (resumed.empty() && std::chrono::steady_clock::now() < limit) {
            context.restart();
            context.run_for(5ms);
        }
        CHECK(resumed == std::vector{4});
    }
    queue.reset(); /* the places may outlive it */
}
