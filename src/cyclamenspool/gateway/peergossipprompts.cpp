#include <cyclamenspool/gateway/peergossip.h>

#include <cyclamenspool/core/hash.h>
#include <cyclamenspool/gateway/fanout.h>
#include <cyclamenspool/gateway/gossipsupport.h>
#include <cyclamenspool/gateway/promptmessages.h>

#include <boost/json/array.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace cyclamenspool::gateway {

namespace internal {

constexpr std::size_t entriesPerZone = 2; /* gateways of another zone that get a message for it; either may have just been lost */

void logQuarantineEvents(const std::vector<QuarantineEvent> &events)
{
    for (const auto &event : events) {
        boost::json::object line{{"part", event.part}};
        line["servers_lost"] = boost::json::array(event.servers.begin(), event.servers.end());
        telemetry::logRateLimited(event.isQuarantined ? "prompt_part_quarantined" : "prompt_part_released", std::move(line));
    }
}

} // namespace internal

void PeerGossip::publishPromptEvidence()
{
    PromptEvidence evidence;
    std::vector<QuarantineEvent> events;
    dispatcher_.withQuarantine([&](PromptQuarantine &quarantine, core::MonotonicTime) {
        evidence = quarantine.takeEvidence();
        events = quarantine.takeEvents();
    });
    internal::logQuarantineEvents(events);
    if (evidence.losses.empty() && evidence.survived.empty()) {
        return;
    }
    auto news = encodeEvidence(evidence);
    shareInZone(news);
    news.set_for_zone(true);
    const auto message = news.SerializeAsString();
    for (const auto &address : zoneEntries()) {
        sendOneWay(address, internal::promptsPath, message);
    }
}

std::vector<std::string> PeerGossip::zoneEntries()
{
    const auto now = std::chrono::steady_clock::now();
    std::map<std::string, std::vector<std::pair<std::uint64_t, std::string>>> byZone;
    ++fanOutSeed_;
    for (const auto &[address, peer] : peers_) {
        if (isOtherZone(peer) && internal::elapsed(lastSign(peer), now) < internal::advertisedMaxAge) {
            byZone[peer.zone].emplace_back(core::hash64(address) ^ core::hash64(fanOutSeed_), address);
        }
    }
    std::vector<std::string> entries;
    for (auto &[zone, gateways] : byZone) {
        const auto count = std::min(internal::entriesPerZone, gateways.size());
        std::partial_sort(gateways.begin(), gateways.begin() + static_cast<std::ptrdiff_t>(count), gateways.end());
        for (std::size_t i = 0; i < count; ++i) {
            entries.push_back(gateways[i].second);
        }
    }
    return entries;
}

void PeerGossip::shareInZone(wire::PromptNews news)
{
    news.set_for_zone(false);
    for (const auto &group : fanOutGroups(liveMembers(), ++fanOutSeed_)) {
        news.clear_pass_to();
        news.mutable_pass_to()->Add(group.others.begin(), group.others.end());
        sendOneWay(group.relay, internal::promptsPath, news.SerializeAsString());
    }
}

void PeerGossip::onPromptNews(wire::PromptNews news)
{
    const auto evidence = evidenceOf(news);
    dispatcher_.withQuarantine([&evidence](PromptQuarantine &quarantine, core::MonotonicTime now) {
        quarantine.onPeerEvidence(evidence, now);
    });
    const std::vector<std::string> addresses(news.pass_to().begin(), news.pass_to().end());
    news.clear_pass_to();
    if (news.for_zone()) {
        shareInZone(std::move(news));
    } else if (!addresses.empty()) {
        passOn(addresses, internal::promptsPath, news.SerializeAsString());
    }
}

void PeerGossip::applyQuarantined(std::vector<QuarantinedPart> parts)
{
    if (parts.empty()) {
        return;
    }
    PromptEvidence evidence;
    evidence.quarantined = std::move(parts);
    dispatcher_.withQuarantine([&evidence](PromptQuarantine &quarantine, core::MonotonicTime now) {
        quarantine.onPeerEvidence(evidence, now);
    });
}

std::vector<QuarantinedPart> PeerGossip::quarantinedParts() const
{
    return dispatcher_.quarantine().quarantined;
}

} // namespace cyclamenspool::gateway
