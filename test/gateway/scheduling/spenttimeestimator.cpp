#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/scheduling/spenttimeestimator.h>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using gateway::scheduling::SpentTimeEstimator;

TEST_CASE("a caller that returns states less time than others, and is taken to have spent the rest", "[gateway][scheduling]")
{
    SpentTimeEstimator spentTime;
    const auto start = core::MonotonicTime() + 1h;
    CHECK(spentTime.spentBefore(4000ms, start) == 0ms);
    CHECK(spentTime.spentBefore(2700ms, start + 1300ms) == 1300ms);
    CHECK(spentTime.spentBefore(4000ms, start + 2s) == 0ms);
}

TEST_CASE("a time limit that no caller states any longer is forgotten", "[gateway][scheduling]")
{
    SpentTimeEstimator spentTime;
    const auto start = core::MonotonicTime() + 1h;
    CHECK(spentTime.spentBefore(4000ms, start) == 0ms);
    CHECK(spentTime.spentBefore(3000ms, start + 11s) == 1000ms);
    CHECK(spentTime.spentBefore(3000ms, start + 22s) == 0ms);
    CHECK(spentTime.spentBefore(3000ms, start + 60s) == 0ms);
}
