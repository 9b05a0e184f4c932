#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/copyrequestlimit.h>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using gateway::CopyRequestLimit;

namespace {

constexpr core::MonotonicTime start{std::chrono::hours(1)};

} // namespace

// Guards against a request to a peer that lags itself, after which a second passes before one that does not is asked.
TEST_CASE("copy of a lagging peer: a later copy is requested 0.3 s after it, not 1 s", "[gateway][watches]")
{
    CopyRequestLimit limit;
    CHECK(limit.isAllowed({0, 7}, false, start));
    limit.onRequested({0, 7}, start);
    CHECK_FALSE(limit.isAllowed({0, 18}, false, start + 299ms));
    CHECK(limit.isAllowed({0, 18}, false, start + 300ms));
    limit.onRequested({0, 18}, start + 300ms);
    CHECK_FALSE(limit.isAllowed({0, 18}, false, start + 1299ms));
    CHECK(limit.isAllowed({0, 18}, false, start + 1300ms));
}

TEST_CASE("unavailable store: the same copy is requested again after 0.3 s", "[gateway][watches]")
{
    CopyRequestLimit limit;
    limit.onRequested({0, 7}, start);
    CHECK_FALSE(limit.isAllowed({0, 7}, true, start + 299ms));
    CHECK(limit.isAllowed({0, 7}, true, start + 300ms));
}

TEST_CASE("restored store: a copy of the later era is requested at once", "[gateway][watches]")
{
    CopyRequestLimit limit;
    limit.onRequested({1, 70}, start);
    CHECK(limit.isAllowed({2, 5}, true, start + 1ms));
}

TEST_CASE("many peers that report one change: a slow store causes one request a second", "[gateway][watches]")
{
    CopyRequestLimit limit;
    int requests = 0;
    for (auto at = start; at < start + 10s; at += 10ms) {
        if (limit.isAllowed({0, 7}, false, at)) {
            limit.onRequested({0, 7}, at);
            ++requests;
        }
    }
    CHECK(requests == 10);
}

// Guards against copies over a slow link that are requested faster than it carries them.
TEST_CASE("slow link: the next copy is requested no earlier than after the time that the last one took", "[gateway][slowlink]")
{
    CopyRequestLimit limit;
    limit.onRequested({0, 7}, start);
    limit.onReceived(start + 700ms);
    CHECK_FALSE(limit.isAllowed({0, 18}, true, start + 699ms));
    CHECK(limit.isAllowed({0, 18}, true, start + 700ms));
    limit.onRequested({0, 18}, start + 700ms);
    limit.onReceived(start + 5000ms);
    CHECK(limit.isAllowed({0, 19}, true, start + 1700ms));
    limit.onRequested({0, 19}, start + 6000ms);
    limit.onReceived(start + 6010ms);
    CHECK(limit.isAllowed({0, 20}, true, start + 6300ms));
}
