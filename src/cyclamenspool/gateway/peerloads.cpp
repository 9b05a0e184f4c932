#include <cyclamenspool/gateway/peerloads.h>

namespace cyclamenspool::gateway {

void PeerLoads::add(const std::vector<LoadNews> &loads, int sign, std::vector<std::string> &changed)
{
    for (const auto &load : loads) {
        auto &sum = sums_[load.server];
        sum += sign * load.outstanding;
        if (sum == 0) {
            sums_.erase(load.server);
        }
        changed.push_back(load.server);
    }
}

std::vector<std::string> PeerLoads::take(const std::string &vm, const std::vector<LoadNews> &loads, core::MonotonicTime now)
{
    std::vector<std::string> changed;
    auto &peer = peers_[vm];
    add(peer.loads, -1, changed);
    add(loads, 1, changed);
    peer = {loads, now};
    return changed;
}

std::vector<std::string> PeerLoads::dropSilent(core::Milliseconds limit, core::MonotonicTime now)
{
    std::vector<std::string> changed;
    for (auto peer = peers_.begin(); peer != peers_.end();) {
        if (now - peer->second.heard < limit) {
            ++peer;
            continue;
        }
        add(peer->second.loads, -1, changed);
        peer = peers_.erase(peer);
    }
    return changed;
}

int PeerLoads::at(const std::string &server) const
{
    const auto found = sums_.find(server);
    return found == sums_.end() ? 0 : found->second;
}

std::chrono::duration<double> PeerLoads::unseenTime(core::MonotonicTime now) const
{
    core::MonotonicTime::duration ages{0};
    for (const auto &[vm, peer] : peers_) {
        ages += now - peer.heard;
    }
    return ages;
}

} // namespace cyclamenspool::gateway
