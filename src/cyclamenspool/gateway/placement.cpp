#include <cyclamenspool/gateway/placement.h>

#include <cyclamenspool/core/hash.h>

#include <algorithm>

namespace cyclamenspool::gateway {

namespace internal {

constexpr double boundMargin = 0.9; /* of the load factor; the rest covers loads that peers have not told yet */
constexpr double boundSlack = 2.5; /* requests above the multiple of the mean, of the 3 that are allowed */
constexpr std::uint32_t smallHistory = 1000; /* tokens; the copy is worth about one request of its kind across zones */
constexpr std::chrono::seconds settleTime{10}; /* after it joined, a backend server holds the histories that rank it first */
constexpr double coldMargin = 0.8; /* of what a cold backend server bears */

/** @brief A backend server that may be asked. */
struct Candidate {
    const ServerPtr *server = nullptr; /* within the fleet */
    Standing standing = Standing::Usable;
    int load = 0;
    std::uint64_t rank = 0; /* lowest first */
};

bool ranksAfter(const Candidate &left, const Candidate &right) noexcept
{
    return left.rank > right.rank;
}

bool isListed(const std::vector<std::string> &ids, const std::string &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

std::uint64_t rankOf(const ServerState &server, int load, const PlacementQuery &query, const PlacementBounds &bounds)
{
    const std::uint64_t otherZone = server.record.zone == bounds.zone ? 0 : 1;
    if (query.historyKey == 0) {
        return otherZone << 32U | static_cast<std::uint64_t>(load);
    }
    constexpr unsigned classShift = 62;
    const std::uint64_t lacks = isListed(query.holders, server.record.id) ? 0 : 1;
    const bool isSmall = query.historyTokens <= smallHistory;
    // Of a large history, only holders are told apart by zone: a copy for the zone alone would cost more than it saves.
    const auto order = isSmall ? otherZone << 1U | lacks : lacks << 1U | (otherZone & ~lacks);
    return order << classShift | core::hash64(server.record.id, query.historyKey) >> (64U - classShift);
}

bool coldAllows(ServerState &server, const Shares &shares, const PlacementBounds &bounds, core::MonotonicTime now)
{
    if (bounds.coldRequests <= 0) {
        return true;
    }
    const auto whole = static_cast<std::size_t>(bounds.coldRequests * coldMargin);
    return server.recentSends.count(now) < shares.part(whole, server.record.id, now);
}

/** @brief Splits the connections to a backend server among the gateways. @return This gateway's part, at least one. */
std::size_t connectionsPart(const Shares &shares, const PlacementBounds &bounds, core::MonotonicTime now)
{
    const auto part = static_cast<std::size_t>(bounds.connections) / shares.gateways(now);
    return std::max<std::size_t>(part, 1);
}

/** @brief Tells whether a backend server can be asked for its cache; one that leaves still can. */
bool canGive(const Fleet &fleet, const ServerState &server, core::MonotonicTime now)
{
    const auto standing = fleet.standingOf(server, now);
    return !server.isGone && !server.lapsed && standing != Standing::Suspect && standing != Standing::OnTrial;
}

/**
 * @brief Guesses who holds a history that this gateway has not seen: others have sent it to the first of the order that is not new.
 * @return That one; if it is the chosen one, the next, which takes what is above the load bound.
 */
ServerPtr likelyHolder(const Fleet &fleet, std::uint64_t historyKey, const ServerState &chosen, core::MonotonicTime now)
{
    ServerPtr first;
    std::uint64_t firstRank = 0;
    for (const auto &server : fleet.serversOf(chosen.record.service)) {
        const auto rank = core::hash64(server->record.id, historyKey);
        const bool isSettled = server->joined == core::MonotonicTime::min() || now - server->joined > settleTime;
        const bool isFirst = first == nullptr || rank < firstRank;
        const bool isOther = server->record.id != chosen.record.id;
        if (isOther && isSettled && isFirst && canGive(fleet, *server, now)) {
            first = server;
            firstRank = rank;
        }
    }
    return first;
}

bool isRefusing(Standing standing)
{
    return standing == Standing::Leaving || standing == Standing::Evacuated;
}

} // namespace internal

Placement place(const Fleet &fleet, const Shares &shares, const PlacementQuery &query, const PlacementBounds &bounds, core::MonotonicTime now)
{
    std::vector<internal::Candidate> candidates;
    const auto &servers = fleet.serversOf(query.service);
    candidates.reserve(servers.size());
    double total = 0;
    for (const auto &server : servers) {
        const auto standing = fleet.standingOf(*server, now);
        const int load = Fleet::loadOf(*server);
        total += load;
        if (!internal::isRefusing(standing)) {
            candidates.push_back({&server, standing, load, internal::rankOf(*server, load, query, bounds)});
        }
    }
    if (candidates.empty()) {
        return {nullptr, core::ErrorKind::NoCandidate, "no backend server takes work"};
    }
    // Those that get nothing count: what they had moves to the others, and the bound does not rise with it.
    const double mean = total / static_cast<double>(servers.size());
    const double bound = bounds.loadFactor * internal::boundMargin * mean + internal::boundSlack;
    const auto unseenTime = fleet.unseenTime(now);
    const auto connections = internal::connectionsPart(shares, bounds, now);
    // Only the first few are looked at: a heap gives them without the order of all the others.
    std::make_heap(candidates.begin(), candidates.end(), internal::ranksAfter);
    const auto firstRank = candidates.front().rank;
    const ServerPtr *leastLoaded = nullptr;
    const ServerPtr *trial = nullptr;
    bool coldRefused = false;
    for (; !candidates.empty(); candidates.pop_back()) {
        std::pop_heap(candidates.begin(), candidates.end(), internal::ranksAfter);
        const auto &candidate = candidates.back();
        auto &server = **candidate.server;
        if (internal::isListed(query.tried, server.record.id) || static_cast<std::size_t>(server.outstanding) >= connections) {
            continue;
        }
        const bool mayBeCold = candidate.standing == Standing::Cold || candidate.standing == Standing::OnTrial;
        if (mayBeCold && !internal::coldAllows(server, shares, bounds, now)) {
            coldRefused = true;
            continue;
        }
        if (candidate.standing == Standing::Suspect || (candidate.standing == Standing::OnTrial && server.outstanding > 0)) {
            const bool isSooner = trial == nullptr || server.suspectUntil < (*trial)->suspectUntil;
            trial = isSooner ? candidate.server : trial;
            continue;
        }
        const auto unseen = Fleet::unseenLoadOf(server, unseenTime, now);
        if (candidate.load + unseen + 1 <= bound && server.fullUntil <= now) {
            return {*candidate.server, core::ErrorKind::NoCandidate, candidate.rank == firstRank ? "first choice" : "first under the bound"};
        }
        const bool isLower = leastLoaded == nullptr || candidate.load < Fleet::loadOf(**leastLoaded);
        leastLoaded = isLower ? candidate.server : leastLoaded;
    }
    if (leastLoaded != nullptr) {
        return {*leastLoaded, core::ErrorKind::NoCandidate, "least loaded"};
    }
    if (trial != nullptr && internal::coldAllows(**trial, shares, bounds, now)) {
        return {*trial, core::ErrorKind::NoCandidate, "only suspects are left"};
    }
    return {nullptr, coldRefused ? core::ErrorKind::ColdStart : core::ErrorKind::NoCandidate, "no backend server may be asked now"};
}

ServerPtr findHistorySource(const Fleet &fleet,
                            std::uint64_t historyKey,
                            const ServerState &chosen,
                            const std::vector<std::string> &holders,
                            core::MonotonicTime now)
{
    if (internal::isListed(holders, chosen.record.id)) {
        return nullptr;
    }
    for (const auto &id : holders) {
        auto holder = fleet.find(id);
        if (holder != nullptr && internal::canGive(fleet, *holder, now)) {
            return holder;
        }
    }
    return internal::likelyHolder(fleet, historyKey, chosen, now);
}

} // namespace cyclamenspool::gateway
