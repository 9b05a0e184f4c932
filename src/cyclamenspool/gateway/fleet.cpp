#include <cyclamenspool/gateway/fleet.h>

#include <cyclamenspool/core/hash.h>

#include <algorithm>
#include <utility>

namespace cyclamenspool::gateway {

namespace internal {

using core::Milliseconds;

constexpr Milliseconds baseSuspicion{300};
constexpr Milliseconds maxSuspicion{2400};
constexpr Milliseconds addressReusedSuspicion{2000}; /* another server has the address; the next report is due within this time */
constexpr Milliseconds atCapacityPause{150};
constexpr Milliseconds maxByteTimeout{700}; /* longer than the prefill of a long prompt */
constexpr Milliseconds minByteTimeout{150};
constexpr Milliseconds unresponsiveSuspicion{300}; /* as reported to peers; renewed while the server stays unresponsive */
constexpr int minInFlightRequests = 3; /* a single request without a byte may be in a long prefill */
constexpr double fewInFlightFactor = 2.0; /* multiplies the timeout while fewer requests are in flight */
constexpr double byteTimeoutFactor = 6.0; /* multiplies the mean time to the response headers */
constexpr double timeToHeadersWeight = 0.1; /* weight of the latest response in the moving average */
constexpr double estimateWindowSeconds = 2.0; /* window of ServerState::peerEstimateSends */
constexpr Milliseconds statementReportTime{30000}; /* statements about limits are reported to other gateways for so long */
constexpr std::size_t maxStatementReports = 64; /* the latest ones, 2 KB in one update */
constexpr Milliseconds initialListTime{1000}; /* duration of reading the first list: servers listed within it were there before this process started */
constexpr double failureWeight = 0.08; /* weight of the latest response in the moving average */
constexpr double failureRatioMargin = 0.18; /* least excess over the scaled mean of the service's other servers for a suspicion */
constexpr double othersFactor = 1.5; /* multiplies the mean of the other servers' failure ratios */
constexpr double maxSuspectFraction = 0.34; /* failure ratios make no further server suspect once this fraction of the service's servers is suspect */

constexpr std::size_t maxProcessReports = 512; /* 20 KB in one reply to a gateway that starts */

KnownProcess processOf(const ServerState &server)
{
    const auto &entry = server.entry;
    return {entry.startedUnixMs, entry.sequence, entry.leaving, server.statements.isLeaving(), false, false};
}

} // namespace internal

std::uint32_t serverHash(const std::string &id) noexcept
{
    return static_cast<std::uint32_t>(core::hash64(id));
}

void Fleet::removeFromService(const ServerPtr &server)
{
    const auto found = byService_.find(server->entry.service);
    if (found == byService_.end()) {
        return;
    }
    std::erase(found->second, server);
    if (found->second.empty()) {
        byService_.erase(found);
    }
}

std::optional<KnownProcess> Fleet::knownProcess(const std::string &id, core::MonotonicTime now) const
{
    const auto server = find(id);
    if (server == nullptr) {
        return staleEntries_.rememberedProcess(id, now);
    }
    return internal::processOf(*server);
}

bool Fleet::onServerListed(const world::BackendServer &entry, core::MonotonicTime now)
{
    const auto known = knownProcess(entry.id, now);
    if (known && staleEntries_.withhold(entry, *known, now)) {
        return false;
    }
    return applyEntry(entry, known, now);
}

bool Fleet::applyEntry(const world::BackendServer &entry, const std::optional<KnownProcess> &known, core::MonotonicTime now)
{
    const bool isSameProcess = known && entry.startedUnixMs != 0 && known->startedUnixMs == entry.startedUnixMs;
    staleEntries_.onListed(entry.id);
    auto &server = servers_[entry.id];
    const bool isNew = server == nullptr || server->entry.startedUnixMs != entry.startedUnixMs;
    if (isNew) {
        if (server != nullptr) {
            server->isRemoved = true;
            removeFromService(server);
        }
        server = std::make_shared<ServerState>(entry);
        server->peersOutstanding = reportedLoadOf(entry.id);
        idsByHash_[serverHash(entry.id)] = entry.id;
        firstListedAt_ = firstListedAt_.value_or(now);
        const bool wasListedBefore = now < *firstListedAt_ + internal::initialListTime && entry.coldRemaining.count() == 0;
        server->joinedAt = wasListedBefore ? core::MonotonicTime::min() : now;
        byService_[entry.service].push_back(server);
        if (isSameProcess && known->saysLeaving) {
            server->statements.onReportedLeaving();
        }
    }
    const bool isChange = isNew || server->entry.leaving != entry.leaving || server->isColdUntilReport || server->entryExpiredAt;
    if (server->entry.service != entry.service) {
        removeFromService(server);
        byService_[entry.service].push_back(server);
    }
    server->entry = entry;
    server->reportedAt = now;
    server->entryExpiredAt.reset();
    server->isColdUntilReport = false;
    server->coldUntil = now + entry.coldRemaining;
    return isChange;
}

bool Fleet::applyWithheldEntry(std::uint32_t hash, core::MonotonicTime now)
{
    const auto *withheld = staleEntries_.withheldEntry(hash);
    if (withheld == nullptr) {
        return false;
    }
    auto entry = *withheld;
    const auto known = knownProcess(entry.id, now);
    if (known && known->startedUnixMs == entry.startedUnixMs) {
        if (known->isLeaving && !entry.leaving) {
            return false;
        }
        entry.sequence = known->sequence;
    }
    applyEntry(entry, known, now);
    return true;
}

void Fleet::onServerReported(std::uint32_t hash, core::MonotonicTime now)
{
    // The server has written the withheld entry again, as all but its sequence is unchanged.
    if (applyWithheldEntry(hash, now)) {
        return;
    }
    const auto server = find(idOf(hash));
    if (server == nullptr) {
        return;
    }
    server->reportedAt = now;
    server->entryExpiredAt.reset();
    server->isColdUntilReport = false;
    server->coldUntil = now;
}

bool Fleet::onServerRemoved(const std::string &id, core::MonotonicTime now)
{
    staleEntries_.dropWithheld(id);
    const auto found = servers_.find(id);
    if (found == servers_.end()) {
        return false;
    }
    if (store_.mayEntryHaveExpired(now)) {
        found->second->entryExpiredAt = now;
        return true;
    }
    removeServer(found, now);
    return false;
}

void Fleet::removeServer(std::map<std::string, ServerPtr>::iterator known, core::MonotonicTime now)
{
    staleEntries_.onRemoved(known->first, internal::processOf(*known->second), now);
    takeOut(known);
}

void Fleet::takeOut(std::map<std::string, ServerPtr>::iterator known)
{
    const auto &[id, server] = *known;
    server->isRemoved = true;
    removeFromService(server);
    idsByHash_.erase(serverHash(id));
    servers_.erase(known);
}

bool Fleet::onZoneEvacuation(const std::string &zone, bool isEvacuated, core::MonotonicTime now)
{
    endingEvacuations_.erase(zone);
    if (isEvacuated) {
        evacuatedZones_.insert(zone);
        return true;
    }
    if (evacuatedZones_.count(zone) > 0 && store_.isRestoring(now)) {
        endingEvacuations_.insert(zone);
        return true;
    }
    endEvacuation(zone);
    return false;
}

void Fleet::endEvacuation(const std::string &zone)
{
    if (evacuatedZones_.erase(zone) == 0) {
        return;
    }
    for (const auto &[id, server] : servers_) {
        server->isColdUntilReport = server->isColdUntilReport || server->entry.zone == zone;
    }
}

void Fleet::onStoreUnavailable()
{
    store_.onCallFailed();
}

void Fleet::onStoreAvailable(core::MonotonicTime now)
{
    store_.onAnswered(now);
}

void Fleet::onStoreRestored(core::MonotonicTime now)
{
    // An entry whose renewal time is over must not get another one.
    removeExpired(now);
    store_.onRestored(now);
    staleEntries_.onStoreRestored(now);
}

void Fleet::onStoreUptimeReported(const StoreUptime &uptime)
{
    store_.onReported(uptime);
}

void Fleet::removeExpired(core::MonotonicTime now)
{
    if (!store_.isRestoring(now)) {
        for (const auto &zone : std::exchange(endingEvacuations_, {})) {
            endEvacuation(zone);
        }
    }
    if (store_.mayEntryHaveExpired(now)) {
        return;
    }
    for (auto next = servers_.begin(); next != servers_.end();) {
        const auto known = next++;
        if (known->second->entryExpiredAt) {
            removeServer(known, now);
        }
    }
}

void Fleet::markSuspect(ServerState &server, core::Milliseconds time, bool isResponding, core::MonotonicTime now) const
{
    server.suspectUntil = std::max(server.suspectUntil, now + time);
    server.advertiseUntil = server.suspectUntil;
    if (!isResponding) {
        server.unreachableUntil = server.suspectUntil;
    }
    server.needsProbe = true;
}

void Fleet::recordOutcome(ServerState &server, Outcome outcome, core::MonotonicTime now)
{
    const auto backOffTime = [&server] {
        const int doublings = std::min(server.consecutiveFailures - 1, 3);
        return std::min(internal::baseSuspicion * (1 << std::max(doublings, 0)), internal::maxSuspicion);
    };
    switch (outcome) {
    case Outcome::Answered:
        server.consecutiveFailures = 0;
        server.needsProbe = false;
        server.failureRatio *= 1 - internal::failureWeight;
        break;
    case Outcome::Failed:
        server.failureRatio += internal::failureWeight * (1 - server.failureRatio);
        if (isFailureOutlier(server, now)) {
            markSuspect(server, internal::maxSuspicion, true, now);
        }
        break;
    case Outcome::TransportError:
        ++server.consecutiveFailures;
        if (server.consecutiveFailures > 1) {
            markSuspect(server, internal::baseSuspicion, false, now);
        }
        break;
    case Outcome::Unreachable:
        ++server.consecutiveFailures;
        markSuspect(server, backOffTime(), false, now);
        // It may restart, and be cold, before its next report.
        server.isColdUntilReport = true;
        break;
    case Outcome::AtCapacity:
        server.atCapacityUntil = now + internal::atCapacityPause;
        break;
    case Outcome::AddressReused:
        markSuspect(server, internal::addressReusedSuspicion, false, now);
        break;
    case Outcome::Abandoned:
    case Outcome::Count:
        break;
    }
}

void Fleet::onPeerLoads(const std::string &vm, const std::vector<ServerLoad> &loads, core::MonotonicTime now)
{
    updatePeerLoads(peerLoads_.update(vm, {loads, 1, core::Milliseconds(0)}, now));
}

void Fleet::onZoneLoads(const std::string &zone, LoadReport report, core::MonotonicTime now)
{
    updatePeerLoads(zoneLoads_.update(zone, std::move(report), now));
}

void Fleet::dropStalePeers(core::Milliseconds maxAge, core::MonotonicTime now)
{
    updatePeerLoads(peerLoads_.dropStale(maxAge, now));
}

void Fleet::dropStaleZones(core::Milliseconds maxAge, core::MonotonicTime now)
{
    updatePeerLoads(zoneLoads_.dropStale(maxAge, now));
}

void Fleet::updatePeerLoads(const std::vector<std::string> &servers)
{
    for (const auto &id : servers) {
        const auto found = servers_.find(id);
        if (found != servers_.end()) {
            found->second->peersOutstanding = reportedLoadOf(id);
        }
    }
}

int Fleet::reportedLoadOf(const std::string &id) const
{
    return peerLoads_.totalOf(id) + zoneLoads_.totalOf(id);
}

std::chrono::duration<double> Fleet::totalPeerUpdateAge(core::MonotonicTime now) const
{
    return peerLoads_.totalUpdateAge(now) + zoneLoads_.totalUpdateAge(now);
}

LoadReport Fleet::ownZoneLoads(core::MonotonicTime now) const
{
    LoadReport report;
    report.gateways = peerLoads_.gatewayCount() + 1;
    report.totalAge = std::chrono::duration_cast<core::Milliseconds>(peerLoads_.totalUpdateAge(now));
    auto totals = peerLoads_.totals();
    for (const auto &own : loads()) {
        totals[own.server] += own.outstanding;
    }
    for (const auto &[server, outstanding] : totals) {
        report.loads.push_back({server, outstanding});
    }
    return report;
}

void Fleet::onPeerSuspicion(const Suspicion &report, core::MonotonicTime now)
{
    const auto found = servers_.find(report.server);
    if (found == servers_.end()) {
        return;
    }
    auto &server = *found->second;
    // The peer alone may have lost its connection to the server: its report expires by itself, and no probe is needed afterwards.
    const bool isRecentlyActive = server.outstanding > 0 && server.awaitingBytesSince && now - *server.awaitingBytesSince < internal::baseSuspicion;
    if (isRecentlyActive) {
        return;
    }
    const auto until = now + std::min(report.remaining, internal::maxSuspicion);
    server.suspectUntil = std::max(server.suspectUntil, until);
    if (!report.isResponding) {
        server.unreachableUntil = std::max(server.unreachableUntil, until);
    }
}

void Fleet::recordZoneSuspicion(const Suspicion &report, core::MonotonicTime now)
{
    const auto found = servers_.find(report.server);
    if (found != servers_.end()) {
        auto &until = found->second->zoneSuspectUntil;
        until = std::max(until, now + std::min(report.remaining, internal::maxSuspicion));
    }
}

bool Fleet::isFailureOutlier(const ServerState &server, core::MonotonicTime now) const
{
    const auto &servers = serversOf(server.entry.service);
    int suspects = 0;
    double others = 0;
    for (const auto &other : servers) {
        suspects += availabilityOf(*other, now) == Availability::Suspect ? 1 : 0;
        others += other.get() == &server ? 0 : other->failureRatio;
    }
    const auto count = static_cast<double>(servers.size());
    const double mean = others / std::max(count - 1, 1.0);
    const bool canMarkSuspect = suspects + 1 <= internal::maxSuspectFraction * count;
    return canMarkSuspect && server.failureRatio > internal::failureRatioMargin + internal::othersFactor * mean;
}

std::vector<Suspicion> Fleet::suspicions(core::MonotonicTime now) const
{
    std::vector<Suspicion> reports;
    for (const auto &[id, server] : servers_) {
        if (server->advertiseUntil > now) {
            reports.push_back({id, std::chrono::duration_cast<core::Milliseconds>(server->advertiseUntil - now), server->unreachableUntil <= now});
        } else if (server->outstanding >= internal::minInFlightRequests && isUnresponsive(*server, now)) {
            reports.push_back({id, internal::unresponsiveSuspicion, false});
        }
    }
    return reports;
}

std::vector<Suspicion> Fleet::ownZoneSuspicions(core::MonotonicTime now) const
{
    auto reports = suspicions(now);
    for (const auto &[id, server] : servers_) {
        if (server->zoneSuspectUntil > now) {
            reports.push_back({id, std::chrono::duration_cast<core::Milliseconds>(server->zoneSuspectUntil - now), server->unreachableUntil <= now});
        }
    }
    return reports;
}

std::vector<ServerLoad> Fleet::loads() const
{
    std::vector<ServerLoad> serverLoads;
    for (const auto &[id, server] : servers_) {
        if (server->outstanding > 0) {
            serverLoads.push_back({id, server->outstanding});
        }
    }
    return serverLoads;
}

std::vector<ServerStatementReport> Fleet::statements(core::MonotonicTime now) const
{
    std::vector<ServerStatementReport> reports;
    for (const auto &[id, server] : servers_) {
        const auto &statements = server->statements;
        const bool isLimitRecent = statements.latestLimit().statedAt + internal::statementReportTime > now;
        if (statements.isLeaving() || isLimitRecent) {
            reports.push_back({id, server->entry.startedUnixMs, statements.isLeaving(), statements.latestLimit()});
        }
    }
    const auto count = std::min(reports.size(), internal::maxStatementReports);
    std::partial_sort(reports.begin(), reports.begin() + static_cast<std::ptrdiff_t>(count), reports.end(), [](const auto &left, const auto &right) {
        return left.limit.statedAt > right.limit.statedAt;
    });
    reports.resize(count);
    return reports;
}

void Fleet::onPeerStatement(const ServerStatementReport &report)
{
    const auto server = find(report.server);
    if (server == nullptr || server->entry.startedUnixMs != report.startedUnixMs) {
        return;
    }
    server->statements.onReportedLimit(report.limit);
    if (report.isLeaving) {
        server->statements.onReportedLeaving();
    }
}

std::vector<ProcessReport> Fleet::goneProcesses(core::MonotonicTime now) const
{
    auto reports = staleEntries_.rememberedProcesses(now);
    for (const auto &[id, server] : servers_) {
        if (server->entry.leaving || server->statements.isLeaving()) {
            reports.push_back({id, internal::processOf(*server)});
        }
    }
    // Those that leave come last and may still take requests.
    const auto surplus = reports.size() - std::min(reports.size(), internal::maxProcessReports);
    reports.erase(reports.begin(), reports.begin() + static_cast<std::ptrdiff_t>(surplus));
    return reports;
}

void Fleet::onPeerProcess(const ProcessReport &report, core::MonotonicTime now)
{
    const auto known = servers_.find(report.server);
    if (known != servers_.end()) {
        auto process = report.process;
        process.isReported = true;
        const auto entry = known->second->entry;
        if (!staleEntries_.withhold(entry, process, now)) {
            if (process.saysLeaving && entry.startedUnixMs != 0 && entry.startedUnixMs == process.startedUnixMs) {
                known->second->statements.onReportedLeaving();
            }
            return;
        }
        takeOut(known);
    }
    staleEntries_.onReported(report, now);
}

Availability Fleet::availabilityOf(const ServerState &server, core::MonotonicTime now) const
{
    const bool isExpired = server.entryExpiredAt && !store_.mayEntryHaveExpired(now);
    if (server.entry.leaving || server.statements.isLeaving() || server.isRemoved || isExpired) {
        return Availability::Leaving;
    }
    if (evacuatedZones_.count(server.entry.zone) > 0) {
        return Availability::Evacuated;
    }
    if (server.statements.backOffUntil() > now) {
        return Availability::BackingOff;
    }
    if (server.suspectUntil > now || isUnresponsive(server, now)) {
        return Availability::Suspect;
    }
    if (server.needsProbe) {
        return Availability::Probing;
    }
    return server.isColdUntilReport || server.coldUntil > now ? Availability::Cold : Availability::Usable;
}

bool Fleet::canServeCacheFetch(const ServerState &server, core::MonotonicTime now)
{
    const bool isListed = !server.isRemoved && !server.entryExpiredAt;
    return isListed && server.unreachableUntil <= now && !isUnresponsive(server, now);
}

bool Fleet::isUnresponsive(const ServerState &server, core::MonotonicTime now)
{
    using Seconds = std::chrono::duration<double>;
    if (!server.awaitingBytesSince) {
        return false;
    }
    const Seconds scaled = server.timeToHeaders.value_or(internal::maxByteTimeout) * internal::byteTimeoutFactor;
    Seconds timeout = std::clamp<Seconds>(scaled, internal::minByteTimeout, internal::maxByteTimeout);
    if (server.outstanding < internal::minInFlightRequests) {
        timeout *= internal::fewInFlightFactor;
    }
    return now - *server.awaitingBytesSince > timeout;
}

void Fleet::recordTimeToHeaders(ServerState &server, core::MonotonicTime::duration time)
{
    const std::chrono::duration<double> latest = time;
    const auto mean = server.timeToHeaders.value_or(latest);
    server.timeToHeaders = mean + (latest - mean) * internal::timeToHeadersWeight;
}

int Fleet::loadOf(const ServerState &server) noexcept
{
    return server.outstanding + server.peersOutstanding;
}

double Fleet::estimateUnreportedLoad(ServerState &server, std::chrono::duration<double> updateAge, core::MonotonicTime now)
{
    // A single send is not enough for a rate.
    const auto sends = std::max<std::size_t>(server.peerEstimateSends.count(now), 1) - 1;
    const double perSecond = static_cast<double>(sends) / internal::estimateWindowSeconds;
    return perSecond * updateAge.count();
}

std::string Fleet::idOf(std::uint32_t hash) const
{
    const auto found = idsByHash_.find(hash);
    return found == idsByHash_.end() ? std::string() : found->second;
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
        view.entry = server->entry;
        view.availability = availabilityOf(*server, now);
        view.reportAge = std::chrono::duration_cast<core::Milliseconds>(now - server->reportedAt);
        view.outstanding = server->outstanding;
        view.load = loadOf(*server);
        view.consecutiveFailures = server->consecutiveFailures;
        view.failureRatio = server->failureRatio;
        view.saysLeaving = server->statements.isLeaving();
        view.statedLimit = server->statements.limit(now);
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
