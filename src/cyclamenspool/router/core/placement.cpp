#include <cyclamenspool/router/core/placement.h>

#include <cyclamenspool/policy/rendezvous.h>

#include <algorithm>

namespace cyclamenspool::router {

namespace internal {

constexpr std::size_t maxCandidates = 4;

std::vector<std::string> rankServers(const std::string &key, const std::vector<member::Member> &members, std::size_t limit)
{
    std::vector<std::string> names;
    for (const auto *member : policy::rankByRendezvous(key, members, limit)) {
        names.push_back(member->server);
    }
    return names;
}

Placement placeByKey(const CallerRequest &request, const member::FleetView &view)
{
    const auto scopedKey = request.workspace + "/" + request.idempotencyKey;
    return {Affinity::IdempotencyKey, rankServers(scopedKey, view.keyHomes(request.pool), 1), "home of the idempotency key"};
}

Placement placeByChat(const CallerRequest &request, const member::FleetView &view)
{
    Placement placement{Affinity::Chat, rankServers(request.chat, view.members(request.pool), maxCandidates), "home of the chat"};
    const auto *hintedMember = view.find(request.pool, request.locationHint);
    if (hintedMember != nullptr && hintedMember->accepting) {
        auto &names = placement.candidates;
        names.erase(std::remove(names.begin(), names.end(), hintedMember->server), names.end());
        names.insert(names.begin(), hintedMember->server);
        placement.reason = "location hint";
        placement.isHinted = true;
    }
    return placement;
}

} // namespace internal

Placement choosePlacement(const CallerRequest &request, bool isKeyed, const member::FleetView &view, core::RandomSource &random)
{
    if (isKeyed) {
        return internal::placeByKey(request, view);
    }
    if (!request.chat.empty()) {
        return internal::placeByChat(request, view);
    }
    const auto randomKey = std::to_string(random.bits());
    return {Affinity::None, internal::rankServers(randomKey, view.members(request.pool), internal::maxCandidates), "chosen at random"};
}

} // namespace cyclamenspool::router
