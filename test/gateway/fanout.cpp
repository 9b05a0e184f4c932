#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/fanout.h>

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace cyclamenspool;

namespace {

std::vector<std::string> addresses(int count)
{
    std::vector<std::string> all;
    for (int i = 0; i < count; ++i) {
        all.push_back("10.0." + std::to_string(i / 200) + "." + std::to_string(i % 200) + ":7000");
    }
    return all;
}

std::vector<std::string> without(std::vector<std::string> all, const std::string &self)
{
    std::erase(all, self);
    return all;
}

} // namespace

TEST_CASE("720 gateways: a message reaches each gateway of a zone once, and no gateway sends many copies", "[gateway][fanout]")
{
    for (const std::size_t count : {0U, 1U, 2U, 3U, 5U, 6U, 17U, 65U, 200U}) {
        CAPTURE(count);
        const auto members = addresses(static_cast<int>(count));
        const auto groups = gateway::fanOutGroups(members, 7);
        std::set<std::string> reached;
        std::size_t copies = 0;
        const auto limit = static_cast<std::size_t>(std::sqrt(static_cast<double>(count))) + 1;
        CHECK(groups.size() <= limit);
        for (const auto &group : groups) {
            CHECK(group.others.size() <= limit);
            reached.insert(group.relay);
            reached.insert(group.others.begin(), group.others.end());
            copies += 1 + group.others.size();
        }
        CHECK(reached == std::set<std::string>(members.begin(), members.end()));
        CHECK(copies == count);
    }
}

TEST_CASE("the work of passing messages on is spread over the gateways, and a lost relay costs the others a message now and then", "[gateway][fanout]")
{
    const auto members = addresses(50);
    const auto &lost = members[11];
    std::map<std::string, int> sent;
    std::map<std::string, int> missed;
    constexpr int messages = 500;
    for (std::uint64_t seed = 0; seed < messages; ++seed) {
        for (const auto &group : gateway::fanOutGroups(members, seed)) {
            sent[group.relay] += static_cast<int>(group.others.size());
            for (const auto &other : group.others) {
                missed[other] += group.relay == lost ? 1 : 0;
            }
        }
    }
    for (const auto &address : members) {
        CHECK(sent[address] < 2 * messages);
        CHECK(missed[address] < messages / 20);
    }
}

TEST_CASE("exactly one gateway of a zone is on duty, and duties are spread over the gateways", "[gateway][fanout]")
{
    const auto all = addresses(17);
    std::set<std::string> holders;
    for (int duty = 0; duty < 40; ++duty) {
        int count = 0;
        for (const auto &self : all) {
            if (gateway::isOnDuty("az-" + std::to_string(duty), self, without(all, self))) {
                ++count;
                holders.insert(self);
            }
        }
        CHECK(count == 1);
    }
    CHECK(holders.size() >= 8);
    CHECK(gateway::isOnDuty("az-1", all.front(), {}));
}
