#include <cyclamenspool/gateway/peergossip.h>

#include <cyclamenspool/core/hash.h>
#include <cyclamenspool/gateway/gossipsupport.h>
#include <cyclamenspool/gateway/peermessages.h>
#include <cyclamenspool/gateway/promptmessages.h>
#include <cyclamenspool/gateway/watchpolicy.h>
#include <cyclamenspool/telemetry/log.h>
#include <cyclamenspool/wire/endpoint.h>
#include <cyclamenspool/wire/generated/messages.pb.h>

#include <algorithm>
#include <optional>

namespace cyclamenspool::gateway {

namespace internal {

using core::Milliseconds;

constexpr Milliseconds minUpdatePeriod{200};
constexpr Milliseconds updatePeriodPerPeer{5}; /* added for each peer, so that the cost per gateway does not grow with the number of peers */
constexpr Milliseconds replyTimeout{1000};
constexpr Milliseconds unresponsiveRetryPeriod{1000}; /* between two attempts to reach an unresponsive peer */
constexpr Milliseconds minUnresponsiveTimeout{1500}; /* a peer without a message for longer counts as unresponsive */
constexpr int unresponsivePeriods = 3; /* the same timeout in update periods; the longer one applies */
constexpr int updatesPerTick = 16; /* with more peers an update period has several ticks, so that requests do not wait for a burst of updates */
constexpr Milliseconds sharedUpdateMaxAge{20}; /* loads and suspicions are collected once for all updates of a tick */
constexpr Milliseconds peerExpiry{60000}; /* a peer without a message for longer is forgotten, unless it is a seed */
constexpr const char *updatePath = "/news";
constexpr const char *itemsPath = "/items";

wire::SessionLimits sessionLimits()
{
    wire::SessionLimits limits;
    limits.pingPeriod = Milliseconds(500);
    return limits;
}

bool isValidAddress(const std::string &text)
{
    try {
        static_cast<void>(wire::parseEndpoint(text));
        return true;
    } catch (const std::exception &error) {
        telemetry::logRateLimited("peer_address_passed_over", {{"address", text}, {"reason", error.what()}});
        return false;
    }
}

} // namespace internal

PeerGossip::PeerGossip(boost::asio::io_context &context, const config::GatewaySettings &settings, Dispatcher &dispatcher, Catalog &catalog)
    : context_(context)
    , settings_(settings)
    , dispatcher_(dispatcher)
    , catalog_(catalog)
    , connectionPool_(context, internal::sessionLimits())
    , timer_(context)
    , inquiryTimer_(context)
    , zonePulls_(settings.peerAddress)
    , startTime_(std::chrono::steady_clock::now())
{
    addSeeds(settings_.seedPeers);
}

void PeerGossip::addSeeds(const std::vector<std::string> &seeds)
{
    for (const auto &seed : seeds) {
        if (seed != settings_.peerAddress) {
            peers_[seed].isSeed = true;
        }
    }
}

void PeerGossip::start()
{
    const auto handler = [this](const std::shared_ptr<wire::ServerStream> &stream, const std::string &path, const std::string &message) {
        onMessage(stream, path, message);
    };
    std::set<std::string> asked;
    for (const auto &[address, peer] : peers_) {
        asked.insert(address);
    }
    routingInquiry_.start(asked, std::chrono::steady_clock::now());
    applyLowestRouting();
    server_ = std::make_unique<wire::PeerServer>(context_, settings_.peerAddress, internal::sessionLimits(), handler);
    tick();
}

void PeerGossip::stop()
{
    timer_.cancel();
    inquiryTimer_.cancel();
    if (server_ != nullptr) {
        server_->close();
    }
    connectionPool_.close();
}

std::size_t PeerGossip::livePeerCount() const
{
    const auto now = std::chrono::steady_clock::now();
    return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [this, now](const auto &entry) {
        const auto &peer = entry.second;
        const bool wasHeard = !peer.vm.empty();
        return isOtherZone(peer) ? internal::elapsed(lastSign(peer), now) < internal::advertisedMaxAge
                                 : wasHeard && internal::elapsed(peer.lastSeen, now) < unresponsiveTimeout();
    }));
}

bool PeerGossip::isOtherZone(const Peer &peer) const
{
    return !peer.zone.empty() && peer.zone != settings_.zone;
}

std::size_t PeerGossip::exchangePeerCount() const
{
    return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [this](const auto &entry) {
        return !isOtherZone(entry.second);
    }));
}

core::MonotonicTime PeerGossip::lastSign(const Peer &peer) const
{
    return isOtherZone(peer) ? std::max(peer.lastSeen, peer.lastReported) : peer.lastSeen;
}

std::vector<PeerStatus> PeerGossip::statuses() const
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<PeerStatus> views;
    for (const auto &[address, peer] : peers_) {
        if (!peer.vm.empty()) {
            views.push_back({peer.vm, address, std::chrono::duration_cast<core::Milliseconds>(now - peer.lastSeen)});
        }
    }
    return views;
}

std::chrono::milliseconds PeerGossip::updatePeriod() const
{
    return internal::minUpdatePeriod + internal::updatePeriodPerPeer * static_cast<int>(exchangePeerCount());
}

std::chrono::milliseconds PeerGossip::tickPeriod() const
{
    const auto ticks = 1 + static_cast<int>(exchangePeerCount()) / internal::updatesPerTick;
    return std::min(updatePeriod() / ticks, zonePulls_.period());
}

std::chrono::milliseconds PeerGossip::unresponsiveTimeout() const
{
    return std::max(internal::minUnresponsiveTimeout, updatePeriod() * internal::unresponsivePeriods);
}

void PeerGossip::tick()
{
    const auto now = std::chrono::steady_clock::now();
    expirePeers(now);
    dispatcher_.withFleet([limit = unresponsiveTimeout(), zoneLimit = zonePulls_.maxAge()](Fleet &fleet, core::MonotonicTime time) {
        fleet.dropStalePeers(limit, time);
        fleet.dropStaleZones(zoneLimit, time);
    });
    publishPromptEvidence();
    applyLowestRouting();
    const auto updatePeriod = this->updatePeriod();
    const auto tickPeriod = this->tickPeriod();
    for (auto &[address, peer] : peers_) {
        if (isOtherZone(peer) || now - peer.lastSent + tickPeriod / 2 < updatePeriod) {
            continue;
        }
        const bool isUnresponsive = internal::elapsed(peer.lastSeen, now) > unresponsiveTimeout();
        // The reply is an update too, so only the gateway with the lower address sends first.
        const bool isInitiator = settings_.peerAddress < address;
        const bool isTimedOut = internal::elapsed(peer.lastSent, now) > (isUnresponsive ? internal::unresponsiveRetryPeriod : internal::replyTimeout);
        if (isTimedOut) {
            peer.isReplyPending = false;
        }
        if (!peer.isReplyPending && (isInitiator || isUnresponsive) && (isTimedOut || !isUnresponsive)) {
            sendUpdate(address, peer, now);
        }
    }
    for (const auto &request : zonePulls_.takeDue(now + tickPeriod / 2, liveMembers())) {
        sendZonePull(request);
    }
    timer_.expires_after(tickPeriod);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

void PeerGossip::expirePeers(core::MonotonicTime now)
{
    for (auto peer = peers_.begin(); peer != peers_.end();) {
        const bool isExpired = !peer->second.isSeed && internal::elapsed(lastSign(peer->second), now) > internal::peerExpiry;
        if (isExpired) {
            zonePulls_.removeGateway(peer->first);
        }
        peer = isExpired ? peers_.erase(peer) : std::next(peer);
    }
}

void PeerGossip::sendUpdate(const std::string &address, Peer &peer, core::MonotonicTime now)
{
    peer.isReplyPending = true;
    peer.lastSent = now;
    peer.updateId = ++lastUpdateId_;
    wire::StreamCallbacks callbacks;
    callbacks.onMessage = [this](const std::string &message) {
        const auto update = internal::logIfUnreadable(decodePeerUpdate(message), internal::updatePath, message.size());
        if (update && onUpdate(*update)) {
            // Only a reply tells a gateway that starts all that it has to know.
            routingInquiry_.onAnswered(update->address(), storeReportIn(*update).routingVersion);
            applyLowestRouting();
        }
    };
    callbacks.onEnd = [this, address, updateId = peer.updateId](const wire::StreamEnd &) {
        const auto found = peers_.find(address);
        if (found != peers_.end() && found->second.updateId == updateId) {
            found->second.isReplyPending = false;
        }
        routingInquiry_.onFailed(address);
        applyLowestRouting();
    };
    connectionPool_.submit(address, internal::updatePath, buildUpdate(peer), std::move(callbacks));
}

void PeerGossip::advertisePeers(Peer &recipient, wire::GatewayNews &update, core::MonotonicTime now) const
{
    // A newly discovered peer gets the full list; later a few peers per update, in rotation, make up for lost updates.
    const auto count = recipient.hasFullPeerList ? std::min(internal::peersPerUpdate, peers_.size()) : peers_.size();
    recipient.hasFullPeerList = recipient.lastSeen != core::MonotonicTime{};
    for (std::size_t i = 0; i < count; ++i) {
        auto next = peers_.upper_bound(recipient.lastAdvertised);
        next = next == peers_.end() ? peers_.begin() : next;
        recipient.lastAdvertised = next->first;
        const auto age = internal::elapsed(lastSign(next->second), now);
        if (age < internal::advertisedMaxAge) {
            auto *known = update.add_peers();
            known->set_address(next->first);
            known->set_heard_age_ms(age.count());
            known->set_zone(next->second.zone);
        }
    }
}

void PeerGossip::refreshSharedUpdate(core::MonotonicTime now)
{
    if (now - sharedUpdateTime_ < internal::sharedUpdateMaxAge) {
        return;
    }
    sharedUpdateTime_ = now;
    wire::GatewayNews update;
    update.set_vm(settings_.vm);
    update.set_address(settings_.peerAddress);
    update.set_zone(settings_.zone);
    dispatcher_.withFleet([&update](const Fleet &fleet, core::MonotonicTime time) {
        for (const auto &load : fleet.loads()) {
            auto *entry = update.add_loads();
            entry->set_backend_server(load.server);
            entry->set_outstanding(static_cast<std::uint32_t>(load.outstanding));
        }
        for (const auto &suspicion : fleet.suspicions(time)) {
            encodeSuspicion(suspicion, *update.add_suspicions());
        }
        addStatements(update, fleet.statements(time));
    });
    addQuarantined(update, quarantinedParts());
    sharedUpdate_ = update.SerializeAsString();
}

std::string PeerGossip::buildUpdate(Peer &recipient)
{
    const auto now = std::chrono::steady_clock::now();
    refreshSharedUpdate(now);
    wire::GatewayNews update;
    advertisePeers(recipient, update, now);
    for (const auto &placement : dispatcher_.historyPlacementsSince(recipient.placementsPosition)) {
        auto *entry = update.add_placed();
        entry->set_history(placement.historyKey);
        entry->set_backend_server(placement.server);
    }
    setStoreReport(update, storeReport());
    if (recipient.isStarting) {
        dispatcher_.withFleet([&update](const Fleet &fleet, core::MonotonicTime time) {
            addGoneProcesses(update, fleet.goneProcesses(time));
        });
    }
    update.set_store_unavailable(catalog_.isStoreUnavailable(Catalog::Section::Servers));
    setStoreUptime(update, storeUptime());
    // Concatenated protobuf messages parse as one merged message.
    return sharedUpdate_ + update.SerializeAsString();
}

void PeerGossip::onPeerMessage(Peer &peer, const std::string &address, const std::string &vm, const std::string &zone)
{
    const auto now = std::chrono::steady_clock::now();
    if (internal::elapsed(lastSign(peer), now) > unresponsiveTimeout()) {
        telemetry::logRateLimited("peer_heard", {{"peer", vm}, {"address", address}});
        peer.hasFullPeerList = false;
    }
    peer.vm = vm;
    peer.zone = zone;
    peer.lastSeen = now;
    if (isOtherZone(peer)) {
        zonePulls_.addGateway(address, zone);
    }
    dispatcher_.onGatewaySeen(address, now);
}

void PeerGossip::onKnownPeer(const wire::KnownPeer &known, core::MonotonicTime now)
{
    const bool isPlausible = known.heard_age_ms() >= 0 && known.heard_age_ms() < internal::peerExpiry.count();
    if (known.address() == settings_.peerAddress || !isPlausible || !internal::isValidAddress(known.address())) {
        return;
    }
    const auto reportedAt = now - core::Milliseconds(known.heard_age_ms());
    const auto [found, isNew] = peers_.try_emplace(known.address());
    auto &peer = found->second;
    if (isNew) {
        peer.lastSeen = reportedAt;
    }
    peer.lastReported = std::max(peer.lastReported, reportedAt);
    if (peer.zone.empty() && !known.zone().empty()) {
        peer.zone = known.zone();
    }
    if (isOtherZone(peer)) {
        zonePulls_.addGateway(known.address(), peer.zone);
        dispatcher_.onGatewaySeen(known.address(), reportedAt);
    }
}

bool PeerGossip::onUpdate(const wire::GatewayNews &update)
{
    const auto now = std::chrono::steady_clock::now();
    if (update.address() == settings_.peerAddress || !internal::isValidAddress(update.address())) {
        return false;
    }
    auto &peer = peers_[update.address()];
    onPeerMessage(peer, update.address(), update.vm(), update.zone());
    peer.isStoreUnavailable = update.store_unavailable();
    peer.isStarting = storeReportIn(update).routingVersion == 0U;
    applyGoneProcesses(update);
    if (!isOtherZone(peer)) {
        applyLoads(update);
    }
    std::vector<HistoryPlacement> placements;
    for (const auto &placed : update.placed()) {
        placements.push_back({placed.history(), placed.backend_server()});
    }
    dispatcher_.onPeerHistoryPlacements(placements, update.zone() == settings_.zone);
    applyQuarantined(quarantinedIn(update));
    applyStoreUptime(storeUptimeIn(update));
    for (const auto &known : update.peers()) {
        onKnownPeer(known, now);
    }
    onPeerStore(update.address(), storeReportIn(update));
    return true;
}

void PeerGossip::applyLoads(const wire::GatewayNews &update)
{
    const auto loads = loadsOf(update);
    const auto suspicions = suspicionsOf(update);
    const auto statements = statementsIn(update);
    const bool isOwnZone = update.zone() == settings_.zone;
    dispatcher_.withFleet([&](Fleet &fleet, core::MonotonicTime time) {
        if (isOwnZone) {
            fleet.onPeerLoads(update.vm(), loads, time);
        } else {
            // A gateway that does not name its zone is not in the totals of any.
            fleet.onZoneLoads(update.address(), {loads, 1, core::Milliseconds(0)}, time);
        }
        for (const auto &statement : statements) {
            fleet.onPeerStatement(statement);
        }
        for (const auto &suspicion : suspicions) {
            fleet.onPeerSuspicion(suspicion, time);
            if (isOwnZone) {
                fleet.recordZoneSuspicion(suspicion, time);
            }
        }
    });
}

void PeerGossip::applyGoneProcesses(const wire::GatewayNews &update)
{
    const auto reports = goneProcessesIn(update);
    // A gateway that runs knows better: the peer's copy may lag behind its own.
    if (reports.empty() || catalog_.routingVersion() != 0) {
        return;
    }
    dispatcher_.withFleet([&reports](Fleet &fleet, core::MonotonicTime now) {
        for (const auto &report : reports) {
            fleet.onPeerProcess(report, now);
        }
    });
}

std::optional<StoreUptime> PeerGossip::storeUptime() const
{
    std::optional<StoreUptime> uptime;
    dispatcher_.withFleet([&uptime](const Fleet &fleet, core::MonotonicTime) {
        uptime = fleet.storeUptime();
    });
    return uptime;
}

void PeerGossip::applyStoreUptime(const std::optional<StoreUptime> &uptime)
{
    if (uptime) {
        dispatcher_.withFleet([&uptime](Fleet &fleet, core::MonotonicTime) {
            fleet.onStoreUptimeReported(*uptime);
        });
    }
}

bool PeerGossip::isOverdue(Catalog::Section section, const member::StorePosition &position, core::MonotonicTime now)
{
    const WatchBounds bounds{settings_.maxLeaveDelay, settings_.maxConfigurationDelay};
    const auto &own = catalog_.position(section);
    const bool isConfiguration = section == Catalog::Section::OperatorConfig;
    const auto overdueTime = isConfiguration ? configurationOverdueTime(bounds) : unansweredTime(bounds);
    auto &missed = missedChanges_[section];
    const bool isTimeOver = missed.onPeerPosition(position, own, overdueTime, now);
    // A copy can also be late because this process is: a response that is being read must not be given up.
    const auto waitingTime = storeCalls_.waitingTime ? storeCalls_.waitingTime(section) : core::Milliseconds(0);
    if (waitingTime < unansweredTime(bounds)) {
        return false;
    }
    // A call that was waiting when a peer already had the change should have returned at once.
    const bool isCallLost = missed.missingTime(now) >= unansweredTime(bounds) && waitingTime >= missed.missingTime(now);
    const bool isMissed = isTimeOver || (isCallLost && position > own);
    return isMissed && (isConfiguration || catalog_.age(section) >= listOverdueAge(bounds));
}

StoreReport PeerGossip::storeReport() const
{
    return {catalog_.changePosition(Catalog::Section::OperatorConfig), catalog_.changePosition(Catalog::Section::Servers), catalog_.routingVersion()};
}

void PeerGossip::applyLowestRouting()
{
    const auto now = std::chrono::steady_clock::now();
    catalog_.setLowestRouting(routingInquiry_.lowestVersion(now));
    const auto next = routingInquiry_.nextChange(now);
    if (!next || *next == inquiryTimer_.expiry()) {
        return;
    }
    inquiryTimer_.expires_at(*next);
    inquiryTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            dropUnreached();
            applyLowestRouting();
        }
    });
}

void PeerGossip::dropUnreached()
{
    // A VM that is gone, or a cut link: nothing comes back before the connection attempt is repeated after a second.
    for (const auto &address : routingInquiry_.unanswered()) {
        if (connectionPool_.isConnecting(address)) {
            routingInquiry_.onUnreached(address);
        }
    }
}

void PeerGossip::onStoreRead(Catalog::Section section)
{
    if (section == Catalog::Section::OperatorConfig) {
        routingInquiry_.onStoreRead(catalog_.era());
        applyLowestRouting();
    }
}

bool PeerGossip::isRoutingAwaited() const
{
    return routingInquiry_.lowestVersion(std::chrono::steady_clock::now()) > catalog_.routingVersion();
}

void PeerGossip::onPeerStore(const std::string &address, const StoreReport &report)
{
    const auto now = std::chrono::steady_clock::now();
    const auto version = report.routingVersion.value_or(0);
    if (routingInquiry_.onNamed(address, version, now)) {
        sendUpdate(address, peers_[address], now);
    }
    applyLowestRouting();
    const RoutingInquiry::Versions own{catalog_.knownRoutingVersion(), catalog_.routingVersion()};
    const bool hasLaterCopy = report.operatorPosition > catalog_.position(Catalog::Section::OperatorConfig);
    if (pullIfOutdated(address, Catalog::Section::OperatorConfig, report.operatorPosition)) {
        routingInquiry_.onPull(version, now);
    } else if (routingInquiry_.isPullDue(version, own, hasLaterCopy, now)) {
        routingInquiry_.onPull(version, now);
        pull(address, Catalog::Section::OperatorConfig);
    }
    static_cast<void>(pullIfOutdated(address, Catalog::Section::Servers, report.serverPosition));
}

bool PeerGossip::pullIfOutdated(const std::string &address, Catalog::Section section, const member::StorePosition &position)
{
    const auto now = std::chrono::steady_clock::now();
    const auto &own = catalog_.position(section);
    // No call of this gateway can return changes that lead to a later era, so there is nothing to wait for.
    const bool isLaterEra = position.era > own.era;
    if (isLaterEra && storeCalls_.onEra) {
        storeCalls_.onEra(position.era);
    }
    const bool isUnavailable = catalog_.isStoreUnavailable(section);
    const bool isOutdated = isLaterEra || (isUnavailable ? position > own : isOverdue(section, position, now));
    auto &limit = copyRequestLimits_[section];
    if (!isOutdated || !limit.isAllowed(position, isUnavailable || isLaterEra, now)) {
        return false;
    }
    limit.onRequested(position, now);
    telemetry::logRateLimited("peer_copy_requested",
                              {{"section", std::string(Catalog::prefixOf(section))},
                               {"address", address},
                               {"revision", own.revision},
                               {"peer_revision", position.revision},
                               {"era", position.era},
                               {"store_unavailable", isUnavailable}});
    if (!isUnavailable && !isLaterEra) {
        storeCalls_.replace(section);
    }
    pull(address, section);
    return true;
}

void PeerGossip::pull(const std::string &address, Catalog::Section section)
{
    wire::ItemPull request;
    request.set_prefix(std::string(Catalog::prefixOf(section)));
    wire::StreamCallbacks callbacks;
    callbacks.onMessage = [this, section](const std::string &message) {
        copyRequestLimits_[section].onReceived(std::chrono::steady_clock::now());
        const auto snapshot = internal::logIfUnreadable(decodeSnapshot(message), internal::itemsPath, message.size());
        if (snapshot && storeCalls_.onEra) {
            storeCalls_.onEra(snapshot->snapshot.position.era);
        }
        if (snapshot) {
            // First, so that a lower version in the copy is not in force in between.
            catalog_.onPeerDocuments(snapshot->inForce);
            catalog_.onPeerSnapshot(section, snapshot->snapshot, snapshot->storeUptime);
        }
    };
    connectionPool_.submit(address, internal::itemsPath, request.SerializeAsString(), std::move(callbacks));
}

void PeerGossip::onMessage(const std::shared_ptr<wire::ServerStream> &stream, const std::string &path, const std::string &message)
{
    std::string reply;
    if (path == internal::updatePath) {
        const auto update = internal::logIfUnreadable(decodePeerUpdate(message), internal::updatePath, message.size());
        if (update && onUpdate(*update)) {
            reply = buildUpdate(peers_[update->address()]);
        }
    } else if (path == internal::itemsPath) {
        const auto section = Catalog::sectionOf(decodePullPrefix(message));
        reply = section ? encodeSnapshot({catalog_.snapshot(*section), storeUptime(), catalog_.documentsBesideCopy(*section)}) : std::string();
    } else if (path == internal::zonePath) {
        const auto age = decodeZonePull(message);
        reply = age ? buildZoneTotals(*age) : std::string();
    } else if (path == internal::listPath) {
        const auto delta = internal::logIfUnreadable(decodeListDelta(message), internal::listPath, message.size());
        if (delta) {
            onListDelta(*delta);
        }
    } else if (path == internal::sharePath) {
        const auto share = internal::logIfUnreadable(decodeZoneShare(message), internal::sharePath, message.size());
        if (share) {
            onZoneShare(*share);
        }
    } else if (path == internal::promptsPath) {
        auto news = internal::logIfUnreadable(decodePromptNews(message), internal::promptsPath, message.size());
        if (news) {
            onPromptNews(std::move(*news));
        }
    }
    stream->send(reply, true);
}

} // namespace cyclamenspool::gateway
