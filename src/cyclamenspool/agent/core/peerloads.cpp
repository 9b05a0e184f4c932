#include <cyclamenspool/agent/core/peerloads.h>

#include <chrono>
#include <vector>

namespace cyclamenspool::agent {

namespace internal {

constexpr std::chrono::milliseconds maxLoadAge{3000};
constexpr std::size_t maxPeers = 64;

} // namespace internal

void PeerLoads::update(const wire::Exchange &message, core::MonotonicTime at)
{
    peers_[message.backend_server()] = {message.load(), message.weight(), message.accepting(), at};
    if (peers_.size() <= internal::maxPeers) {
        return;
    }
    auto oldest = peers_.begin();
    for (auto peer = peers_.begin(); peer != peers_.end(); ++peer) {
        oldest = peer->second.updated < oldest->second.updated ? peer : oldest;
    }
    peers_.erase(oldest);
}

void PeerLoads::addLoad(const std::string &server, double cost)
{
    const auto found = peers_.find(server);
    if (found != peers_.end()) {
        found->second.load += cost;
    }
}

void PeerLoads::erase(const std::string &server)
{
    peers_.erase(server);
}

std::string PeerLoads::pick(double limit, core::MonotonicTime at, core::RandomSource &random) const
{
    std::vector<std::pair<double, std::string>> eligible;
    for (const auto &[server, peer] : peers_) {
        const double relative = peer.load / peer.weight;
        if (peer.accepting && at - peer.updated <= internal::maxLoadAge && relative < limit) {
            eligible.emplace_back(relative, server);
        }
    }
    if (eligible.empty()) {
        return "";
    }
    const auto &first = eligible[random.index(eligible.size())];
    const auto &second = eligible[random.index(eligible.size())];
    return first.first <= second.first ? first.second : second.second;
}

} // namespace cyclamenspool::agent
