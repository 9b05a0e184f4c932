#include <catch2/catch.hpp>

#include <cyclamenspool/policy/rendezvous.h>

#include <algorithm>
#include <map>

using namespace cyclamenspool;
using member::Member;

namespace {

std::vector<Member> makeMembers(int count)
{
    std::vector<Member> members;
    for (int i = 0; i < count; ++i) {
        members.push_back({"engine-" + std::to_string(i), "vm", "az", "", 1.0, true});
    }
    return members;
}

std::string homeOf(int chat, const std::vector<Member> &members)
{
    return policy::rankByRendezvous("chat-" + std::to_string(chat), members, 1).front()->server;
}

} // namespace

TEST_CASE("the ranking does not depend on the order of the member list", "[policy]")
{
    auto members = makeMembers(12);
    auto reversed = members;
    std::reverse(reversed.begin(), reversed.end());
    for (int chat = 0; chat < 100; ++chat) {
        CHECK(homeOf(chat, members) == homeOf(chat, reversed));
    }
}

TEST_CASE("only the chats of a leaving member move", "[policy]")
{
    const auto members = makeMembers(12);
    auto fewer = members;
    fewer[5].accepting = false;
    int moved = 0;
    for (int chat = 0; chat < 2000; ++chat) {
        const auto before = homeOf(chat, members);
        const auto after = homeOf(chat, fewer);
        moved += before != after ? 1 : 0;
        CHECK((before == after || before == "engine-5"));
        CHECK(after != "engine-5");
    }
    CHECK(moved > 0);
}

TEST_CASE("chats are distributed in proportion to the members' weights", "[policy]")
{
    auto members = makeMembers(3);
    members[0].weight = 2.0;
    std::map<std::string, int> counts;
    for (int chat = 0; chat < 20000; ++chat) {
        ++counts[homeOf(chat, members)];
    }
    CHECK(counts["engine-0"] == Approx(10000).margin(300));
    CHECK(counts["engine-1"] == Approx(5000).margin(300));
}
