#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/fleet.h>

#include <string>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using gateway::Availability;
using gateway::Fleet;
using gateway::Outcome;
using gateway::ServerState;

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

/** @brief A fleet with the listed backend servers s0, s1 and so on. */
struct FilledFleet : Fleet {
    explicit FilledFleet(int count)
    {
        for (int i = 0; i < count; ++i) {
            onServerListed(entryOf("s" + std::to_string(i)), start);
        }
    }

    ServerState &server(int index)
    {
        return *serversOf("pool").at(static_cast<std::size_t>(index));
    }

    [[nodiscard]] bool isInUse(const std::string &id, core::MonotonicTime now) const
    {
        for (const auto &known : serversOf("pool")) {
            if (known->entry.id == id && availabilityOf(*known, now) != Availability::Leaving) {
                return true;
            }
        }
        return false;
    }
};

} // namespace

TEST_CASE("a backend server whose entry is removed while the store is available is no longer used", "[gateway][fleet]")
{
    FilledFleet fleet(3);
    fleet.onServerRemoved("s1", start + 1s);
    CHECK_FALSE(fleet.isInUse("s1", start + 1s));
    CHECK(fleet.isInUse("s0", start + 1s));
}

TEST_CASE("a backend server whose entry expires during a store outage is used for a grace period of two seconds after it, without a further store call",
          "[gateway][fleet]")
{
    FilledFleet fleet(3);
    fleet.onStoreUnavailable();
    fleet.onServerRemoved("s1", start + 2s);
    CHECK(fleet.isInUse("s1", start + 9s));
    fleet.onStoreAvailable(start + 10s);
    CHECK(fleet.isInUse("s1", start + 11900ms));
    CHECK_FALSE(fleet.isInUse("s1", start + 12300ms));
}

TEST_CASE("an entry that is removed right after a store outage is kept no longer than the grace period", "[gateway][fleet]")
{
    FilledFleet fleet(3);
    fleet.onStoreUnavailable();
    fleet.onStoreAvailable(start + 10s);
    fleet.onServerRemoved("s1", start + 10500ms);
    CHECK_FALSE(fleet.isInUse("s1", start + 12300ms));
    fleet.onServerRemoved("s2", start + 12400ms);
    CHECK_FALSE(fleet.isInUse("s2", start + 12400ms));
}

TEST_CASE("a backend server whose expired entry is listed again stays in use", "[gateway][fleet]")
{
    FilledFleet fleet(2);
    fleet.onStoreUnavailable();
    fleet.onServerRemoved("s1", start + 2s);
    fleet.onStoreAvailable(start + 10s);
    fleet.onServerListed(entryOf("s1", 9), start + 11s);
    fleet.onStoreAvailable(start + 15s);
    CHECK(fleet.isInUse("s1", start + 15s));
}

TEST_CASE("a leaving backend server and an evacuated zone get no new requests", "[gateway][fleet]")
{
    FilledFleet fleet(2);
    auto leaving = entryOf("s0", 2);
    leaving.leaving = true;
    fleet.onServerListed(leaving, start);
    CHECK(fleet.availabilityOf(fleet.server(0), start) == Availability::Leaving);
    fleet.onZoneEvacuation("az-a", true, start);
    CHECK(fleet.availabilityOf(fleet.server(1), start) == Availability::Evacuated);
}

TEST_CASE("a zone whose evacuation ends is cold until its backend servers report", "[gateway][fleet]")
{
    FilledFleet fleet(1);
    fleet.onZoneEvacuation("az-a", true, start);
    fleet.onZoneEvacuation("az-a", false, start);
    CHECK(fleet.availabilityOf(fleet.server(0), start) == Availability::Cold);
    fleet.onServerListed(entryOf("s0", 5), start + 1s);
    CHECK(fleet.availabilityOf(fleet.server(0), start + 1s) == Availability::Usable);
}

TEST_CASE("a backend server is suspect after two consecutive transport errors, then probing, and usable after one success", "[gateway][fleet]")
{
    FilledFleet fleet(3);
    fleet.recordOutcome(fleet.server(0), Outcome::TransportError, start);
    CHECK(fleet.availabilityOf(fleet.server(0), start) == Availability::Usable);
    fleet.recordOutcome(fleet.server(0), Outcome::TransportError, start);
    CHECK(fleet.availabilityOf(fleet.server(0), start) == Availability::Suspect);
    CHECK(fleet.availabilityOf(fleet.server(0), start + 1s) == Availability::Probing);
    fleet.recordOutcome(fleet.server(0), Outcome::Answered, start + 1s);
    CHECK(fleet.availabilityOf(fleet.server(0), start + 1s) == Availability::Usable);
}

TEST_CASE("at most a third of a service's backend servers are marked suspect when all of them fail", "[gateway][fleet]")
{
    FilledFleet fleet(6);
    for (int round = 0; round < 20; ++round) {
        for (int i = 0; i < 6; ++i) {
            fleet.recordOutcome(fleet.server(i), Outcome::Failed, start);
        }
    }
    int suspects = 0;
    for (int i = 0; i < 6; ++i) {
        suspects += fleet.availabilityOf(fleet.server(i), start) == Availability::Suspect ? 1 : 0;
    }
    CHECK(suspects <= 2);
}

TEST_CASE("a backend server that sends no byte while requests are in flight is suspect", "[gateway][fleet]")
{
    FilledFleet fleet(2);
    fleet.server(0).outstanding = 1;
    fleet.server(0).awaitingBytesSince = start;
    CHECK(fleet.availabilityOf(fleet.server(0), start + 300ms) == Availability::Usable);
    CHECK(fleet.availabilityOf(fleet.server(0), start + 2s) == Availability::Suspect);
}

TEST_CASE("loads of a peer without recent updates are not counted", "[gateway][fleet]")
{
    FilledFleet fleet(1);
    fleet.onPeerLoads("vm-2", {{"s0", 5}}, start);
    fleet.onPeerLoads("vm-3", {{"s0", 2}, {"gone", 9}}, start + 1s);
    CHECK(Fleet::loadOf(fleet.server(0)) == 7);
    fleet.onPeerLoads("vm-2", {{"s0", 4}}, start + 100ms);
    CHECK(Fleet::loadOf(fleet.server(0)) == 6);
    fleet.dropStalePeers(1500ms, start + 1600ms);
    CHECK(Fleet::loadOf(fleet.server(0)) == 2);
    fleet.dropStalePeers(1500ms, start + 5s);
    CHECK(Fleet::loadOf(fleet.server(0)) == 0);
}

TEST_CASE("a backend server gets the loads that peers reported before it was listed", "[gateway][fleet]")
{
    FilledFleet fleet(1);
    fleet.onPeerLoads("vm-2", {{"late", 3}}, start);
    fleet.onServerListed(entryOf("late"), start + 100ms);
    CHECK(Fleet::loadOf(*fleet.find("late")) == 3);
    fleet.onPeerLoads("vm-2", {}, start + 200ms);
    CHECK(Fleet::loadOf(*fleet.find("late")) == 0);
}

TEST_CASE("the timeout for an unresponsive backend server follows its mean time to the response headers, and peers are told", "[gateway][fleet]")
{
    FilledFleet fleet(2);
    auto &server = fleet.server(0);
    Fleet::recordTimeToHeaders(server, 20ms);
    server.outstanding = 3;
    server.awaitingBytesSince = start;
    CHECK_FALSE(Fleet::isUnresponsive(server, start + 100ms));
    CHECK(Fleet::isUnresponsive(server, start + 200ms));
    REQUIRE(fleet.suspicions(start + 200ms).size() == 1);
    CHECK(fleet.suspicions(start + 200ms).front().server == "s0");
}

TEST_CASE("a failure ratio shared by all makes no backend server suspect; one that fails more than the others becomes suspect", "[gateway][fleet]")
{
    FilledFleet fleet(6);
    const auto finishAll = [&fleet](int round, int worst) {
        for (int i = 0; i < 6; ++i) {
            const bool fails = (round + i) % 20 < 3 || (i == worst && round % 2 == 0);
            fleet.recordOutcome(fleet.server(i), fails ? Outcome::Failed : Outcome::Answered, start);
        }
    };
    for (int round = 0; round < 100; ++round) {
        finishAll(round, -1);
        for (int i = 0; i < 6; ++i) {
            CHECK(fleet.availabilityOf(fleet.server(i), start) == Availability::Usable);
        }
    }
    for (int round = 0; round < 60; ++round) {
        finishAll(round, 2);
    }
    CHECK(fleet.availabilityOf(fleet.server(2), start) == Availability::Suspect);
    CHECK(fleet.availabilityOf(fleet.server(3), start) == Availability::Usable);
}

TEST_CASE("a peer's suspicion of a backend server expires and needs no probe afterwards", "[gateway][fleet]")
{
    FilledFleet fleet(2);
    fleet.onPeerSuspicion({"s0", 300ms}, start);
    CHECK(fleet.availabilityOf(fleet.server(0), start + 100ms) == Availability::Suspect);
    CHECK(fleet.availabilityOf(fleet.server(0), start + 400ms) == Availability::Usable);
}

TEST_CASE("uneven router: with a single request in flight, a backend server is suspect only after a longer timeout, and peers are not told", "[gateway][fleet]")
{
    FilledFleet fleet(2);
    auto &server = fleet.server(0);
    Fleet::recordTimeToHeaders(server, 80ms);
    server.outstanding = 1;
    server.awaitingBytesSince = start;
    CHECK(fleet.availabilityOf(server, start + 900ms) == Availability::Usable);
    CHECK(fleet.suspicions(start + 2s).empty());
    CHECK(fleet.availabilityOf(server, start + 2s) == Availability::Suspect);
}

TEST_CASE("a backend server that fails half of its requests becomes suspect within a few of them, and peers are told", "[gateway][fleet]")
{
    FilledFleet fleet(12);
    for (int round = 0; round < 8; ++round) {
        for (int i = 0; i < 12; ++i) {
            const bool fails = i == 4 && round % 2 == 0;
            fleet.recordOutcome(fleet.server(i), fails ? Outcome::Failed : Outcome::Answered, start);
        }
    }
    CHECK(fleet.availabilityOf(fleet.server(4), start) == Availability::Suspect);
    const auto reports = fleet.suspicions(start);
    REQUIRE(reports.size() == 1);
    CHECK(reports.front().server == fleet.server(4).entry.id);
}

TEST_CASE("crash and failures at the peak: a server that fails requests can still give its cached histories, one that does not respond cannot",
          "[gateway][fleet][history]")
{
    FilledFleet fleet(4);
    auto &failing = fleet.server(0);
    for (int i = 0; i < 10; ++i) {
        fleet.recordOutcome(failing, Outcome::Failed, start);
    }
    REQUIRE(fleet.availabilityOf(failing, start) == Availability::Suspect);
    CHECK(Fleet::canServeCacheFetch(failing, start));
    const auto reports = fleet.suspicions(start);
    REQUIRE(reports.size() == 1);
    CHECK(reports[0].isResponding);
    auto &crashed = fleet.server(1);
    fleet.recordOutcome(crashed, Outcome::Unreachable, start);
    CHECK_FALSE(Fleet::canServeCacheFetch(crashed, start));
    // Peers' reports tell the two apart as well.
    fleet.onPeerSuspicion({"s2", 2000ms, true}, start);
    fleet.onPeerSuspicion({"s3", 2000ms, false}, start);
    CHECK(Fleet::canServeCacheFetch(fleet.server(2), start));
    CHECK_FALSE(Fleet::canServeCacheFetch(fleet.server(3), start));
    CHECK(Fleet::canServeCacheFetch(fleet.server(3), start + 2100ms));
}
