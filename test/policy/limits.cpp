#include <catch2/catch.hpp>

#include <cyclamenspool/policy/chatdirectory.h>
#include <cyclamenspool/policy/freshnesslease.h>
#include <cyclamenspool/policy/retrybudget.h>
#include <cyclamenspool/policy/workspacelimiter.h>

using namespace cyclamenspool;
using core::Milliseconds;
using core::MonotonicTime;

namespace {

const MonotonicTime start{std::chrono::hours(1)};

} // namespace

TEST_CASE("the retry budget allows at most its ratio of first attempts plus the reserve", "[policy]")
{
    policy::RetryBudget budget(0.2, 10);
    int granted = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.onFirstAttempt();
        granted += budget.take() ? 1 : 0;
    }
    CHECK(granted <= 1000 * 0.2 + 10);
    CHECK(granted >= 200);
}

TEST_CASE("all routers together admit no more than the workspace's limit", "[policy]")
{
    world::Workspace workspace;
    workspace.name = "surging";
    workspace.requestsPerSecond = 100;
    const std::size_t routers = GENERATE(1, 2, 5);
    std::vector<policy::WorkspaceLimiter> limiters(routers);
    int admitted = 0;
    constexpr int seconds = 10;
    for (int millis = 0; millis < seconds * 1000; millis += 5) {
        for (auto &limiter : limiters) {
            admitted += limiter.check(workspace, routers, start + Milliseconds(millis)) ? 0 : 1;
        }
    }
    CHECK(admitted <= 100 * (seconds + 1) + static_cast<int>(routers));
    CHECK(admitted >= 100 * seconds);
}

TEST_CASE("a request over the workspace's limit returns the wait after which the next one is admitted", "[policy]")
{
    world::Workspace workspace;
    workspace.name = "small";
    workspace.requestsPerSecond = 1;
    policy::WorkspaceLimiter limiter;
    CHECK_FALSE(limiter.check(workspace, 1, start));
    const auto wait = limiter.check(workspace, 1, start);
    REQUIRE(wait);
    CHECK_FALSE(limiter.check(workspace, 1, start + *wait));
}

TEST_CASE("a lease is valid until its length after the last renewal", "[policy]")
{
    policy::FreshnessLease lease(Milliseconds(3000));
    CHECK_FALSE(lease.holds(start));
    lease.renew(start);
    CHECK(lease.holds(start + Milliseconds(3000)));
    CHECK_FALSE(lease.holds(start + Milliseconds(3001)));
}

TEST_CASE("the chat directory evicts the least recently used chat and removes the chats of a server", "[policy]")
{
    policy::ChatDirectory chats(2);
    chats.put("a", {"", 10, start});
    chats.put("b", {"engine-1", 0, start});
    CHECK(chats.find("a", start) != nullptr);
    chats.put("c", {"", 5, start});
    CHECK(chats.find("b", start) == nullptr);
    CHECK(chats.find("a", start) != nullptr);
    chats.eraseServer("");
    CHECK(chats.size() == 0);
}
