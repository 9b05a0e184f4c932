#include "check.h"

#include <cyclamenspool/gateway/fleet.h>
#include <cyclamenspool/gateway/peermessages.h>
#include <cyclamenspool/gateway/promptmessages.h>

#include <cstdint>

using namespace cyclamenspool;

namespace {

void checkPromptNews(const std::string &bytes)
{
    const auto news = gateway::decodePromptNews(bytes);
    if (!news) {
        return;
    }
    const core::MonotonicTime now = core::MonotonicTime() + std::chrono::hours(1);
    gateway::PromptQuarantine quarantine;
    const auto evidence = gateway::evidenceOf(*news);
    quarantine.onPeerEvidence(evidence, now);
    fuzz::check(quarantine.suspectCount() <= 512, "the number of suspected parts is bounded");
    for (const auto part : evidence.survived) {
        fuzz::check(quarantine.check({part}, now + std::chrono::seconds(1)) == gateway::PromptQuarantine::Verdict::Clear, "a survived part is clear");
    }
}

} // namespace

/** @brief Fuzzes another gateway's update and its evidence on prompts: decoding rejects a malformed one as a whole, and the loads and suspicions of a valid one
 * stay within bounds. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string bytes(reinterpret_cast<const char *>(data), size);
    checkPromptNews(bytes);
    const auto update = gateway::decodePeerUpdate(bytes);
    if (!update) {
        return 0;
    }
    const core::MonotonicTime now = core::MonotonicTime() + std::chrono::hours(1);
    gateway::PromptQuarantine quarantine;
    quarantine.onPeerEvidence({{}, {}, gateway::quarantinedIn(*update)}, now);
    fuzz::check(quarantine.quarantined(now + std::chrono::minutes(10)).empty(), "a quarantine that a peer reports lasts ten minutes at most");
    gateway::Fleet fleet;
    world::BackendServer server;
    server.id = "i-1";
    server.service = "pool";
    fleet.onServerListed(server, now);
    const auto loads = gateway::loadsOf(*update);
    fleet.onPeerLoads(update->vm(), loads, now);
    fuzz::check(gateway::Fleet::loadOf(*fleet.find("i-1")) >= 0, "no load is negative");
    fleet.onPeerLoads(update->vm(), {}, now);
    fuzz::check(gateway::Fleet::loadOf(*fleet.find("i-1")) == 0, "an update without loads resets the peer's loads to zero");
    for (const auto &suspicion : gateway::suspicionsOf(*update)) {
        fleet.onPeerSuspicion(suspicion, now);
        fuzz::check(fleet.find("i-1")->suspectUntil <= now + std::chrono::seconds(3), "a suspicion that a peer reports lasts three seconds at most");
    }
    return 0;
}
