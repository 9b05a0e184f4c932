#include <catch2/catch.hpp>

#include <cyclamenspool/config/documentstore.h>
#include <cyclamenspool/core/random.h>

using namespace cyclamenspool;
using config::DocumentStore;
using config::InvalidInput;
using config::OfferResult;

namespace {

const std::string validTable = "workspaces:\n  - {name: desk, weight: 2, pools: [notes]}\n"
                               "pools:\n  - {name: notes, kind: model, model: lamp}\n"
                               "groups:\n  - {name: engines, pool: notes}\n";

std::string errorsOf(const std::string &text)
{
    try {
        static_cast<void>(config::parseRows(text, "t.yaml"));
    } catch (const InvalidInput &error) {
        return error.what();
    }
    return "";
}

} // namespace

TEST_CASE("all errors in a table are reported with line and column", "[config]")
{
    const auto errors = errorsOf("workspaces:\n  - {name: desk, weight: -2}\n  - {nmae: bench}\npoools: []\n");
    CHECK(errors.find("t.yaml:2:26: 'weight' must be between") != std::string::npos);
    CHECK(errors.find("t.yaml:3:6: unknown key 'nmae'") != std::string::npos);
    CHECK(errors.find("missing key 'name'") != std::string::npos);
    CHECK(errors.find("t.yaml:4:1: unknown section 'poools'") != std::string::npos);
}

TEST_CASE("a row name that appears twice in a section is an error", "[config]")
{
    CHECK(errorsOf("pools:\n  - {name: a}\n  - {name: a}\n").find("t.yaml:3:5: 'a' appears twice") != std::string::npos);
}

TEST_CASE("an invalid document is refused as a whole and the accepted one stays in force", "[config]")
{
    DocumentStore store({"table"});
    std::string errors;
    REQUIRE(store.offer("table", 5, validTable, errors) == OfferResult::Accepted);
    const std::string invalidTable = GENERATE(
        as<std::string>{}, "workspaces: [", "workspaces:\n  - {name: other, weight: 0}\n", "groups:\n  - {name: engines, pool: nowhere}\n", "just text");
    CHECK(store.offer("table", 6, invalidTable, errors) == OfferResult::Refused);
    CHECK_FALSE(errors.empty());
    CHECK(store.revision("table") == 5);
    CHECK(store.table()->workspaces().count("desk") == 1);
    CHECK(store.table()->workspaces().count("other") == 0);
}

TEST_CASE("an older or equal revision is never accepted", "[config]")
{
    DocumentStore store({"table"});
    std::string errors;
    REQUIRE(store.offer("table", 5, validTable, errors) == OfferResult::Accepted);
    const std::uint64_t revision = GENERATE(1, 4, 5);
    CHECK(store.offer("table", revision, "workspaces:\n  - {name: old}\n", errors) == OfferResult::Outdated);
    CHECK(store.table()->workspaces().count("old") == 0);
}

TEST_CASE("a store that follows by deltas has the same rows as one that reads full documents", "[config]")
{
    const auto seed = GENERATE(take(20, random(1, 1000000)));
    CAPTURE(seed);
    core::RandomSource random(static_cast<std::uint64_t>(seed));
    DocumentStore source({"table"});
    DocumentStore follower({"table"});
    std::string errors;
    for (std::uint64_t revision = 1; revision <= 30; ++revision) {
        std::string text = "workspaces:\n";
        for (int i = 0; i < 10; ++i) {
            if (random.uniform() < 0.7) {
                text += "  - {name: w" + std::to_string(i) + ", weight: " + std::to_string(1 + random.index(3)) + "}\n";
            }
        }
        text += "  - {name: always}\n";
        REQUIRE(source.offer("table", revision, text, errors) == OfferResult::Accepted);
        if (random.uniform() < 0.5) {
            for (const auto &delta : source.deltasFor(follower.states())) {
                REQUIRE(follower.offer(delta) == OfferResult::Accepted);
            }
            CHECK(follower.states().front().digest() == source.states().front().digest());
            CHECK(follower.table()->workspaces().size() == source.table()->workspaces().size());
        }
    }
}

TEST_CASE("a delta whose base or digest does not match is refused and a snapshot is requested", "[config]")
{
    DocumentStore source({"table"});
    DocumentStore emptyStore({"table"});
    std::string errors;
    REQUIRE(source.offer("table", 1, validTable, errors) == OfferResult::Accepted);
    const auto statesBefore = source.states();
    REQUIRE(source.offer("table", 2, validTable + "leaving:\n  - {name: az-a, kind: zone}\n", errors) == OfferResult::Accepted);
    const auto deltas = source.deltasFor(statesBefore);
    REQUIRE(deltas.size() == 1);
    REQUIRE(deltas[0].rows_size() == 1);
    CHECK(emptyStore.offer(deltas[0]) == OfferResult::NeedsSnapshot);
    CHECK(emptyStore.revision("table") == 0);
    auto wrongDigest = deltas[0];
    wrongDigest.set_digest(1);
    DocumentStore sameBase({"table"});
    REQUIRE(sameBase.offer("table", 1, validTable, errors) == OfferResult::Accepted);
    CHECK(sameBase.offer(wrongDigest) == OfferResult::NeedsSnapshot);
    CHECK(sameBase.offer(deltas[0]) == OfferResult::Accepted);
}
