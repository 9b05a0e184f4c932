#include <cyclamenspool/policy/rendezvous.h>

#include <cyclamenspool/core/hash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace cyclamenspool::policy {

namespace internal {

constexpr double hashRange = 18446744073709551616.0; /* 2^64 */

double score(std::uint64_t keyHash, const member::Member &member)
{
    const auto hash = core::hash64(member.server, keyHash);
    const double uniform = (static_cast<double>(hash) + 0.5) / hashRange;
    return -member.weight / std::log(uniform);
}

} // namespace internal

std::vector<const member::Member *> rankByRendezvous(std::string_view key, const std::vector<member::Member> &members, std::size_t limit)
{
    using Scored = std::pair<double, const member::Member *>;
    const auto keyHash = core::hash64(key);
    std::vector<Scored> scored;
    scored.reserve(members.size());
    for (const auto &member : members) {
        if (member.accepting) {
            scored.emplace_back(internal::score(keyHash, member), &member);
        }
    }
    const auto count = std::min(limit, scored.size());
    const auto hasHigherScore = [](const Scored &a, const Scored &b) {
        return a.first != b.first ? a.first > b.first : a.second->server < b.second->server;
    };
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(count), scored.end(), hasHigherScore);
    std::vector<const member::Member *> ranked;
    ranked.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        ranked.push_back(scored[i].second);
    }
    return ranked;
}

} // namespace cyclamenspool::policy
