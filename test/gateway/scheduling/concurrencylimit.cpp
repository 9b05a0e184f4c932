#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/scheduling/concurrencylimit.h>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using gateway::scheduling::ConcurrencyLimit;
using gateway::scheduling::ServiceLoad;

namespace {

constexpr ServiceLoad queued{6, 40, 24};
constexpr ServiceLoad unqueued{6, 20, 24};
constexpr core::Milliseconds objective{300};

/** @brief A limit with a clock. */
struct Control {
    void respond(core::Milliseconds time, const ServiceLoad &load, int count = 1)
    {
        for (int i = 0; i < count; ++i) {
            now += 10ms;
            limit.onResponse(time, objective, load, now);
        }
    }

    void arrive(const ServiceLoad &load, int count, bool isNew = true)
    {
        for (int i = 0; i < count; ++i) {
            limit.onDemand(load, isNew, now);
        }
    }

    ConcurrencyLimit limit;
    core::MonotonicTime now = core::MonotonicTime() + 1h;
};

} // namespace

TEST_CASE("no limit takes effect while responses are in time", "[gateway][scheduling]")
{
    Control control;
    control.respond(140ms, queued, 50);
    CHECK_FALSE(control.limit.limit());
}

TEST_CASE("slow servers without a queue are not limited", "[gateway][scheduling]")
{
    Control control;
    control.respond(60ms, unqueued, 10);
    control.respond(280ms, unqueued, 50);
    CHECK_FALSE(control.limit.limit());
}

TEST_CASE("slow servers with a queue too short for their response times are not limited", "[gateway][scheduling]")
{
    Control control;
    control.respond(60ms, unqueued, 10);
    control.respond(200ms, {6, 30, 24}, 50);
    CHECK_FALSE(control.limit.limit());
}

TEST_CASE("a single slow server among several is not limited", "[gateway][scheduling]")
{
    Control control;
    control.respond(60ms, queued, 10);
    for (int i = 0; i < 20; ++i) {
        control.respond(60ms, queued, 3);
        control.respond(900ms, queued);
    }
    CHECK_FALSE(control.limit.limit());
}

TEST_CASE("a service that always takes most of its objective is not limited at its usual pace", "[gateway][scheduling]")
{
    Control control;
    control.respond(270ms, unqueued, 10);
    control.respond(270ms, queued, 50);
    CHECK_FALSE(control.limit.limit());
}

TEST_CASE("a queue at the servers that uses up the objective brings the limit into effect, and more of it lowers the limit to 1 at least",
          "[gateway][scheduling]")
{
    Control control;
    control.respond(60ms, unqueued, 10);
    control.respond(250ms, queued, 6);
    REQUIRE(control.limit.limit());
    CHECK(*control.limit.limit() < queued.own);
    control.respond(400ms, {1, 40, 24}, 200);
    CHECK(*control.limit.limit() == 1);
}

TEST_CASE("a rejection brings the limit into effect at once, but not where the servers have slots left", "[gateway][scheduling]")
{
    Control control;
    control.limit.onRejected(unqueued, control.now);
    CHECK_FALSE(control.limit.limit());
    control.limit.onRejected(queued, control.now);
    CHECK(control.limit.limit() == 4);
}

TEST_CASE("the limit rises with the arrivals that find it reached, while responses are in time", "[gateway][scheduling]")
{
    Control control;
    control.limit.onRejected(queued, control.now);
    REQUIRE(control.limit.limit() == 4);
    control.arrive(queued, 20);
    CHECK(control.limit.limit() == 4); /* nothing is known of responses since */
    control.respond(60ms, queued, 4);
    control.arrive({1, 40, 24}, 20);
    CHECK(control.limit.limit() == 4); /* not reached */
    control.arrive(queued, 60);
    CHECK(control.limit.limit() == 5);
    control.arrive(queued, 100, false);
    CHECK(control.limit.limit() == 5); /* waiting requests that are decided anew are no further demand */
}

TEST_CASE("the limit follows a loss of slots at once", "[gateway][scheduling]")
{
    Control control;
    control.limit.onRejected(queued, control.now);
    control.limit.onDemand({4, 40, 12}, false, control.now);
    CHECK(control.limit.limit() == 2);
}

TEST_CASE("the limit ends when it has not been reached for 2 s", "[gateway][scheduling]")
{
    Control control;
    control.limit.onRejected(queued, control.now);
    control.limit.onDemand({1, 4, 24}, true, control.now + 1900ms);
    CHECK(control.limit.limit());
    control.limit.onDemand({1, 4, 24}, true, control.now + 2100ms);
    CHECK_FALSE(control.limit.limit());
}
