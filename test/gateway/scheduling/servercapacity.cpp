#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/scheduling/servercapacity.h>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using gateway::scheduling::MachinePace;
using gateway::scheduling::PendingPrompts;
using gateway::scheduling::ServerCapacity;

namespace {

const core::MonotonicTime start = core::MonotonicTime() + 1h;

} // namespace

TEST_CASE("only prompts that are at least as urgent are ahead", "[gateway][scheduling]")
{
    PendingPrompts pending;
    pending.add({1000, 0});
    pending.add({300, 1});
    pending.add({50, 99}); /* counts as the least urgent */
    CHECK(pending.upTo(0).tokens == 1000);
    CHECK(pending.upTo(1).tokens == 1300);
    CHECK(pending.upTo(1).requests == 2);
    CHECK(pending.upTo(9).tokens == 1350);
    pending.remove({1000, 0});
    CHECK(pending.upTo(0).requests == 0);
}

TEST_CASE("a reported pace is a sample that counts half at most and ages", "[gateway][scheduling]")
{
    MachinePace pace;
    CHECK(pace.multiple(start) == 1);
    pace.add(2.5, start);
    CHECK(pace.multiple(start) == Approx(1.75));
    CHECK(pace.multiple(start + 500ms) < 1.3);
    CHECK(pace.multiple(start + 5s) == Approx(1).margin(0.001));
}

TEST_CASE("a pace that changes many times a second is averaged", "[gateway][scheduling]")
{
    MachinePace pace;
    for (int i = 0; i < 400; ++i) {
        pace.add(i % 2 == 0 ? 2.0 : 1.0, start + i * 10ms);
    }
    CHECK(pace.multiple(start + 4s) == Approx(1.5).margin(0.05));
}

TEST_CASE("a report without a pace leaves the pace as it was", "[gateway][scheduling]")
{
    ServerCapacity capacity;
    CHECK_FALSE(capacity.latestReport());
    capacity.onReport({3, 1, 64, start}, 2.0);
    capacity.onReport({4, 0, 64, start}, std::nullopt);
    CHECK(capacity.latestReport()->running == 4);
    CHECK(capacity.pace().multiple(start) == Approx(1.5));
}
