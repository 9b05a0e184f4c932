#include <catch2/catch.hpp>

#include <cyclamenspool/core/runpromise.h>

#include <set>

using namespace cyclamenspool::core;

TEST_CASE("only 408, 421, 429 and 503 promise that a request has not run", "[core]")
{
    const std::set<int> promises{408, 421, 429, 503};
    for (int status = 100; status < 600; ++status) {
        CAPTURE(status);
        CHECK(promisesNotRun(status) == (promises.count(status) > 0));
        CHECK(canRelayStatus(status, true));
        CHECK(canRelayStatus(status, false) == (promises.count(status) == 0));
    }
}
