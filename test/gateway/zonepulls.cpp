#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/peermessages.h>
#include <cyclamenspool/gateway/zonepulls.h>

#include <map>
#include <set>
#include <string>
#include <vector>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using gateway::Fleet;
using gateway::LoadReport;
using gateway::ZonePullRequest;
using gateway::ZonePulls;

namespace {

const core::MonotonicTime start = core::MonotonicTime() + 1h;

std::string addressOf(int zone, int gateway)
{
    return "10." + std::to_string(zone) + ".0." + std::to_string(gateway) + ":7000";
}

/** @brief Other zones with some gateways each, as one gateway sees them. */
struct OtherZones {
    OtherZones(const std::string &self, int zones, int gatewaysPerZone)
        : pulls(self)
    {
        for (int zone = 0; zone < zones; ++zone) {
            for (int gateway = 0; gateway < gatewaysPerZone; ++gateway) {
                pulls.addGateway(addressOf(zone, gateway), "az-" + std::to_string(zone));
            }
        }
    }

    ZonePulls pulls;
};

world::BackendServer entryOf(const std::string &id)
{
    world::BackendServer entry;
    entry.id = id;
    entry.service = "pool";
    entry.zone = "az-0";
    return entry;
}

} // namespace

TEST_CASE("hundreds of gateways: a gateway asks one gateway of each other zone, and all of a zone's gateways are asked by someone", "[gateway][zonepulls]")
{
    std::map<std::string, int> asked;
    constexpr int gatewaysPerZone = 17;
    for (int self = 0; self < gatewaysPerZone; ++self) {
        OtherZones zones(addressOf(9, self), 5, gatewaysPerZone);
        const auto requests = zones.pulls.takeDue(start);
        REQUIRE(requests.size() == 5);
        for (const auto &request : requests) {
            ++asked[request.address];
        }
        CHECK(zones.pulls.takeDue(start + 50ms).empty());
    }
    CHECK(asked.size() > 40); /* of 85; equal partners for all would be 5 */
    for (const auto &[address, count] : asked) {
        CHECK(count <= 8);
    }
}

TEST_CASE("720 gateways in 11 zones: the totals of the other zones stay within the byte budget of control messages", "[gateway][zonepulls]")
{
    constexpr std::size_t replyBytes = 30000; /* 6,000 backend servers with requests in flight, 5 bytes each */
    OtherZones zones(addressOf(99, 0), 10, 65);
    std::size_t bytes = 0;
    constexpr auto step = 50ms;
    constexpr auto duration = 600s;
    for (auto time = start; time < start + duration; time += step) {
        for (const auto &request : zones.pulls.takeDue(time)) {
            zones.pulls.onReply(request.zone, replyBytes, time);
            bytes += replyBytes;
        }
    }
    constexpr double budget = 19000; /* bytes per second */
    CHECK(static_cast<double>(bytes) / std::chrono::duration<double>(duration).count() < budget);
    CHECK(zones.pulls.maxAge() > zones.pulls.period());
}

TEST_CASE("herd restart: partners that do not reply are replaced without waiting for the period", "[gateway][zonepulls]")
{
    OtherZones zones(addressOf(9, 0), 1, 10);
    std::set<std::string> asked;
    auto time = start;
    for (int i = 0; i < 6; ++i) {
        const auto requests = zones.pulls.takeDue(time);
        REQUIRE(requests.size() == 1);
        asked.insert(requests[0].address);
        const bool isRefused = i % 2 == 0;
        if (isRefused) {
            zones.pulls.onRequestEnded("az-0", requests[0].address, time + 10ms);
        }
        time += isRefused ? 10ms : 400ms;
    }
    CHECK(asked.size() == 6);
}

TEST_CASE("a late end of a request does not count against its partner once it has replied", "[gateway][zonepulls]")
{
    OtherZones zones(addressOf(9, 0), 1, 10);
    const auto partner = zones.pulls.takeDue(start).at(0).address;
    zones.pulls.onReply("az-0", 500, start + 5ms);
    zones.pulls.onRequestEnded("az-0", partner, start + 6ms);
    const auto again = zones.pulls.takeDue(start + 200ms);
    REQUIRE(again.size() == 1);
    CHECK(again[0].address == partner);
    CHECK(again[0].sinceReply == 195ms);
}

TEST_CASE("the only gateway of a zone is asked again after it failed, and a zone without gateways is not", "[gateway][zonepulls]")
{
    OtherZones zones(addressOf(9, 0), 1, 1);
    const auto partner = zones.pulls.takeDue(start).at(0).address;
    zones.pulls.onRequestEnded("az-0", partner, start + 10ms);
    CHECK(zones.pulls.takeDue(start + 250ms).size() == 1);
    zones.pulls.removeGateway(partner);
    CHECK(zones.pulls.takeDue(start + 5s).empty());
}

TEST_CASE("a zone's totals arrive as they were sent: loads, their age and history placements", "[gateway][zonepulls]")
{
    Fleet sender;
    Fleet receiver;
    for (const std::string id : {"i-1", "i-2", "i-3"}) {
        sender.onServerListed(entryOf(id), start);
        receiver.onServerListed(entryOf(id), start);
    }
    sender.find("i-1")->outstanding = 2;
    sender.onPeerLoads("vm-2", {{"i-1", 3}, {"i-2", 1}}, start);
    sender.onZoneLoads("az-9", {{{"i-3", 7}}, 4, 0ms}, start);
    wire::ZoneTotals totals;
    totals.set_zone("az-0");
    gateway::setLoadReport(totals, sender.ownZoneLoads(start + 100ms));
    totals.add_placed_servers(gateway::serverHash("i-2"));
    totals.add_placed_histories(77);
    totals.add_placed_servers(gateway::serverHash("not listed"));
    totals.add_placed_histories(78);
    const auto decoded = gateway::decodeZoneTotals(totals.SerializeAsString());
    REQUIRE(decoded);
    receiver.onZoneLoads("az-0", gateway::loadReportOf(*decoded, receiver), start + 110ms);
    CHECK(Fleet::loadOf(*receiver.find("i-1")) == 5);
    CHECK(Fleet::loadOf(*receiver.find("i-2")) == 1);
    CHECK(Fleet::loadOf(*receiver.find("i-3")) == 0); /* another zone's, which it reports itself */
    // Two gateways: the peer's loads are 100 ms old when sent, and both grow older at the receiver.
    CHECK(receiver.totalPeerUpdateAge(start + 210ms) == 100ms + 2 * 100ms);
    const auto placements = gateway::placementsOf(*decoded, receiver);
    REQUIRE(placements.size() == 1);
    CHECK(placements[0].historyKey == 77);
    CHECK(placements[0].server == "i-2");
    receiver.dropStaleZones(1500ms, start + 2s);
    CHECK(Fleet::loadOf(*receiver.find("i-1")) == 0);
}

TEST_CASE("malformed totals of a zone are rejected", "[gateway][zonepulls]")
{
    wire::ZoneTotals totals;
    totals.set_zone("az-0");
    totals.add_load_servers(1);
    CHECK_FALSE(gateway::decodeZoneTotals(totals.SerializeAsString()));
    totals.add_load_outstanding(5);
    CHECK(gateway::decodeZoneTotals(totals.SerializeAsString()));
    totals.set_load_age_ms(-1);
    CHECK_FALSE(gateway::decodeZoneTotals(totals.SerializeAsString()));
    totals.set_load_age_ms(1);
    totals.set_load_outstanding(0, 2000000);
    CHECK_FALSE(gateway::decodeZoneTotals(totals.SerializeAsString()));
    totals.set_load_outstanding(0, 2);
    totals.clear_zone();
    CHECK_FALSE(gateway::decodeZoneTotals(totals.SerializeAsString()));
    CHECK_FALSE(gateway::decodeZoneTotals(""));
    CHECK_FALSE(gateway::decodeZonePull("\xff\xff"));
    wire::ZoneShare share;
    CHECK_FALSE(gateway::decodeZoneShare(share.SerializeAsString()));
    share.mutable_totals()->set_zone("az-0");
    CHECK(gateway::decodeZoneShare(share.SerializeAsString()));
    for (int i = 0; i < 2000; ++i) {
        share.add_pass_to("10.0.0.1:1");
    }
    CHECK_FALSE(gateway::decodeZoneShare(share.SerializeAsString()));
}

TEST_CASE("103 gateways in 6 zones: one gateway of a zone asks each other zone, whatever the number of gateways", "[gateway][zonepulls]")
{
    constexpr int gatewaysPerZone = 17;
    constexpr std::size_t replyBytes = 1500;
    std::vector<std::string> own;
    std::vector<OtherZones> gateways;
    for (int self = 0; self < gatewaysPerZone; ++self) {
        own.push_back(addressOf(9, self));
        gateways.emplace_back(own.back(), 5, gatewaysPerZone);
    }
    std::size_t bytesBetweenZones = 0;
    core::Milliseconds oldest{0};
    std::map<std::string, core::MonotonicTime> shared;
    constexpr auto duration = 60s;
    for (auto time = start; time < start + duration; time += 25ms) {
        for (std::size_t self = 0; self < gateways.size(); ++self) {
            auto members = own;
            members.erase(members.begin() + static_cast<std::ptrdiff_t>(self));
            for (const auto &request : gateways[self].pulls.takeDue(time, members)) {
                bytesBetweenZones += replyBytes;
                for (auto &other : gateways) {
                    other.pulls.onReply(request.zone, replyBytes, time);
                }
                const auto before = shared.count(request.zone) > 0 ? shared[request.zone] : time;
                oldest = std::max(oldest, std::chrono::duration_cast<core::Milliseconds>(time - before));
                shared[request.zone] = time;
            }
        }
    }
    constexpr double budget = 9000; /* bytes per second of one gateway, now of the zone */
    CHECK(static_cast<double>(bytesBetweenZones) / 60.0 < 2 * budget);
    CHECK(oldest <= gateways[0].pulls.period() + 50ms);
}

TEST_CASE("the gateway that asks another zone is lost: the others ask for themselves within the age at which totals are dropped", "[gateway][zonepulls]")
{
    const std::vector<std::string> own{addressOf(9, 0), addressOf(9, 1), addressOf(9, 2)};
    for (const auto &self : own) {
        auto members = own;
        std::erase(members, self);
        OtherZones zones(self, 1, 4);
        REQUIRE(zones.pulls.takeDue(start, members).size() == 1); /* it knows nothing yet */
        zones.pulls.onReply("az-0", 500, start);
        bool isAsked = false;
        for (auto time = start; time < start + zones.pulls.maxAge() / 2 && !isAsked; time += 25ms) {
            isAsked = !zones.pulls.takeDue(time, members).empty();
        }
        CHECK(isAsked);
    }
}
