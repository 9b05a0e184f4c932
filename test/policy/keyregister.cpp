#include <catch2/catch.hpp>

#include <cyclamenspool/policy/keyregister.h>

using namespace cyclamenspool;
using core::Milliseconds;
using core::WallTime;
using policy::KeyRegister;
using policy::KeyVerdict;

namespace {

const WallTime start{std::chrono::hours(500000)};
const policy::KeyBounds bounds{Milliseconds(600000), Milliseconds(500)};

WallTime at(long millis)
{
    return start + Milliseconds(millis);
}

} // namespace

TEST_CASE("a key runs once and is answered from its record afterwards", "[policy]")
{
    KeyRegister keys(bounds, start);
    CHECK(keys.admit("k", at(2000), 1, false, at(2100)) == KeyVerdict::Run);
    CHECK(keys.admit("k", at(2000), 1, false, at(2200)) == KeyVerdict::MayHaveRun);
    keys.finish("k", policy::StoredAnswer{200, "text/plain", "done"});
    CHECK(keys.admit("k", at(2000), 1, false, at(2300)) == KeyVerdict::StoredAnswer);
    CHECK(keys.admit("k", at(2000), 2, false, at(2300)) == KeyVerdict::Conflict);
}

TEST_CASE("a key from before the register was home may have run", "[policy]")
{
    KeyRegister keys(bounds, start);
    CHECK(keys.admit("old", at(-1), 1, false, at(100)) == KeyVerdict::MayHaveRun);
    CHECK(keys.admit("near", at(400), 1, false, at(450)) == KeyVerdict::MayHaveRun);
    CHECK(keys.admit("new", at(501), 1, false, at(600)) == KeyVerdict::Run);
}

TEST_CASE("a key without a time runs only after a retention window as home", "[policy]")
{
    KeyRegister keys(bounds, start);
    CHECK(keys.admit("plain", std::nullopt, 1, false, at(599999)) == KeyVerdict::MayHaveRun);
    CHECK(keys.admit("plain", std::nullopt, 1, false, at(600501)) == KeyVerdict::Run);
}

TEST_CASE("a key is refused when its time is out of bounds", "[policy]")
{
    KeyRegister keys(bounds, start);
    CHECK(keys.admit("ahead", at(5000), 1, false, at(4000)) == KeyVerdict::FromFuture);
    CHECK(keys.admit("late", at(2000), 1, false, at(602000)) == KeyVerdict::Expired);
}

TEST_CASE("a record is kept for as long as its key may be accepted", "[policy]")
{
    KeyRegister keys(bounds, start);
    REQUIRE(keys.admit("k", at(2400), 1, false, at(2000)) == KeyVerdict::Run);
    for (long now = 2000; now < 700000; now += 100) {
        keys.expire(at(now));
        CHECK(keys.admit("k", at(2400), 1, false, at(now)) != KeyVerdict::Run);
    }
    CHECK(keys.size() == 0);
}

TEST_CASE("a request that was not sent gives its key back", "[policy]")
{
    KeyRegister keys(bounds, start);
    REQUIRE(keys.admit("k", at(2000), 1, false, at(2000)) == KeyVerdict::Run);
    keys.forgetNotSent("k");
    CHECK(keys.admit("k", at(2000), 1, false, at(2100)) == KeyVerdict::Run);
    keys.finish("k", policy::StoredAnswer{200, "", "done"});
    keys.forgetNotSent("k");
    CHECK(keys.admit("k", at(2000), 1, false, at(2200)) == KeyVerdict::StoredAnswer);
}

TEST_CASE("an answer that was too large to keep is not answered from the record", "[policy]")
{
    KeyRegister keys(bounds, start);
    REQUIRE(keys.admit("k", at(2000), 1, false, at(2000)) == KeyVerdict::Run);
    keys.finish("k", std::nullopt);
    CHECK(keys.admit("k", at(2000), 1, false, at(2100)) == KeyVerdict::AlreadyRun);
}

TEST_CASE("stored answers are bounded and the keys stay", "[policy]")
{
    KeyRegister keys(bounds, start);
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

TEST_CASE("records move to a new home whole", "[policy]")
{
    KeyRegister former(bounds, start);
    REQUIRE(former.admit("running", at(2000), 1, false, at(2000)) == KeyVerdict::Run);
    REQUIRE(former.admit("done", at(2000), 2, false, at(2000)) == KeyVerdict::Run);
    former.finish("done", policy::StoredAnswer{200, "", "answer"});
    KeyRegister next(bounds, start);
    for (const auto &record : former.exportIf([](const std::string &) {
             return true;
         })) {
        next.import(record);
    }
    CHECK(next.admit("running", at(2000), 1, false, at(3000)) == KeyVerdict::MayHaveRun);
    CHECK(next.admit("done", at(2000), 2, false, at(3000)) == KeyVerdict::StoredAnswer);
}
