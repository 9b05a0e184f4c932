#include <catch2/catch.hpp>

#include <cyclamenspool/policy/keyregister.h>

using namespace cyclamenspool;
using core::Milliseconds;
using core::WallTime;
using policy::KeyRegister;
using policy::KeyVerdict;

namespace {

const WallTime homeSince{std::chrono::hours(500000)};
const policy::KeyBounds bounds{Milliseconds(600000), Milliseconds(500)};

WallTime at(long millis)
{
    return homeSince + Milliseconds(millis);
}

} // namespace

TEST_CASE("a repeated key gets the stored response and is not run again", "[policy]")
{
    KeyRegister keys(bounds, homeSince);
    CHECK(keys.admit("k", at(2000), 1, false, at(2100)) == KeyVerdict::Run);
    CHECK(keys.admit("k", at(2000), 1, false, at(2200)) == KeyVerdict::MayHaveRun);
    keys.finish("k", policy::StoredAnswer{200, "text/plain", "done"});
    CHECK(keys.admit("k", at(2000), 1, false, at(2300)) == KeyVerdict::StoredAnswer);
    CHECK(keys.admit("k", at(2000), 2, false, at(2300)) == KeyVerdict::Conflict);
}

TEST_CASE("a key created before the register became its home is reported as possibly run", "[policy]")
{
    KeyRegister keys(bounds, homeSince);
    CHECK(keys.admit("old", at(-1), 1, false, at(100)) == KeyVerdict::MayHaveRun);
    CHECK(keys.admit("near", at(400), 1, false, at(450)) == KeyVerdict::MayHaveRun);
    CHECK(keys.admit("new", at(501), 1, false, at(600)) == KeyVerdict::Run);
}

TEST_CASE("a key without a creation time runs only after a full retention period at the same home", "[policy]")
{
    KeyRegister keys(bounds, homeSince);
    CHECK(keys.admit("plain", std::nullopt, 1, false, at(599999)) == KeyVerdict::MayHaveRun);
    CHECK(keys.admit("plain", std::nullopt, 1, false, at(600501)) == KeyVerdict::Run);
}

TEST_CASE("a key is rejected if it was created in the future or before the retention period", "[policy]")
{
    KeyRegister keys(bounds, homeSince);
    CHECK(keys.admit("ahead", at(5000), 1, false, at(4000)) == KeyVerdict::FromFuture);
    CHECK(keys.admit("late", at(2000), 1, false, at(602000)) == KeyVerdict::Expired);
}

TEST_CASE("a record is not removed while its key is still accepted", "[policy]")
{
    KeyRegister keys(bounds, homeSince);
    REQUIRE(keys.admit("k", at(2400), 1, false, at(2000)) == KeyVerdict::Run);
    for (long now = 2000; now < 700000; now += 100) {
        keys.expire(at(now));
        CHECK(keys.admit("k", at(2400), 1, false, at(now)) != KeyVerdict::Run);
    }
    CHECK(keys.size() == 0);
}

TEST_CASE("the key of an unsent request can be admitted again, that of a finished one cannot", "[policy]")
{
    KeyRegister keys(bounds, homeSince);
    REQUIRE(keys.admit("k", at(2000), 1, false, at(2000)) == KeyVerdict::Run);
    keys.forgetNotSent("k");
    CHECK(keys.admit("k", at(2000), 1, false, at(2100)) == KeyVerdict::Run);
    keys.finish("k", policy::StoredAnswer{200, "", "done"});
    keys.forgetNotSent("k");
    CHECK(keys.admit("k", at(2000), 1, false, at(2200)) == KeyVerdict::StoredAnswer);
}

TEST_CASE("a key whose response was too large to store is reported as already run", "[policy]")
{
    KeyRegister keys(bounds, homeSince);
    REQUIRE(keys.admit("k", at(2000), 1, false, at(2000)) == KeyVerdict::Run);
    keys.finish("k", std::nullopt);
    CHECK(keys.admit("k", at(2000), 1, false, at(2100)) == KeyVerdict::AlreadyRun);
}

TEST_CASE("the oldest stored responses are evicted and their keys are kept", "[policy]")
{
    KeyRegister keys(bounds, homeSince);
    const std::string large(1024 * 1024, 'x');
    for (int i = 0; i < 8; ++i) {
        const auto key = "k" + std::to_string(i);
        REQUIRE(keys.admit(key, at(2000), 1, false, at(2000)) == KeyVerdict::Run);
        keys.finish(key, policy::StoredAnswer{200, "", large});
    }
    CHECK(keys.admit("k0", at(2000), 1, false, at(2100)) == KeyVerdict::AlreadyRun);
    CHECK(keys.admit("k7", at(2000), 1, false, at(2100)) == KeyVerdict::StoredAnswer);
    CHECK(keys.size() == 8);
}

TEST_CASE("a handed-over record keeps its state and its stored response", "[policy]")
{
    KeyRegister previousHome(bounds, homeSince);
    REQUIRE(previousHome.admit("running", at(2000), 1, false, at(2000)) == KeyVerdict::Run);
    REQUIRE(previousHome.admit("done", at(2000), 2, false, at(2000)) == KeyVerdict::Run);
    previousHome.finish("done", policy::StoredAnswer{200, "", "answer"});
    KeyRegister newHome(bounds, homeSince);
    for (const auto &record : previousHome.exportIf([](const std::string &) {
             return true;
         })) {
        newHome.import(record);
    }
    CHECK(newHome.admit("running", at(2000), 1, false, at(3000)) == KeyVerdict::MayHaveRun);
    CHECK(newHome.admit("done", at(2000), 2, false, at(3000)) == KeyVerdict::StoredAnswer);
}
