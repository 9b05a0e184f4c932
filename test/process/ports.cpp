#include <catch2/catch.hpp>

#include <harness/ports.h>

#include <cyclamenspool/config/settings.h>

#include <fstream>
#include <set>

using namespace cyclamenspool;

TEST_CASE("ports for test processes are unique and outside the range of outgoing connections", "[process][harness]")
{
    std::ifstream range("/proc/sys/net/ipv4/ip_local_port_range");
    unsigned firstEphemeral = 0;
    unsigned lastEphemeral = 0;
    REQUIRE(range >> firstEphemeral >> lastEphemeral);
    std::set<std::string> addresses;
    for (int i = 0; i < 200; ++i) {
        const auto address = harness::findFreeAddress();
        const auto port = config::splitAddress(address).second;
        CHECK((port < firstEphemeral || port > lastEphemeral));
        CHECK(addresses.insert(address).second);
    }
}

TEST_CASE("ports of tests that run at the same time differ", "[process][harness]")
{
    harness::PortBlocks first;
    harness::PortBlocks second;
    std::set<std::string> addresses;
    for (int i = 0; i < 300; ++i) {
        CHECK(addresses.insert(first.findFreeAddress()).second);
        CHECK(addresses.insert(second.findFreeAddress()).second);
        CHECK(addresses.insert(harness::findFreeAddress()).second);
    }
}
