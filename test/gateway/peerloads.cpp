#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/peerloads.h>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using gateway::LoadReport;
using gateway::PeerLoads;
using gateway::ServerLoad;

namespace {

const core::MonotonicTime start = core::MonotonicTime() + 1h;

LoadReport reportOf(std::vector<ServerLoad> loads)
{
    return {std::move(loads), 1, core::Milliseconds(0)};
}

} // namespace

TEST_CASE("a report in any order replaces the earlier one of its source, and only changed totals are named", "[gateway][peerloads]")
{
    PeerLoads loads;
    CHECK(loads.update("vm-1", reportOf({{"s3", 3}, {"s1", 1}, {"s2", 2}}), start) == std::vector<std::string>{"s1", "s2", "s3"});
    CHECK(loads.update("vm-2", reportOf({{"s2", 5}}), start) == std::vector<std::string>{"s2"});
    CHECK(loads.update("vm-1", reportOf({{"s2", 2}, {"s4", 4}, {"s3", 1}}), start) == std::vector<std::string>{"s1", "s3", "s4"});
    CHECK(loads.totalOf("s1") == 0);
    CHECK(loads.totalOf("s2") == 7);
    CHECK(loads.totalOf("s3") == 1);
    CHECK(loads.totalOf("s4") == 4);
    CHECK(loads.totals().size() == 3);
    CHECK(loads.dropStale(1s, start + 2s).size() == 4);
    CHECK(loads.totals().empty());
}

TEST_CASE("a report that names a backend server twice counts both entries, and its replacement removes both", "[gateway][peerloads]")
{
    PeerLoads loads;
    static_cast<void>(loads.update("vm-1", reportOf({{"s1", 1}, {"s2", 2}, {"s1", 4}}), start));
    CHECK(loads.totalOf("s1") == 5);
    static_cast<void>(loads.update("vm-1", reportOf({{"s2", 2}}), start));
    CHECK(loads.totalOf("s1") == 0);
    CHECK(loads.totals().size() == 1);
}
