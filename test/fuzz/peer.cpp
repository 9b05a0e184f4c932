#include "check.h"

#include <cyclamenspool/gateway/fleet.h>
#include <cyclamenspool/gateway/peermessages.h>

#include <cstdint>

using namespace cyclamenspool;

/** @brief A message of another gateway: taken whole or not at all, and the sum of the loads stays what was told. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string bytes(reinterpret_cast<const char *>(data), size);
    const auto news = gateway::readNews(bytes);
    if (!news) {
        return 0;
    }
    const core::MonotonicTime now = core::MonotonicTime() + std::chrono::hours(1);
    gateway::Fleet fleet;
    world::BackendServer server;
    server.id = "i-1";
    server.service = "pool";
    fleet.onListed(server, now);
    const auto loads = gateway::loadsOf(*news);
    fleet.onPeerLoads(news->vm(), loads, now);
    fuzz::check(gateway::Fleet::loadOf(*fleet.find("i-1")) >= 0, "no load is below zero");
    fleet.onPeerLoads(news->vm(), {}, now);
    fuzz::check(gateway::Fleet::loadOf(*fleet.find("i-1")) == 0, "a load that is taken back leaves nothing");
    for (const auto &suspicion : gateway::suspicionsOf(*news)) {
        fleet.onPeerSuspicion(suspicion, now);
        fuzz::check(fleet.find("i-1")->suspectUntil <= now + std::chrono::seconds(3), "a peer's word holds for a moment");
    }
    return 0;
}
