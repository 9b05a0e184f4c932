#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/fleet.h>

#include <string>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using gateway::Fleet;
using gateway::Outcome;
using gateway::ServerState;
using gateway::Standing;

namespace {

const core::MonotonicTime start = core::MonotonicTime() + 1h;

world::BackendServer entryOf(const std::string &id, std::uint64_t revision = 1)
{
    world::BackendServer entry;
    entry.id = id;
    entry.service = "pool";
    entry.address = "10.0.0.1:80";
    entry.zone = "az-a";
    entry.slots = 8;
    entry.revision = revision;
    return entry;
}

/** @brief A fleet of listed backend servers s0, s1 and so on. */
struct FilledFleet : Fleet {
    explicit FilledFleet(int count)
    {
        for (int i = 0; i < count; ++i) {
            onListed(entryOf("s" + std::to_string(i)), start);
        }
    }

    ServerState &server(int index)
    {
        return *serversOf("pool").at(static_cast<std::size_t>(index));
    }

    [[nodiscard]] bool uses(const std::string &id, core::MonotonicTime now) const
    {
        for (const auto &known : serversOf("pool")) {
            if (known->record.id == id && standingOf(*known, now) != Standing::Leaving) {
                return true;
            }
        }
        return false;
    }
};

} // namespace

TEST_CASE("an entry that vanishes while the store is well is not used again", "[gateway][fleet]")
{
    FilledFleet fleet(3);
    fleet.onUnlisted("s1", start + 1s);
    CHECK_FALSE(fleet.uses("s1", start + 1s));
    CHECK(fleet.uses("s0", start + 1s));
}

TEST_CASE("an entry that lapsed during an outage is used until two seconds after the store's return, without further news", "[gateway][fleet]")
{
    FilledFleet fleet(3);
    fleet.onStoreIll();
    fleet.onUnlisted("s1", start + 2s);
    CHECK(fleet.uses("s1", start + 9s));
    fleet.onStoreWell(start + 10s);
    CHECK(fleet.uses("s1", start + 11900ms));
    CHECK_FALSE(fleet.uses("s1", start + 12300ms));
}

TEST_CASE("an entry that vanishes right after an outage is not kept beyond the grace of lapsed entries", "[gateway][fleet]")
{
    FilledFleet fleet(3);
    fleet.onStoreIll();
    fleet.onStoreWell(start + 10s);
    fleet.onUnlisted("s1", start + 10500ms);
    CHECK_FALSE(fleet.uses("s1", start + 12300ms));
    fleet.onUnlisted("s2", start + 12400ms);
    CHECK_FALSE(fleet.uses("s2", start + 12400ms));
}

TEST_CASE("a lapsed entry that comes back is used", "[gateway][fleet]")
{
    FilledFleet fleet(2);
    fleet.onStoreIll();
    fleet.onUnlisted("s1", start + 2s);
    fleet.onStoreWell(start + 10s);
    fleet.onListed(entryOf("s1", 9), start + 11s);
    fleet.onStoreWell(start + 15s);
    CHECK(fleet.uses("s1", start + 15s));
}

TEST_CASE("a leaving backend server and an evacuated zone get nothing", "[gateway][fleet]")
{
    FilledFleet fleet(2);
    auto leaving = entryOf("s0", 2);
    leaving.leaving = true;
    fleet.onListed(leaving, start);
    CHECK(fleet.standingOf(fleet.server(0), start) == Standing::Leaving);
    fleet.onZone("az-a", true);
    CHECK(fleet.standingOf(fleet.server(1), start) == Standing::Evacuated);
}

TEST_CASE("a zone that returns is cold until its backend servers report", "[gateway][fleet]")
{
    FilledFleet fleet(1);
    fleet.onZone("az-a", true);
    fleet.onZone("az-a", false);
    CHECK(fleet.standingOf(fleet.server(0), start) == Standing::Cold);
    fleet.onListed(entryOf("s0", 5), start + 1s);
    CHECK(fleet.standingOf(fleet.server(0), start + 1s) == Standing::Usable);
}

TEST_CASE("a crash is suspected on the second broken answer in a row, and a trial clears it", "[gateway][fleet]")
{
    FilledFleet fleet(3);
    fleet.onOutcome(fleet.server(0), Outcome::Broken, start);
    CHECK(fleet.standingOf(fleet.server(0), start) == Standing::Usable);
    fleet.onOutcome(fleet.server(0), Outcome::Broken, start);
    CHECK(fleet.standingOf(fleet.server(0), start) == Standing::Suspect);
    CHECK(fleet.standingOf(fleet.server(0), start + 1s) == Standing::OnTrial);
    fleet.onOutcome(fleet.server(0), Outcome::Answered, start + 1s);
    CHECK(fleet.standingOf(fleet.server(0), start + 1s) == Standing::Usable);
}

TEST_CASE("backend servers that all fail are not all put aside", "[gateway][fleet]")
{
    FilledFleet fleet(6);
    for (int round = 0; round < 20; ++round) {
        for (int i = 0; i < 6; ++i) {
            fleet.onOutcome(fleet.server(i), Outcome::Failed, start);
        }
    }
    int suspects = 0;
    for (int i = 0; i < 6; ++i) {
        suspects += fleet.standingOf(fleet.server(i), start) == Standing::Suspect ? 1 : 0;
    }
    CHECK(suspects <= 2);
}

TEST_CASE("a backend server that is silent under requests is suspect", "[gateway][fleet]")
{
    FilledFleet fleet(2);
    fleet.server(0).outstanding = 1;
    fleet.server(0).unheardSince = start;
    CHECK(fleet.standingOf(fleet.server(0), start + 300ms) == Standing::Usable);
    CHECK(fleet.standingOf(fleet.server(0), start + 2s) == Standing::Suspect);
}

TEST_CASE("loads of a peer that fell silent are not counted", "[gateway][fleet]")
{
    FilledFleet fleet(1);
    fleet.onPeerLoads("vm-2", {{"s0", 5}}, start);
    fleet.onPeerLoads("vm-3", {{"s0", 2}, {"gone", 9}}, start + 1s);
    CHECK(Fleet::loadOf(fleet.server(0)) == 7);
    fleet.onPeerLoads("vm-2", {{"s0", 4}}, start + 100ms);
    CHECK(Fleet::loadOf(fleet.server(0)) == 6);
    fleet.forgetSilentPeers(1500ms, start + 1600ms);
    CHECK(Fleet::loadOf(fleet.server(0)) == 2);
    fleet.forgetSilentPeers(1500ms, start + 5s);
    CHECK(Fleet::loadOf(fleet.server(0)) == 0);
}

TEST_CASE("a backend server that is listed late has the loads that peers told before", "[gateway][fleet]")
{
    FilledFleet fleet(1);
    fleet.onPeerLoads("vm-2", {{"late", 3}}, start);
    fleet.onListed(entryOf("late"), start + 100ms);
    CHECK(Fleet::loadOf(*fleet.find("late")) == 3);
    fleet.onPeerLoads("vm-2", {}, start + 200ms);
    CHECK(Fleet::loadOf(*fleet.find("late")) == 0);
}

TEST_CASE("silence is judged by the usual time until an answer begins, and told to peers", "[gateway][fleet]")
{
    FilledFleet fleet(2);
    auto &server = fleet.server(0);
    Fleet::onHeadTime(server, 20ms);
    server.outstanding = 3;
    server.unheardSince = start;
    CHECK_FALSE(Fleet::isSilent(server, start + 100ms));
    CHECK(Fleet::isSilent(server, start + 200ms));
    REQUIRE(fleet.suspicions(start + 200ms).size() == 1);
    CHECK(fleet.suspicions(start + 200ms).front().server == "s0");
}

TEST_CASE("requests that fail everywhere put no backend server aside; one that fails more than the others is put aside", "[gateway][fleet]")
{
    FilledFleet fleet(6);
    const auto answerAll = [&fleet](int round, int worst) {
        for (int i = 0; i < 6; ++i) {
            const bool fails = (round + i) % 20 < 3 || (i == worst && round % 2 == 0);
            fleet.onOutcome(fleet.server(i), fails ? Outcome::Failed : Outcome::Answered, start);
        }
    };
    for (int round = 0; round < 100; ++round) {
        answerAll(round, -1);
        for (int i = 0; i < 6; ++i) {
            CHECK(fleet.standingOf(fleet.server(i), start) == Standing::Usable);
        }
    }
    for (int round = 0; round < 60; ++round) {
        answerAll(round, 2);
    }
    CHECK(fleet.standingOf(fleet.server(2), start) == Standing::Suspect);
    CHECK(fleet.standingOf(fleet.server(3), start) == Standing::Usable);
}

TEST_CASE("a peer's word on a backend server holds for a moment and asks for no trial", "[gateway][fleet]")
{
    FilledFleet fleet(2);
    fleet.onPeerSuspicion({"s0", 300ms}, start);
    CHECK(fleet.standingOf(fleet.server(0), start + 100ms) == Standing::Suspect);
    CHECK(fleet.standingOf(fleet.server(0), start + 400ms) == Standing::Usable);
}

TEST_CASE("uneven router: one request that meets a long prefill makes no backend server suspect for all", "[gateway][fleet]")
{
    FilledFleet fleet(2);
    auto &server = fleet.server(0);
    Fleet::onHeadTime(server, 80ms);
    server.outstanding = 1;
    server.unheardSince = start;
    CHECK(fleet.standingOf(server, start + 900ms) == Standing::Usable);
    CHECK(fleet.suspicions(start + 2s).empty());
    CHECK(fleet.standingOf(server, start + 2s) == Standing::Suspect);
}

TEST_CASE("a backend server that fails a part of its requests is put aside within a few of them, and peers hear of it", "[gateway][fleet]")
{
    FilledFleet fleet(12);
    for (int round = 0; round < 8; ++round) {
        for (int i = 0; i < 12; ++i) {
            const bool fails = i == 4 && round % 2 == 0;
            fleet.onOutcome(fleet.server(i), fails ? Outcome::Failed : Outcome::Answered, start);
        }
    }
    CHECK(fleet.standingOf(fleet.server(4), start) == Standing::Suspect);
    const auto told = fleet.suspicions(start);
    REQUIRE(told.size() == 1);
    CHECK(told.front().server == fleet.server(4).record.id);
}
