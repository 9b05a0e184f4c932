#include <catch2/catch.hpp>

#include <harness/ports.h>

#include <cyclamenspool/config/settings.h>

#include <fstream>
#include <set>

using namespace cyclamenspool;

TEST_CASE("ports of the processes under test are never taken by an outgoing connection", "[process][harness]")
{
    std::ifstream range("/proc/sys/net/ipv4/ip_local_port_range");
    unsigned first = 0;
    unsigned last = 0;
    REQUIRE(range >> first >> last);
    std::set<std::string> seen;
    for (int i = 0; i < 200; ++i) {
        const auto address = harness::freeAddress();
        const auto port = config::splitAddress(address).second;
        CHECK((port < first || port > last));
        CHECK(seen.insert(address).second);
    }
}
