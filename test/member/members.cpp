#include <catch2/catch.hpp>

#include <cyclamenspool/member/meanestimator.h>
#include <cyclamenspool/member/suspectlist.h>
#include <cyclamenspool/member/watchduty.h>

#include <cyclamenspool/core/random.h>

using namespace cyclamenspool;
using core::Milliseconds;

namespace {

core::Now timeAt(long millis)
{
    const auto epoch = Milliseconds(3600000);
    return {core::MonotonicTime(epoch + Milliseconds(millis)), core::WallTime(epoch + Milliseconds(millis))};
}

} // namespace

TEST_CASE("pairwise averaging converges to the mean load of a pool", "[member]")
{
    const auto seed = GENERATE(1, 2, 3);
    core::RandomSource random(static_cast<std::uint64_t>(seed));
    constexpr std::size_t count = 50;
    std::vector<std::unique_ptr<member::MeanEstimator>> estimators;
    double sum = 0;
    for (std::size_t i = 0; i < count; ++i) {
        estimators.push_back(member::makePairwiseEstimator({}));
        const double load = 1000.0 * random.uniform();
        sum += load;
        estimators.back()->setLoad(load, 1.0, timeAt(0));
    }
    for (long millis = 0; millis < 6000; millis += 250) {
        for (std::size_t i = 0; i < count; ++i) {
            const auto peer = random.index(count);
            if (peer != i) {
                const auto request = estimators[i]->startExchange(timeAt(millis));
                estimators[i]->finishExchange(estimators[peer]->answer(request, timeAt(millis)), timeAt(millis));
            }
        }
    }
    for (const auto &estimator : estimators) {
        const auto mean = estimator->estimate(timeAt(6000));
        REQUIRE(mean);
        CHECK(*mean == Approx(sum / count).epsilon(0.05));
    }
}

TEST_CASE("an estimate without a recent exchange is discarded as stale", "[member]")
{
    auto a = member::makePairwiseEstimator({});
    auto b = member::makePairwiseEstimator({});
    a->setLoad(10, 1, timeAt(0));
    b->setLoad(30, 1, timeAt(0));
    for (long millis = 0; millis < 1500; millis += 100) {
        a->finishExchange(b->answer(a->startExchange(timeAt(millis)), timeAt(millis)), timeAt(millis));
    }
    REQUIRE(a->estimate(timeAt(1500)));
    CHECK(*a->estimate(timeAt(1500)) == Approx(20));
    CHECK_FALSE(a->estimate(timeAt(8000)));
}

TEST_CASE("a late reply to an earlier exchange is ignored", "[member]")
{
    auto a = member::makePairwiseEstimator({});
    auto b = member::makePairwiseEstimator({});
    a->setLoad(10, 1, timeAt(0));
    b->setLoad(30, 1, timeAt(0));
    const auto late = b->answer(a->startExchange(timeAt(0)), timeAt(0));
    const auto second = a->startExchange(timeAt(1500));
    a->finishExchange(late, timeAt(1600));
    CHECK(a->startExchange(timeAt(1700)).load_average() == Approx(second.load_average()));
}

TEST_CASE("a peer's epoch far in the future is not adopted", "[member]")
{
    auto estimator = member::makePairwiseEstimator({});
    estimator->setLoad(10, 1, timeAt(0));
    wire::Exchange request;
    request.set_epoch(std::uint64_t{1} << 62U);
    request.set_sequence(1);
    const auto reply = estimator->answer(request, timeAt(100));
    CHECK(reply.busy());
    constexpr std::uint64_t epochNow = 3600 / 2;
    CHECK(reply.epoch() <= epochNow + 1);
}

TEST_CASE("the suspicion of a flapping member doubles with each failure and ends on a response", "[member]")
{
    member::SuspectList suspects;
    auto at = timeAt(0).monotonic;
    suspects.recordFailure("m", at);
    CHECK(suspects.isSuspect("m", at + Milliseconds(499)));
    CHECK_FALSE(suspects.isSuspect("m", at + Milliseconds(500)));
    at += Milliseconds(600);
    suspects.recordSuccess("m", at);
    suspects.recordFailure("m", at);
    CHECK(suspects.isSuspect("m", at + Milliseconds(999)));
    suspects.recordSuccess("m", at + Milliseconds(10));
    CHECK_FALSE(suspects.isSuspect("m", at + Milliseconds(10)));
}

TEST_CASE("exactly two VMs of each zone are watchers, and an unlisted VM is one", "[member]")
{
    std::map<std::string, world::Vm> vms;
    for (int i = 0; i < 90; ++i) {
        world::Vm vm;
        vm.name = "vm-" + std::to_string(i);
        vm.zone = "az-" + std::to_string(i % 3);
        vms[vm.name] = vm;
    }
    std::map<std::string, int> watchers;
    for (const auto &[name, vm] : vms) {
        watchers[vm.zone] += member::isWatcher(vms, name, vm.zone, {}) ? 1 : 0;
    }
    for (const auto &[zone, count] : watchers) {
        CHECK(count == 2);
    }
    CHECK(member::isWatcher(vms, "vm-unlisted", "az-0", {}));
}

TEST_CASE("fallback polls of a whole fleet stay within half of the services' call limit", "[member]")
{
    const std::size_t fleet = GENERATE(10, 1000, 8120, 20000);
    const std::size_t documents = GENERATE(2, 4);
    const auto interval = member::fallbackPollInterval(fleet, documents, {});
    const double calls = static_cast<double>(fleet * documents) * 1000.0 / static_cast<double>(interval.count());
    CHECK(calls <= 1000.0 * 1.01);
}
