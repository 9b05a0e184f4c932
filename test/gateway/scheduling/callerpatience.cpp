#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/scheduling/callerpatience.h>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using gateway::scheduling::CallerPatience;

TEST_CASE("a caller that returns states less time than others, and is taken to have spent the rest", "[gateway][scheduling]")
{
    CallerPatience patience;
    const auto start = core::MonotonicTime() + 1h;
    CHECK(patience.spentBefore(4000ms, start) == 0ms);
    CHECK(patience.spentBefore(2700ms, start + 1300ms) == 1300ms);
    CHECK(patience.spentBefore(4000ms, start + 2s) == 0ms);
}

TEST_CASE("a time limit that no caller states any longer is forgotten", "[gateway][scheduling]")
{
    CallerPatience patience;
    const auto start = core::MonotonicTime() + 1h;
    CHECK(patience.spentBefore(4000ms, start) == 0ms);
    CHECK(patience.spentBefore(3000ms, start + 11s) == 1000ms);
    CHECK(patience.spentBefore(3000ms, start + 22s) == 0ms);
    CHECK(patience.spentBefore(3000ms, start + 60s) == 0ms);
}
