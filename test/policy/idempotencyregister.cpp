#include <catch2/catch.hpp>

#include <cyclamenspool/policy/idempotencyregister.h>

using namespace cyclamenspool;
using core::Milliseconds;
using core::WallTime;
using policy::IdempotencyRegister;
using policy::IdempotencyVerdict;

namespace {

const WallTime homeSince{std::chrono::hours(500000)};
const policy::IdempotencyBounds bounds{Milliseconds(600000), Milliseconds(500)};

WallTime at(long millis)
{
    return homeSince + Milliseconds(millis);
}

} // namespace

TEST_CASE("a repeated key gets the stored response and is not run again", "[policy]")
{
    IdempotencyRegister keys(bounds, homeSince);
    CHECK(keys.admit("k", at(2000), 1, false, at(2100)) == IdempotencyVerdict::Run);
    CHECK(keys.admit("k", at(2000), 1, false, at(2200)) == IdempotencyVerdict::MayHaveRun);
    keys.finish("k", policy::StoredResponse{200, "text/plain", "done"});
    CHECK(keys.admit("k", at(2000), 1, false, at(2300)) == IdempotencyVerdict::Replay);
    CHECK(keys.admit("k", at(2000), 2, false, at(2300)) == IdempotencyVerdict::Conflict);
}

TEST_CASE("a key created before the register became its home is reported as possibly run", "[policy]")
{
    IdempotencyRegister keys(bounds, homeSince);
    CHECK(keys.admit("old", at(-1), 1, false, at(100)) == IdempotencyVerdict::MayHaveRun);
    CHECK(keys.admit("near", at(400), 1, false, at(450)) == IdempotencyVerdict::MayHaveRun);
    CHECK(keys.admit("new", at(501), 1, false, at(600)) == IdempotencyVerdict::Run);
}

TEST_CASE("a key without a creation time runs only after a full retention period at the same home", "[policy]")
{
    IdempotencyRegister keys(bounds, homeSince);
    CHECK(keys.admit("plain", std::nullopt, 1, false, at(599999)) == IdempotencyVerdict::MayHaveRun);
    CHECK(keys.admit("plain", std::nullopt, 1, false, at(600501)) == IdempotencyVerdict::Run);
}

TEST_CASE("a key is rejected if it was created in the future or before the retention period", "[policy]")
{
    IdempotencyRegister keys(bounds, homeSince);
    CHECK(keys.admit("ahead", at(5000), 1, false, at(4000)) == IdempotencyVerdict::FromFuture);
    CHECK(keys.admit("late", at(2000), 1, false, at(602000)) == IdempotencyVerdict::Expired);
}

TEST_CASE("a record is not removed while its key is still accepted", "[policy]")
{
    IdempotencyRegister keys(bounds, homeSince);
    REQUIRE(keys.admit("k", at(2400), 1, false, at(2000)) == IdempotencyVerdict::Run);
    for (long now = 2000; now < 700000; now += 100) {
        keys.expire(at(now));
        CHECK(keys.admit("k", at(2400), 1, false, at(now)) != IdempotencyVerdict::Run);
    }
    CHECK(keys.size() == 0);
}

TEST_CASE("the key of an unsent request can be admitted again, that of a finished one cannot", "[policy]")
{
    IdempotencyRegister keys(bounds, homeSince);
    REQUIRE(keys.admit("k", at(2000), 1, false, at(2000)) == IdempotencyVerdict::Run);
    keys.removeUnsent("k");
    CHECK(keys.admit("k", at(2000), 1, false, at(2100)) == IdempotencyVerdict::Run);
    keys.finish("k", policy::StoredResponse{200, "", "done"});
    keys.removeUnsent("k");
    CHECK(keys.admit("k", at(2000), 1, false, at(2200)) == IdempotencyVerdict::Replay);
}

TEST_CASE("a key whose response was too large to store is reported as already run", "[policy]")
{
    IdempotencyRegister keys(bounds, homeSince);
    REQUIRE(keys.admit("k", at(2000), 1, false, at(2000)) == IdempotencyVerdict::Run);
    keys.finish("k", std::nullopt);
    CHECK(keys.admit("k", at(2000), 1, false, at(2100)) == IdempotencyVerdict::AlreadyRun);
}

TEST_CASE("the oldest stored responses are evicted and their keys are kept", "[policy]")
{
    IdempotencyRegister keys(bounds, homeSince);
    const std::string large(1024 * 1024, 'x');
    for (int i = 0; i < 8; ++i) {
        const auto key = "k" + std::to_string(i);
        REQUIRE(keys.admit(key, at(2000), 1, false, at(2000)) == IdempotencyVerdict::Run);
        keys.finish(key, policy::StoredResponse{200, "", large});
    }
    CHECK(keys.admit("k0", at(2000), 1, false, at(2100)) == IdempotencyVerdict::AlreadyRun);
    CHECK(keys.admit("k7", at(2000), 1, false, at(2100)) == IdempotencyVerdict::Replay);
    CHECK(keys.size() == 8);
}

TEST_CASE("a handed-over record keeps its state and its stored response", "[policy]")
{
    IdempotencyRegister previousHome(bounds, homeSince);
    REQUIRE(previousHome.admit("running", at(2000), 1, false, at(2000)) == IdempotencyVerdict::Run);
    REQUIRE(previousHome.admit("done", at(2000), 2, false, at(2000)) == IdempotencyVerdict::Run);
    previousHome.finish("done", policy::StoredResponse{200, "", "answer"});
    IdempotencyRegister newHome(bounds, homeSince);
    for (const auto &record : previousHome.exportIf([](const std::string &) {
             return true;
         })) {
        newHome.import(record);
    }
    CHECK(newHome.admit("running", at(2000), 1, false, at(3000)) == IdempotencyVerdict::MayHaveRun);
    CHECK(newHome.admit("done", at(2000), 2, false, at(3000)) == IdempotencyVerdict::Replay);
}

TEST_CASE("a request that is reported finished twice is stored once", "[policy]")
{
    IdempotencyRegister keys(bounds, homeSince);
    REQUIRE(keys.admit("k", at(2000), 1, false, at(2100)) == IdempotencyVerdict::Run);
    const policy::StoredResponse response{200, "text/plain", std::string(3 * 1024 * 1024, 'x')};
    keys.finish("k", response);
    keys.finish("k", response);
    CHECK(keys.admit("k", at(2000), 1, false, at(2300)) == IdempotencyVerdict::Replay);
}

TEST_CASE("a key that is used again after its record expired does not make a later response the first to be evicted", "[policy]")
{
    IdempotencyRegister keys(bounds, homeSince);
    const policy::StoredResponse response{200, "text/plain", std::string(3 * 1024 * 1024, 'x')};
    REQUIRE(keys.admit("k", at(1000), 1, false, at(1000)) == IdempotencyVerdict::Run);
    keys.finish("k", policy::StoredResponse{200, "text/plain", "x"});
    keys.expire(at(700000));
    REQUIRE(keys.size() == 0);
    REQUIRE(keys.admit("other", at(700000), 1, false, at(700000)) == IdempotencyVerdict::Run);
    keys.finish("other", response);
    REQUIRE(keys.admit("k", at(700001), 1, false, at(700001)) == IdempotencyVerdict::Run);
    keys.finish("k", response);
    CHECK(keys.admit("k", at(700001), 1, false, at(700002)) == IdempotencyVerdict::Replay);
    CHECK(keys.admit("other", at(700000), 1, false, at(700002)) == IdempotencyVerdict::AlreadyRun);
}
