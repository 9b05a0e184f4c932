#include <catch2/catch.hpp>

#include <cyclamenspool/policy/coldstartramp.h>
#include <cyclamenspool/policy/loadbound.h>
#include <cyclamenspool/policy/modelloadslot.h>

#include <map>

using namespace cyclamenspool;
using policy::AdmissionInput;
using policy::LoadBound;

namespace {

AdmissionInput makeInput(double load, double cost, std::optional<double> mean)
{
    AdmissionInput result;
    result.load = load;
    result.cost = cost;
    result.poolMean = mean;
    result.capacity = 100000;
    result.coldCapacity = 4000;
    result.poolSize = 12;
    return result;
}

} // namespace

TEST_CASE("a request is refused above the load factor times the pool mean", "[policy]")
{
    const LoadBound bound(1.25);
    CHECK(bound.admits(makeInput(12000, 400, 10000)));
    CHECK_FALSE(bound.admits(makeInput(12200, 400, 10000)));
}

TEST_CASE("a request of any size is admitted up to its own cost above the mean", "[policy]")
{
    const LoadBound bound(1.25);
    CHECK(bound.admits(makeInput(10000, 9000, 10000)));
    CHECK_FALSE(bound.admits(makeInput(10001, 9000, 10000)));
}

TEST_CASE("an idle engine admits a request of any size", "[policy]")
{
    CHECK(LoadBound(1.25).admits(makeInput(0, 500000, 1)));
}

TEST_CASE("without an estimated mean the limit is the cold capacity", "[policy]")
{
    const LoadBound bound(1.25);
    CHECK(bound.admits(makeInput(3000, 900, std::nullopt)));
    CHECK_FALSE(bound.admits(makeInput(3500, 900, std::nullopt)));
}

TEST_CASE("three refusals raise a lagging estimate and one does not", "[policy]")
{
    const LoadBound bound(1.25);
    auto one = makeInput(150, 150, 0);
    one.seenLoads = {150};
    CHECK_FALSE(bound.admits(one));
    auto three = one;
    three.seenLoads = {150, 160, 170};
    CHECK(bound.admits(three));
    three.load = 200;
    CHECK_FALSE(bound.admits(three));
}

TEST_CASE("refusals never raise the limit above the capacity", "[policy]")
{
    auto full = makeInput(99900, 200, 99900);
    full.seenLoads = {99900, 99950, 99990};
    CHECK_FALSE(LoadBound(1.25).admits(full));
}

TEST_CASE("the capacity grows linearly during warm-up and restarts at the cold capacity", "[policy]")
{
    using core::Milliseconds;
    const core::MonotonicTime start(std::chrono::hours(1));
    policy::ColdStartRamp ramp(start);
    CHECK(ramp.capacity(start, 100, 1100, Milliseconds(10000)) == Approx(100));
    CHECK(ramp.capacity(start + Milliseconds(5000), 100, 1100, Milliseconds(10000)) == Approx(600));
    CHECK(ramp.capacity(start + Milliseconds(10000), 100, 1100, Milliseconds(10000)) == Approx(1100));
    ramp.restart(start + Milliseconds(20000));
    CHECK(ramp.capacity(start + Milliseconds(20000), 100, 1100, Milliseconds(10000)) == Approx(100));
    CHECK(ramp.isCold(start + Milliseconds(29999), Milliseconds(10000)));
}

TEST_CASE("agents with the same VM list start no more model loads per second than the weight store supports", "[policy]")
{
    constexpr std::size_t vmCount = 50;
    constexpr double rate = 20.0;
    std::map<long, int> startsBySecond;
    for (std::size_t rank = 0; rank < vmCount; ++rank) {
        const policy::ModelLoadSlot slot(rank, vmCount, rate);
        const core::WallTime origin(std::chrono::seconds(1000000));
        const auto start = origin + slot.waitTime(origin);
        CHECK(slot.waitTime(start) == core::Milliseconds(0));
        ++startsBySecond[std::chrono::duration_cast<std::chrono::seconds>(start.time_since_epoch()).count()];
    }
    for (const auto &[second, starts] : startsBySecond) {
        CHECK(starts <= 20);
    }
}
