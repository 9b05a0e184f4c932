#include <cyclamenspool/gateway/peergossip.h>

#include <cyclamenspool/core/hash.h>
#include <cyclamenspool/gateway/fanout.h>
#include <cyclamenspool/gateway/gossipsupport.h>
#include <cyclamenspool/gateway/peermessages.h>
#include <cyclamenspool/gateway/promptmessages.h>

#include <algorithm>
#include <utility>

namespace cyclamenspool::gateway {

namespace internal {

constexpr Milliseconds totalsWarmUp{1000}; /* after the start: the loads of the own zone are not complete yet and are not given to other zones */
constexpr Milliseconds rotationTime{5000}; /* in which all gateways of the own zone are advertised to another one; shorter than advertisedMaxAge */
constexpr Milliseconds placementOverlap{300}; /* placements are sent to a zone for this much longer than the time since its last reply */

} // namespace internal

bool PeerGossip::isLiveInOwnZone(const Peer &peer, core::MonotonicTime now) const
{
    return peer.zone == settings_.zone && internal::elapsed(peer.lastSeen, now) < unresponsiveTimeout();
}

bool PeerGossip::isStoreChecker() const
{
    const auto now = std::chrono::steady_clock::now();
    const std::pair ownRank(catalog_.isStoreUnavailable(Catalog::Section::Servers), core::hash64(settings_.peerAddress));
    return std::none_of(peers_.begin(), peers_.end(), [this, now, ownRank](const auto &entry) {
        const auto &[address, peer] = entry;
        return isLiveInOwnZone(peer, now) && std::pair(peer.isStoreUnavailable, core::hash64(address)) < ownRank;
    });
}

bool PeerGossip::isListWatcher() const
{
    return isStoreChecker() && !catalog_.isStoreUnavailable(Catalog::Section::Servers);
}

std::vector<std::string> PeerGossip::liveMembers() const
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<std::string> members;
    for (const auto &[address, peer] : peers_) {
        if (isLiveInOwnZone(peer, now)) {
            members.push_back(address);
        }
    }
    return members;
}

void PeerGossip::sendOneWay(const std::string &address, const char *path, const std::string &message)
{
    wire::StreamCallbacks callbacks;
    callbacks.onEnd = [](const wire::StreamEnd &) {};
    connectionPool_.submit(address, path, message, std::move(callbacks));
}

void PeerGossip::passOn(const std::vector<std::string> &addresses, const char *path, const std::string &message)
{
    for (const auto &address : addresses) {
        if (address != settings_.peerAddress && internal::isValidAddress(address)) {
            sendOneWay(address, path, message);
        }
    }
}

void PeerGossip::publishListDelta(ListDelta delta)
{
    for (auto &group : fanOutGroups(liveMembers(), ++fanOutSeed_)) {
        delta.passTo = std::move(group.others);
        sendOneWay(group.relay, internal::listPath, encodeListDelta(delta));
    }
}

void PeerGossip::onListDelta(ListDelta delta)
{
    catalog_.onPeerListDelta(delta);
    // A gateway that lacks earlier changes passes these on as well: the next ones may be able to use them.
    const auto addresses = std::exchange(delta.passTo, {});
    if (!addresses.empty()) {
        passOn(addresses, internal::listPath, encodeListDelta(delta));
    }
}

std::size_t PeerGossip::advertisedCount(std::size_t members) const
{
    const auto replies = std::max<std::int64_t>(internal::rotationTime / zonePulls_.period(), 1);
    return std::max(internal::peersPerUpdate, members / static_cast<std::size_t>(replies) + 1);
}

void PeerGossip::advertiseZonePeers(wire::ZoneTotals &totals, core::MonotonicTime now)
{
    std::size_t count = 0;
    const auto wanted = advertisedCount(liveMembers().size());
    for (std::size_t i = 0; i < peers_.size() && count < wanted; ++i) {
        auto next = peers_.upper_bound(lastAdvertisedToZones_);
        next = next == peers_.end() ? peers_.begin() : next;
        lastAdvertisedToZones_ = next->first;
        const auto age = internal::elapsed(next->second.lastSeen, now);
        if (next->second.zone == settings_.zone && age < internal::advertisedMaxAge) {
            ++count;
            auto *known = totals.add_peers();
            known->set_address(next->first);
            known->set_heard_age_ms(age.count());
            known->set_zone(settings_.zone);
        }
    }
}

void PeerGossip::sendZonePull(const ZonePullRequest &request)
{
    wire::ZonePull pull;
    pull.set_since_ms(request.sinceReply.count());
    wire::StreamCallbacks callbacks;
    callbacks.onMessage = [this](const std::string &message) {
        if (message.empty()) {
            return; // The peer has just started and has no totals yet; the end of the request counts as a failure.
        }
        const auto totals = internal::logIfUnreadable(decodeZoneTotals(message), internal::zonePath, message.size());
        if (totals) {
            onZoneTotals(*totals, message.size());
        }
    };
    callbacks.onEnd = [this, zone = request.zone, address = request.address](const wire::StreamEnd &) {
        zonePulls_.onRequestEnded(zone, address, std::chrono::steady_clock::now());
    };
    connectionPool_.submit(request.address, internal::zonePath, pull.SerializeAsString(), std::move(callbacks));
}

void PeerGossip::onZoneTotals(const wire::ZoneTotals &totals, std::size_t bytes)
{
    if (!applyZoneTotals(totals, bytes)) {
        return;
    }
    onPeerStore(totals.address(), storeReportIn(totals));
    if (isOnDuty(totals.zone(), settings_.peerAddress, liveMembers())) {
        shareZoneTotals(totals);
    }
}

void PeerGossip::shareZoneTotals(const wire::ZoneTotals &totals)
{
    wire::ZoneShare share;
    *share.mutable_totals() = totals;
    for (const auto &group : fanOutGroups(liveMembers(), ++fanOutSeed_)) {
        share.clear_pass_to();
        share.mutable_pass_to()->Add(group.others.begin(), group.others.end());
        sendOneWay(group.relay, internal::sharePath, share.SerializeAsString());
    }
}

void PeerGossip::onZoneShare(wire::ZoneShare share)
{
    if (share.totals().zone() == settings_.zone || !applyZoneTotals(share.totals(), share.totals().ByteSizeLong())) {
        return;
    }
    const std::vector<std::string> addresses(share.pass_to().begin(), share.pass_to().end());
    share.clear_pass_to();
    if (!addresses.empty()) {
        passOn(addresses, internal::sharePath, share.SerializeAsString());
    }
}

bool PeerGossip::applyZoneTotals(const wire::ZoneTotals &totals, std::size_t bytes)
{
    const auto now = std::chrono::steady_clock::now();
    if (totals.address() == settings_.peerAddress || !internal::isValidAddress(totals.address())) {
        return false;
    }
    auto &peer = peers_[totals.address()];
    onPeerMessage(peer, totals.address(), totals.vm(), totals.zone());
    if (!isOtherZone(peer)) {
        return false;
    }
    zonePulls_.onReply(totals.zone(), bytes, now);
    std::vector<HistoryPlacement> placements;
    dispatcher_.withFleet([&](Fleet &fleet, core::MonotonicTime time) {
        fleet.onZoneLoads(totals.zone(), loadReportOf(totals, fleet), time);
        for (const auto &suspicion : suspicionsOf(totals)) {
            fleet.onPeerSuspicion(suspicion, time);
        }
        for (const auto &statement : statementsIn(totals)) {
            fleet.onPeerStatement(statement);
        }
        placements = placementsOf(totals, fleet);
    });
    dispatcher_.onPeerHistoryPlacements(placements, false);
    applyQuarantined(quarantinedIn(totals));
    applyStoreUptime(storeUptimeIn(totals));
    for (const auto &known : totals.peers()) {
        onKnownPeer(known, now);
    }
    return true;
}

std::string PeerGossip::buildZoneTotals(core::Milliseconds placementAge)
{
    const auto now = std::chrono::steady_clock::now();
    if (now - startTime_ < internal::totalsWarmUp) {
        return {};
    }
    wire::ZoneTotals totals;
    totals.set_vm(settings_.vm);
    totals.set_address(settings_.peerAddress);
    totals.set_zone(settings_.zone);
    dispatcher_.withFleet([&totals](const Fleet &fleet, core::MonotonicTime time) {
        setLoadReport(totals, fleet.ownZoneLoads(time));
        for (const auto &suspicion : fleet.ownZoneSuspicions(time)) {
            encodeSuspicion(suspicion, *totals.add_suspicions());
        }
        addStatements(totals, fleet.statements(time));
    });
    for (const auto &placement : dispatcher_.zoneHistoryPlacements(placementAge + internal::placementOverlap)) {
        totals.add_placed_servers(serverHash(placement.server));
        totals.add_placed_histories(placement.historyKey);
    }
    addQuarantined(totals, quarantinedParts());
    setStoreUptime(totals, storeUptime());
    advertiseZonePeers(totals, now);
    setStoreReport(totals, storeReport());
    return totals.SerializeAsString();
}

} // namespace cyclamenspool::gateway
