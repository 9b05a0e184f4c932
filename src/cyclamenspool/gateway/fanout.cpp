#include <cyclamenspool/gateway/fanout.h>

#include <cyclamenspool/core/hash.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>

namespace cyclamenspool::gateway {

std::vector<FanOutGroup> fanOutGroups(const std::vector<std::string> &members, std::uint64_t seed)
{
    std::vector<std::pair<std::uint64_t, std::string>> order;
    order.reserve(members.size());
    for (const auto &address : members) {
        order.emplace_back(core::hash64(address, seed), address);
    }
    std::sort(order.begin(), order.end());
    const auto count = static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(members.size()))));
    std::vector<FanOutGroup> groups(count);
    for (std::size_t i = 0; i < order.size(); ++i) {
        auto &group = groups[i % count];
        if (group.relay.empty()) {
            group.relay = std::move(order[i].second);
        } else {
            group.others.push_back(std::move(order[i].second));
        }
    }
    return groups;
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
