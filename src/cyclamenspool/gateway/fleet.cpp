#include <cyclamenspool/gateway/fleet.h>

#include <algorithm>

namespace cyclamenspool::gateway {

namespace internal {

using core::Milliseconds;

constexpr Milliseconds firstSuspicion{300};
constexpr Milliseconds longestSuspicion{2400};
constexpr Milliseconds movedSuspicion{2000}; /* another backend server has the address; its next report is due sooner */
constexpr Milliseconds fullPause{150};
constexpr Milliseconds longestSilence{700}; /* longer than the prefill of a long prompt */
constexpr Milliseconds shortestSilence{150};
constexpr Milliseconds silentSuspicion{300}; /* told to peers; repeated while the silence lasts */
constexpr int sureSilence = 3; /* requests that wait; a single one may have met a long prefill */
constexpr double unsureFactor = 2.0; /* on the limit while fewer wait */
constexpr double silenceFactor = 6.0; /* of the usual time until an answer begins */
constexpr double headTimeWeight = 0.1; /* of the newest answer in the moving average */
constexpr double trendSeconds = 2.0; /* window of the sends that stand for those of peers */
constexpr Milliseconds lapseGrace{2200}; /* entries come back within 2 s after the store's return */
constexpr Milliseconds firstListTime{1000}; /* in which the first list is read */
constexpr double failureWeight = 0.08; /* of the newest answer in the moving average */
constexpr double failureLimit = 0.18; /* ratio of failures above what the service's others have */
constexpr double othersFactor = 1.5; /* on the ratio of the others */
constexpr double ejectedPart = 0.34; /* of a service's backend servers that may be suspect for failures */

} // namespace internal

void Fleet::leaveService(const ServerPtr &server)
{
    const auto found = byService_.find(server->record.service);
    if (found == byService_.end()) {
        return;
    }
    std::erase(found->second, server);
    if (found->second.empty()) {
        byService_.erase(found);
    }
}

bool Fleet::onListed(const world::BackendServer &listed, core::MonotonicTime now)
{
    auto &server = servers_[listed.id];
    const bool isNew = server == nullptr || server->record.started != listed.started;
    if (isNew) {
        if (server != nullptr) {
            server->isGone = true;
            leaveService(server);
        }
        server = std::make_shared<ServerState>(listed);
        server->peersOutstanding = peerLoads_.at(listed.id);
        firstListed_ = firstListed_.value_or(now);
        const bool wasThere = now < *firstListed_ + internal::firstListTime && listed.coldRemaining.count() == 0;
        server->joined = wasThere ? core::MonotonicTime::min() : now;
        byService_[listed.service].push_back(server);
    }
    const bool isChange = isNew || server->record.leaving != listed.leaving || server->coldUnknown || server->lapsed;
    if (server->record.service != listed.service) {
        leaveService(server);
        byService_[listed.service].push_back(server);
    }
    server->record = listed;
    server->listed = now;
    server->lapsed.reset();
    server->coldUnknown = false;
    server->coldUntil = now + listed.coldRemaining;
    return isChange;
}

void Fleet::onUnlisted(const std::string &id, core::MonotonicTime now)
{
    const auto found = servers_.find(id);
    if (found == servers_.end()) {
        return;
    }
    if (storeWasIll(now)) {
        found->second->lapsed = now;
        return;
    }
    found->second->isGone = true;
    leaveService(found->second);
    servers_.erase(found);
}

void Fleet::onZone(const std::string &zone, bool isLeaving)
{
    if (isLeaving) {
        leavingZones_.insert(zone);
        return;
    }
    if (leavingZones_.erase(zone) == 0) {
        return;
    }
    for (const auto &[id, server] : servers_) {
        server->coldUnknown = server->coldUnknown || server->record.zone == zone;
    }
}

bool Fleet::storeWasIll(core::MonotonicTime now) const
{
    return wasIll_ && (!wellSince_ || now < *wellSince_ + internal::lapseGrace);
}

void Fleet::onStoreIll()
{
    wasIll_ = true;
    wellSince_.reset();
}

void Fleet::onStoreWell(core::MonotonicTime now)
{
    if (!wellSince_) {
        wellSince_ = now;
    }
    dropLapsed(now);
}

void Fleet::dropLapsed(core::MonotonicTime now)
{
    if (now < *wellSince_ + internal::lapseGrace) {
        return;
    }
    for (auto known = servers_.begin(); known != servers_.end();) {
        if (!known->second->lapsed) {
            ++known;
            continue;
        }
        known->second->isGone = true;
        leaveService(known->second);
        known = servers_.erase(known);
    }
}

void Fleet::suspect(ServerState &server, core::Milliseconds time, core::MonotonicTime now) const
{
    server.suspectUntil = std::max(server.suspectUntil, now + time);
    server.tellUntil = server.suspectUntil;
    server.onTrial = true;
}

void Fleet::onOutcome(ServerState &server, Outcome outcome, core::MonotonicTime now)
{
    const auto backOff = [&server] {
        const int doublings = std::min(server.failuresInRow - 1, 3);
        return std::min(internal::firstSuspicion * (1 << std::max(doublings, 0)), internal::longestSuspicion);
    };
    switch (outcome) {
    case Outcome::Answered:
        server.failuresInRow = 0;
        server.onTrial = false;
        server.failureRatio *= 1 - internal::failureWeight;
        break;
    case Outcome::Failed:
        server.failureRatio += internal::failureWeight * (1 - server.failureRatio);
        if (failsMoreThanOthers(server, now)) {
            suspect(server, internal::longestSuspicion, now);
        }
        break;
    case Outcome::Broken:
        ++server.failuresInRow;
        if (server.failuresInRow > 1) {
            suspect(server, internal::firstSuspicion, now);
        }
        break;
    case Outcome::Unreachable:
        ++server.failuresInRow;
        suspect(server, backOff(), now);
        // It may come back cold before its next report.
        server.coldUnknown = true;
        break;
    case Outcome::Full:
        server.fullUntil = now + internal::fullPause;
        break;
    case Outcome::Elsewhere:
        suspect(server, internal::movedSuspicion, now);
        break;
    case Outcome::Abandoned:
    case Outcome::Count:
        break;
    }
}

void Fleet::onPeerLoads(const std::string &vm, const std::vector<LoadNews> &loads, core::MonotonicTime now)
{
    refreshLoads(peerLoads_.take(vm, loads, now));
}

void Fleet::forgetSilentPeers(core::Milliseconds limit, core::MonotonicTime now)
{
    refreshLoads(peerLoads_.dropSilent(limit, now));
}

void Fleet::refreshLoads(const std::vector<std::string> &servers)
{
    for (const auto &id : servers) {
        const auto found = servers_.find(id);
        if (found != servers_.end()) {
            found->second->peersOutstanding = peerLoads_.at(id);
        }
    }
}

std::chrono::duration<double> Fleet::unseenTime(core::MonotonicTime now) const
{
    return peerLoads_.unseenTime(now);
}

void Fleet::onPeerSuspicion(const SuspicionNews &news, core::MonotonicTime now)
{
    const auto found = servers_.find(news.server);
    if (found == servers_.end()) {
        return;
    }
    auto &server = *found->second;
    // A peer may be cut off from a backend server that others reach: its word holds for a moment, and no trial is owed after it.
    const bool answersHere = server.outstanding > 0 && server.unheardSince && now - *server.unheardSince < internal::firstSuspicion;
    if (!answersHere) {
        server.suspectUntil = std::max(server.suspectUntil, now + std::min(news.lasts, internal::longestSuspicion));
    }
}

bool Fleet::failsMoreThanOthers(const ServerState &server, core::MonotonicTime now) const
{
    const auto &servers = serversOf(server.record.service);
    int suspects = 0;
    double others = 0;
    for (const auto &other : servers) {
        suspects += standingOf(*other, now) == Standing::Suspect ? 1 : 0;
        others += other.get() == &server ? 0 : other->failureRatio;
    }
    const auto count = static_cast<double>(servers.size());
    const double mean = others / std::max(count - 1, 1.0);
    const bool mayEject = suspects + 1 <= internal::ejectedPart * count;
    return mayEject && server.failureRatio > internal::failureLimit + internal::othersFactor * mean;
}

std::vector<SuspicionNews> Fleet::suspicions(core::MonotonicTime now) const
{
    std::vector<SuspicionNews> news;
    for (const auto &[id, server] : servers_) {
        if (server->tellUntil > now) {
            news.push_back({id, std::chrono::duration_cast<core::Milliseconds>(server->tellUntil - now)});
        } else if (server->outstanding >= internal::sureSilence && isSilent(*server, now)) {
            news.push_back({id, internal::silentSuspicion});
        }
    }
    return news;
}

std::vector<LoadNews> Fleet::loads() const
{
    std::vector<LoadNews> news;
    for (const auto &[id, server] : servers_) {
        if (server->outstanding > 0) {
            news.push_back({id, server->outstanding});
        }
    }
    return news;
}

Standing Fleet::standingOf(const ServerState &server, core::MonotonicTime now) const
{
    const bool isLapsed = server.lapsed && wellSince_ && now >= *wellSince_ + internal::lapseGrace;
    if (server.record.leaving || server.isGone || isLapsed) {
        return Standing::Leaving;
    }
    if (leavingZones_.count(server.record.zone) > 0) {
        return Standing::Evacuated;
    }
    if (server.suspectUntil > now || isSilent(server, now)) {
        return Standing::Suspect;
    }
    if (server.onTrial) {
        return Standing::OnTrial;
    }
    return server.coldUnknown || server.coldUntil > now ? Standing::Cold : Standing::Usable;
}

bool Fleet::isSilent(const ServerState &server, core::MonotonicTime now)
{
    using Seconds = std::chrono::duration<double>;
    if (!server.unheardSince) {
        return false;
    }
    const Seconds usual = server.headTime.value_or(internal::longestSilence) * internal::silenceFactor;
    Seconds limit = std::clamp<Seconds>(usual, internal::shortestSilence, internal::longestSilence);
    if (server.outstanding < internal::sureSilence) {
        limit *= internal::unsureFactor;
    }
    return now - *server.unheardSince > limit;
}

void Fleet::onHeadTime(ServerState &server, core::MonotonicTime::duration time)
{
    const std::chrono::duration<double> newest = time;
    const auto known = server.headTime.value_or(newest);
    server.headTime = known + (newest - known) * internal::headTimeWeight;
}

int Fleet::loadOf(const ServerState &server) noexcept
{
    return server.outstanding + server.peersOutstanding;
}

double Fleet::unseenLoadOf(ServerState &server, std::chrono::duration<double> unseenTime, core::MonotonicTime now)
{
    // One send alone says nothing of the peers'.
    const auto sends = std::max<std::size_t>(server.trendSends.count(now), 1) - 1;
    const double perSecond = static_cast<double>(sends) / internal::trendSeconds;
    return perSecond * unseenTime.count();
}

ServerPtr Fleet::find(const std::string &id) const
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : found->second;
}

std::vector<ServerView> Fleet::views(core::MonotonicTime now) const
{
    std::vector<ServerView> views;
    views.reserve(servers_.size());
    for (const auto &[id, server] : servers_) {
        ServerView view;
        view.record = server->record;
        view.standing = standingOf(*server, now);
        view.reportAge = std::chrono::duration_cast<core::Milliseconds>(now - server->listed);
        view.outstanding = server->outstanding;
        view.load = loadOf(*server);
        view.failuresInRow = server->failuresInRow;
        view.failureRatio = server->failureRatio;
        view.answered = server->answered;
        view.failed = server->failed;
        views.push_back(std::move(view));
    }
    return views;
}

const std::vector<ServerPtr> &Fleet::serversOf(const std::string &service) const
{
    static const std::vector<ServerPtr> none;
    const auto found = byService_.find(service);
    return found == byService_.end() ? none : found->second;
}

} // namespace cyclamenspool::gateway
