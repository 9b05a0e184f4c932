#include <cyclamenspool/gateway/fanout.h>

#include <cyclamenspool/core/hash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace cyclamenspool::gateway {

std::vector<std::string> fanOutTargets(const std::string &source, const std::string &self, const std::vector<std::string> &members)
{
    std::vector<std::pair<std::uint64_t, std::string>> others;
    others.reserve(members.size() + 1);
    const auto add = [&others, seed = core::hash64(source), &source](const std::string &address) {
        if (address != source) {
            others.emplace_back(core::hash64(address, seed), address);
        }
    };
    std::for_each(members.begin(), members.end(), add);
    add(self);
    std::sort(others.begin(), others.end());
    std::size_t position = 0; /* in the tree, the source is at 0 */
    while (self != source && others[position].second != self) {
        ++position;
    }
    position += self == source ? 0 : 1;
    std::vector<std::string> targets;
    for (std::size_t child = position * fanOutDegree; child < others.size() && targets.size() < fanOutDegree; ++child) {
        targets.push_back(others[child].second);
    }
    return targets;
}

bool isOnDuty(const std::string &duty, const std::string &self, const std::vector<std::string> &members)
{
    const auto seed = core::hash64(duty);
    const auto own = core::hash64(self, seed);
    return std::none_of(members.begin(), members.end(), [seed, own](const std::string &address) {
        return core::hash64(address, seed) < own;
    });
}

} // namespace cyclamenspool::gateway
