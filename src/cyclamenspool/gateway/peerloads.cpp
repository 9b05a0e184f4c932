#include <cyclamenspool/gateway/peerloads.h>

namespace cyclamenspool::gateway {

void PeerLoads::apply(const std::vector<ServerLoad> &loads, int sign, std::vector<std::string> &changed)
{
    for (const auto &load : loads) {
        auto &total = totals_[load.server];
        total += sign * load.outstanding;
        if (total == 0) {
            totals_.erase(load.server);
        }
        changed.push_back(load.server);
    }
}

std::vector<std::string> PeerLoads::update(const std::string &vm, const std::vector<ServerLoad> &loads, core::MonotonicTime now)
{
    std::vector<std::string> changed;
    auto &peer = peers_[vm];
    apply(peer.loads, -1, changed);
    apply(loads, 1, changed);
    peer = {loads, now};
    return changed;
}

std::vector<std::string> PeerLoads::dropStale(core::Milliseconds maxAge, core::MonotonicTime now)
{
    std::vector<std::string> changed;
    for (auto peer = peers_.begin(); peer != peers_.end();) {
        if (now - peer->second.updatedAt < maxAge) {
            ++peer;
            continue;
        }
        apply(peer->second.loads, -1, changed);
        peer = peers_.erase(peer);
    }
    return changed;
}

int PeerLoads::totalOf(const std::string &server) const
{
    const auto found = totals_.find(server);
    return found == totals_.end() ? 0 : found->second;
}

std::chrono::duration<double> PeerLoads::totalUpdateAge(core::MonotonicTime now) const
{
    core::MonotonicTime::duration ages{0};
    for (const auto &[vm, peer] : peers_) {
        ages += now - peer.updatedAt;
    }
    return ages;
}

} // namespace cyclamenspool::gateway
