#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/fanout.h>

#include <algorithm>
#include <cstddef>
#include <deque>
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

/** @brief Passes a message on from gateway to gateway. @return Number of copies that each gateway gets. */
std::map<std::string, int> passOn(const std::vector<std::string> &all, const std::string &source, std::size_t &mostSent)
{
    std::map<std::string, int> copies;
    std::deque<std::string> senders{source};
    while (!senders.empty()) {
        const auto self = senders.front();
        senders.pop_front();
        const auto targets = gateway::fanOutTargets(source, self, without(all, self));
        mostSent = std::max(mostSent, targets.size());
        for (const auto &target : targets) {
            if (++copies[target] == 1) {
                senders.push_back(target);
            }
        }
    }
    return copies;
}

} // namespace

TEST_CASE("720 gateways: a message reaches each gateway of a zone once, and no gateway sends more than four copies", "[gateway][fanout]")
{
    for (const int count : {1, 2, 3, 5, 6, 17, 65, 200}) {
        CAPTURE(count);
        const auto all = addresses(count);
        for (const auto &source : {all.front(), all.back(), all[all.size() / 2]}) {
            std::size_t mostSent = 0;
            const auto copies = passOn(all, source, mostSent);
            CHECK(copies.size() == all.size() - 1);
            CHECK(copies.count(source) == 0);
            CHECK(mostSent <= gateway::fanOutDegree);
            for (const auto &[address, number] : copies) {
                CHECK(number == 1);
            }
        }
    }
}

TEST_CASE("gateways that disagree about the members pass a message on in the end, and none gets it without end", "[gateway][fanout]")
{
    const auto all = addresses(30);
    const auto &source = all[3];
    std::map<std::string, int> copies;
    std::deque<std::string> senders{source};
    while (!senders.empty()) {
        const auto self = senders.front();
        senders.pop_front();
        // Each gateway lacks another member.
        auto members = without(all, self);
        members.erase(members.begin() + static_cast<std::ptrdiff_t>(copies.size() % members.size()));
        for (const auto &target : gateway::fanOutTargets(source, self, members)) {
            if (++copies[target] == 1 && target != source) {
                senders.push_back(target);
            }
        }
    }
    int total = 0;
    for (const auto &[address, number] : copies) {
        total += number;
    }
    CHECK(total <= 30 * static_cast<int>(gateway::fanOutDegree));
    CHECK(copies.size() >= 15); /* the others fetch for themselves */
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
