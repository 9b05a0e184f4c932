#include <catch2/catch.hpp>

#include <cyclamenspool/core/random.h>
#include <cyclamenspool/gateway/refusal.h>

#include <algorithm>
#include <vector>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using gateway::chooseRetryAfter;

namespace {

/** @brief Returns 200 delays for a cause, in ascending order. */
std::vector<std::chrono::milliseconds> delaysFor(core::ErrorKind kind, std::chrono::milliseconds remaining)
{
    core::RandomSource random(7);
    std::vector<std::chrono::milliseconds> delays;
    for (int i = 0; i < 200; ++i) {
        delays.push_back(chooseRetryAfter(kind, remaining, random));
    }
    std::sort(delays.begin(), delays.end());
    return delays;
}

} // namespace

TEST_CASE("herd restart while the store is away: callers with time come back after seconds, spread, within a third of the time that they have",
          "[gateway][refusal]")
{
    const auto patient = delaysFor(core::ErrorKind::StaleView, 12000ms);
    CHECK(patient.front() > 1000ms); /* an outage of the store takes seconds, and a caller may return only once */
    CHECK(patient.back() - patient.front() > 1000ms);
    CHECK(patient.back() <= 4000ms);
    const auto hurried = delaysFor(core::ErrorKind::StaleView, 3000ms);
    CHECK(hurried.back() <= 1000ms);
    CHECK(hurried.front() > 0ms);
}

TEST_CASE("a caller that is refused for a full service comes back within a second", "[gateway][refusal]")
{
    const auto delays = delaysFor(core::ErrorKind::Overloaded, 12000ms);
    CHECK(delays.back() <= 1000ms);
    CHECK(delays.front() > 0ms);
}

TEST_CASE("overload: a caller that may return only once comes back as late as it honours, spread", "[gateway][refusal]")
{
    const auto delays = delaysFor(core::ErrorKind::PoolFull, 12000ms);
    CHECK(delays.front() > 1400ms);
    CHECK(delays.back() > 3000ms);
    CHECK(delays.back() <= 4000ms);
    CHECK(delaysFor(core::ErrorKind::PoolFull, 3000ms).back() <= 1000ms);
}

TEST_CASE("a full service whose backlog drains later than usual: callers come back after that time, spread", "[gateway][refusal]")
{
    core::RandomSource random(7);
    std::vector<std::chrono::milliseconds> delays;
    for (int i = 0; i < 200; ++i) {
        delays.push_back(chooseRetryAfter(core::ErrorKind::PoolFull, 12000ms, random, 2500ms));
    }
    std::sort(delays.begin(), delays.end());
    CHECK(delays.front() >= 2500ms);
    CHECK(delays.front() < 2700ms);
    CHECK(delays.back() > 3300ms);
    CHECK(delays.back() <= 4000ms);
    CHECK(chooseRetryAfter(core::ErrorKind::PoolFull, 3000ms, random, 2500ms) <= 1000ms);
}

TEST_CASE("no delay is given where the request may have run, and a short one where no time is left", "[gateway][refusal]")
{
    CHECK(delaysFor(core::ErrorKind::OutcomeUnknown, 12000ms).back() == 0ms);
    CHECK(delaysFor(core::ErrorKind::DeadlineUnsent, -5ms).back() == 1ms);
}
