#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/scheduling/recentdemand.h>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using gateway::scheduling::RecentDemand;

TEST_CASE("a request is ranked behind the more urgent ones of the last two seconds, with the smallest times among them", "[scheduling]")
{
    const auto start = core::MonotonicTime() + 1h;
    RecentDemand demand;
    CHECK(demand.add(2, {1500ms, 3000ms}, start).moreUrgent == 0);
    CHECK(demand.add(0, {800ms, 4000ms}, start).moreUrgent == 0);
    const auto rank = demand.add(2, {1500ms, 3000ms}, start);
    CHECK(rank.moreUrgent == 1);
    CHECK(rank.least.objective == 800ms);
    CHECK(rank.least.callerWait == 3000ms);
    CHECK(demand.add(2, {1500ms, 3000ms}, start + 2s).moreUrgent == 0);
    CHECK(demand.add(99, {1500ms, 3000ms}, start + 2s).moreUrgent == 1); /* counts as the least urgent */
}
