#include <cyclamenspool/router/core/placement.h>

#include <cyclamenspool/policy/rendezvous.h>

#include <algorithm>

namespace cyclamenspool::router {

namespace internal {

constexpr std::size_t candidateLimit = 4;

std::vector<std::string> rankedNames(const std::string &key, const std::vector<member::Member> &members, std::size_t limit)
{
    std::vector<std::string> names;
    for (const auto *member : policy::rankByRendezvous(key, members, limit)) {
        names.push_back(member->server);
    }
    return names;
}

Placement placeByKey(const CallerRequest &request, const member::FleetView &view)
{
    const auto scoped = request.workspace + "/" + request.key;
    return {Binding::KeyHome, rankedNames(scoped, view.keyHomes(request.pool), 1), "home of the idempotency key"};
}

Placement placeByChat(const CallerRequest &request, const member::FleetView &view)
{
    Placement placement{Binding::Chat, rankedNames(request.chat, view.members(request.pool), candidateLimit), "home of the chat"};
    const auto *hinted = view.find(request.pool, request.locationHint);
    if (hinted != nullptr && hinted->accepting) {
        auto &names = placement.candidates;
        names.erase(std::remove(names.begin(), names.end(), hinted->server), names.end());
        names.insert(names.begin(), hinted->server);
        placement.reason = "location hint";
        placement.hinted = true;
    }
    return placement;
}

} // namespace internal

Placement place(const CallerRequest &request, bool isKeyed, const member::FleetView &view, core::RandomSource &random)
{
    if (isKeyed) {
        return internal::placeByKey(request, view);
    }
    if (!request.chat.empty()) {
        return internal::placeByChat(request, view);
    }
    const auto draw = std::to_string(random.bits());
    return {Binding::Any, internal::rankedNames(draw, view.members(request.pool), internal::candidateLimit), "drawn at random"};
}

} // namespace cyclamenspool::router
