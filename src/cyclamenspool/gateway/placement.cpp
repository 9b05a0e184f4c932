#include <cyclamenspool/gateway/placement.h>

#include <cyclamenspool/core/hash.h>

#include <algorithm>

namespace cyclamenspool::gateway {

namespace internal {

constexpr double loadFactorMargin = 0.9; /* fraction of the load factor that is used; the rest covers loads that peers have not reported yet */
constexpr double loadBoundSlack = 2.5; /* requests added to the multiple of the mean load; 3 are allowed */
constexpr std::uint32_t maxSmallHistoryTokens = 1000; /* up to this size, a copy costs about as much as one request to another zone */
constexpr std::chrono::seconds settlePeriod{10}; /* this long after it joined, a server is assumed to hold the histories for which it ranks first */
constexpr double coldLimitMargin = 0.8; /* fraction of the rate limit of a cold start that is used */

/** @brief A backend server that may get the request. */
struct Candidate {
    const ServerPtr *server = nullptr; /* owned by the fleet */
    Availability availability = Availability::Usable;
    int load = 0;
    std::uint64_t rank = 0; /* lowest first */
};

bool ranksAfter(const Candidate &left, const Candidate &right) noexcept
{
    return left.rank > right.rank;
}

bool containsId(const std::vector<std::string> &ids, const std::string &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

std::uint64_t rankOf(const ServerState &server, int load, const PlacementQuery &query, const PlacementLimits &limits)
{
    const std::uint64_t otherZone = server.entry.zone == limits.zone ? 0 : 1;
    if (query.historyKey == 0) {
        return otherZone << 32U | static_cast<std::uint64_t>(load);
    }
    constexpr unsigned classShift = 62;
    const std::uint64_t lacksHistory = containsId(query.holders.whole, server.entry.id) ? 0 : 1;
    const bool isSmall = query.historyTokens <= maxSmallHistoryTokens;
    // For a large history, the zone only matters among holders: an extra copy for the own zone would cost more than it saves.
    const auto priorityClass = isSmall ? otherZone << 1U | lacksHistory : lacksHistory << 1U | (otherZone & ~lacksHistory);
    return priorityClass << classShift | core::hash64(server.entry.id, query.historyKey) >> (64U - classShift);
}

bool isWithinColdLimit(ServerState &server, const LimitSplitter &splitter, const PlacementLimits &limits, core::MonotonicTime now)
{
    if (limits.coldRequestsPerSecond <= 0) {
        return true;
    }
    const auto total = static_cast<std::size_t>(limits.coldRequestsPerSecond * coldLimitMargin);
    return server.recentSends.count(now) < splitter.shareOf(total, server.entry.id, now);
}

/** @brief Returns this gateway's share of the connections to a backend server, at least one; each request in flight uses one. */
std::size_t connectionShare(const LimitSplitter &splitter, const PlacementLimits &limits, core::MonotonicTime now)
{
    const auto share = static_cast<std::size_t>(limits.maxConnections) / splitter.gatewayCount(now);
    return std::max<std::size_t>(share, 1);
}

/**
 * @brief Estimates which backend server holds a history that this gateway has not seen.
 *
 * Other gateways have probably sent it to the first server in rendezvous order among those that joined longer ago than the settle period. If that is the
 * chosen server, the next one is returned, as it gets the requests above the load bound.
 * @return Likely holder; null if no other server qualifies.
 */
ServerPtr likelyHolder(const Fleet &fleet, std::uint64_t historyKey, const ServerState &chosen, core::MonotonicTime now)
{
    ServerPtr first;
    std::uint64_t firstRank = 0;
    for (const auto &server : fleet.serversOf(chosen.entry.service)) {
        const auto rank = core::hash64(server->entry.id, historyKey);
        const bool isSettled = server->joinedAt == core::MonotonicTime::min() || now - server->joinedAt > settlePeriod;
        const bool isFirst = first == nullptr || rank < firstRank;
        const bool isOther = server->entry.id != chosen.entry.id;
        if (isOther && isSettled && isFirst && Fleet::canServeCacheFetch(*server, now)) {
            first = server;
            firstRank = rank;
        }
    }
    return first;
}

/** @brief Returns the first of some holders that can serve a fetch; null if none can. */
ServerPtr firstSource(const Fleet &fleet, const std::vector<std::string> &holders, core::MonotonicTime now)
{
    for (const auto &id : holders) {
        auto holder = fleet.find(id);
        if (holder != nullptr && Fleet::canServeCacheFetch(*holder, now)) {
            return holder;
        }
    }
    return nullptr;
}

bool getsNoNewRequests(Availability availability)
{
    return availability == Availability::Leaving || availability == Availability::Evacuated || availability == Availability::BackingOff;
}

/**
 * @brief Mean load of a service's servers, the base of the load bound.
 *
 * It includes the servers that get no new requests, so that the bound does not rise when their requests move to the others. Servers that name a limit take less
 * than their part: if the others have a higher mean, that one counts, so that histories do not move among them.
 */
class MeanLoad
{
public:
    void add(int load, bool isLimited) noexcept
    {
        total_ += load;
        ++servers_;
        if (!isLimited) {
            unlimitedTotal_ += load;
            ++unlimitedServers_;
        }
    }

    [[nodiscard]] double mean() const noexcept
    {
        const double all = total_ / std::max(servers_, 1.0);
        return std::max(all, unlimitedTotal_ / std::max(unlimitedServers_, 1.0));
    }

private:
    double total_ = 0;
    double servers_ = 0;
    double unlimitedTotal_ = 0;
    double unlimitedServers_ = 0;
};

/** @brief Least time until a server that has asked for fewer requests may get one. */
class EarliestReturn
{
public:
    void add(core::Milliseconds time) noexcept
    {
        earliest_ = earliest_.count() == 0 ? time : std::min(earliest_, time);
    }

    /** @brief Returns the time; zero if no server was added. */
    [[nodiscard]] core::Milliseconds time() const noexcept
    {
        return earliest_;
    }

private:
    core::Milliseconds earliest_{0};
};

/** @brief Estimates the time to the first event of one request at several servers. */
class FirstEventEstimator
{
public:
    FirstEventEstimator(const Fleet &fleet, const PlacementQuery &query, core::Milliseconds peerUpdateAge, core::MonotonicTime now)
        : query_(query)
        , peerUpdateAge_(peerUpdateAge)
        , now_(now)
    {
        const bool isAsked = query.prompt.capacity != nullptr;
        canFetch_ = isAsked && (firstSource(fleet, query.holders.whole, now) != nullptr || firstSource(fleet, query.holders.beginning, now) != nullptr);
    }

    /** @brief Returns the estimate; empty if it is not asked for. @param unreported Requests that peers have probably sent since their last updates. */
    [[nodiscard]] std::optional<scheduling::FirstEventEstimate> at(const ServerState &server, double unreported) const
    {
        if (query_.prompt.capacity == nullptr) {
            return std::nullopt;
        }
        const scheduling::ServerOccupancy occupancy{
            static_cast<double>(server.outstanding), static_cast<double>(server.peersOutstanding) + unreported, query_.prompt.slots, peerUpdateAge_};
        return query_.prompt.capacity->estimate(server.capacity, occupancy, {uncachedTokens(server), query_.prompt.urgency}, now_);
    }

private:
    /** @brief Returns the tokens of the prompt that a server has to process: it was not sent them and can't fetch them. */
    [[nodiscard]] std::uint32_t uncachedTokens(const ServerState &server) const
    {
        const auto &holders = query_.holders;
        const bool isHolder = containsId(holders.whole, server.entry.id) || containsId(holders.beginning, server.entry.id);
        const auto cached = isHolder || canFetch_ ? holders.tokens : 0;
        return query_.prompt.tokens - std::min(query_.prompt.tokens, cached);
    }

    const PlacementQuery &query_;
    core::Milliseconds peerUpdateAge_;
    core::MonotonicTime now_;
    bool canFetch_ = false; /* a server that lacks the history can fetch it */
};

/** @brief Server with the least cost to the request and to those after it. */
class LeastExpected
{
public:
    void add(const ServerPtr &server, const scheduling::FirstEventEstimate &estimate)
    {
        const auto cost = estimate.expected + estimate.ownProcessing;
        if (server_ == nullptr || cost < cost_) {
            server_ = &server;
            estimate_ = estimate;
            cost_ = cost;
        }
    }

    /** @brief Returns the server; null if none was added. */
    [[nodiscard]] const ServerPtr *server() const noexcept
    {
        return server_;
    }

    [[nodiscard]] const scheduling::FirstEventEstimate &estimate() const noexcept
    {
        return estimate_;
    }

private:
    const ServerPtr *server_ = nullptr; /* owned by the fleet */
    scheduling::FirstEventEstimate estimate_;
    core::Milliseconds cost_{0};
};

} // namespace internal

Placement place(const Fleet &fleet, const LimitSplitter &splitter, const PlacementQuery &query, const PlacementLimits &limits, core::MonotonicTime now)
{
    std::vector<internal::Candidate> candidates;
    const auto &servers = fleet.serversOf(query.service);
    candidates.reserve(servers.size());
    internal::MeanLoad meanLoad;
    internal::EarliestReturn earliestReturn;
    for (const auto &server : servers) {
        const auto availability = fleet.availabilityOf(*server, now);
        const int load = Fleet::loadOf(*server);
        meanLoad.add(load, server->statements.limit(now).has_value());
        if (!internal::getsNoNewRequests(availability)) {
            candidates.push_back({&server, availability, load, internal::rankOf(*server, load, query, limits)});
        } else if (availability == Availability::BackingOff) {
            earliestReturn.add(std::chrono::ceil<core::Milliseconds>(server->statements.backOffUntil() - now));
        }
    }
    if (candidates.empty()) {
        return {nullptr, core::ErrorKind::NoCandidate, "no backend server accepts new requests", earliestReturn.time()};
    }
    const double bound = limits.loadFactor * internal::loadFactorMargin * meanLoad.mean() + internal::loadBoundSlack;
    const auto updateAge = fleet.totalPeerUpdateAge(now);
    const auto connections = internal::connectionShare(splitter, limits, now);
    // Usually only the first few candidates are visited: a heap yields them without sorting all of them.
    std::make_heap(candidates.begin(), candidates.end(), internal::ranksAfter);
    const auto firstRank = candidates.front().rank;
    const ServerPtr *leastLoaded = nullptr;
    const ServerPtr *probe = nullptr;
    bool isColdLimitReached = false;
    const auto peers = static_cast<double>(std::max<std::size_t>(splitter.gatewayCount(now), 2) - 1);
    const internal::FirstEventEstimator estimator(fleet, query, std::chrono::duration_cast<core::Milliseconds>(updateAge / peers), now);
    internal::LeastExpected leastExpected;
    const ServerPtr *firstChoice = nullptr; /* below the load bound, if over the limit of the expected time */
    scheduling::FirstEventEstimate firstEstimate;
    for (; !candidates.empty(); candidates.pop_back()) {
        std::pop_heap(candidates.begin(), candidates.end(), internal::ranksAfter);
        const auto &candidate = candidates.back();
        auto &server = **candidate.server;
        if (internal::containsId(query.tried, server.entry.id) || static_cast<std::size_t>(server.outstanding) >= connections) {
            continue;
        }
        const auto limitWait = server.statements.waitTime(splitter, server.entry.id, now);
        if (limitWait.count() > 0) {
            earliestReturn.add(limitWait);
            continue;
        }
        const bool needsColdLimit = candidate.availability == Availability::Cold || candidate.availability == Availability::Probing;
        if (needsColdLimit && !internal::isWithinColdLimit(server, splitter, limits, now)) {
            isColdLimitReached = true;
            continue;
        }
        if (candidate.availability == Availability::Suspect || (candidate.availability == Availability::Probing && server.outstanding > 0)) {
            const bool isEarlier = probe == nullptr || server.suspectUntil < (*probe)->suspectUntil;
            probe = isEarlier ? candidate.server : probe;
            continue;
        }
        const auto unreported = Fleet::estimateUnreportedLoad(server, updateAge, now);
        if (candidate.load + unreported + 1 <= bound && server.atCapacityUntil <= now) {
            const auto estimate = estimator.at(server, unreported);
            if (!estimate || (leastExpected.server() == nullptr && scheduling::ServiceCapacity::isWithin(*estimate, query.prompt.limit))) {
                const char *reason = candidate.rank == firstRank ? "first choice" : "first choice below the load bound";
                return {*candidate.server, core::ErrorKind::NoCandidate, reason, core::Milliseconds(0), estimate};
            }
            if (leastExpected.server() == nullptr) {
                firstChoice = candidate.server;
                firstEstimate = *estimate;
            }
            leastExpected.add(*candidate.server, *estimate);
            continue;
        }
        const bool isLower = leastLoaded == nullptr || candidate.load < Fleet::loadOf(**leastLoaded);
        leastLoaded = isLower ? candidate.server : leastLoaded;
    }
    const bool isShort = leastExpected.server() == nullptr || !scheduling::ServiceCapacity::isWithin(leastExpected.estimate(), query.prompt.limit);
    if (!isShort && firstEstimate.expected <= query.prompt.objective) {
        // The service has room: its caches are worth more than the time.
        return {*firstChoice, core::ErrorKind::NoCandidate, "first choice within the objective", core::Milliseconds(0), firstEstimate, true};
    }
    if (leastExpected.server() != nullptr) {
        return {
            *leastExpected.server(), core::ErrorKind::NoCandidate, "least expected time to the first event", core::Milliseconds(0), leastExpected.estimate()};
    }
    if (leastLoaded != nullptr) {
        const auto estimate = estimator.at(**leastLoaded, Fleet::estimateUnreportedLoad(**leastLoaded, updateAge, now));
        return {*leastLoaded, core::ErrorKind::NoCandidate, "least loaded", core::Milliseconds(0), estimate};
    }
    if (probe != nullptr && internal::isWithinColdLimit(**probe, splitter, limits, now)) {
        return {*probe, core::ErrorKind::NoCandidate, "only suspect backend servers are left"};
    }
    if (earliestReturn.time().count() > 0 && !isColdLimitReached) {
        return {nullptr, core::ErrorKind::NoCandidate, "the limits that backend servers name are reached", earliestReturn.time()};
    }
    return {nullptr, isColdLimitReached ? core::ErrorKind::ColdStart : core::ErrorKind::NoCandidate, "no backend server can get the request now"};
}

ServerPtr findHistorySource(const Fleet &fleet, const PlacementQuery &query, const ServerState &chosen, core::MonotonicTime now)
{
    const auto &holders = query.holders;
    if (internal::containsId(holders.whole, chosen.entry.id)) {
        return nullptr;
    }
    auto source = internal::firstSource(fleet, holders.whole, now);
    if (source != nullptr) {
        return source;
    }
    source = internal::likelyHolder(fleet, query.historyKey, chosen, now);
    const bool holdsBeginning = source != nullptr && internal::containsId(holders.beginning, source->entry.id);
    if (holdsBeginning || internal::containsId(holders.beginning, chosen.entry.id)) {
        return source;
    }
    // The likely holder may well hold nothing of a new history; its beginning is certain to be found here.
    auto holderOfBeginning = internal::firstSource(fleet, holders.beginning, now);
    return holderOfBeginning != nullptr ? holderOfBeginning : source;
}

} // namespace cyclamenspool::gateway
