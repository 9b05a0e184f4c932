#include <cyclamenspool/gateway/peerloads.h>

#include <cstdint>
#include <utility>

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

std::vector<std::string> PeerLoads::update(const std::string &source, LoadReport report, core::MonotonicTime now)
{
    std::vector<std::string> changed;
    auto &known = sources_[source];
    apply(known.report.loads, -1, changed);
    apply(report.loads, 1, changed);
    known = {std::move(report), now};
    return changed;
}

std::vector<std::string> PeerLoads::dropStale(core::Milliseconds maxAge, core::MonotonicTime now)
{
    std::vector<std::string> changed;
    for (auto source = sources_.begin(); source != sources_.end();) {
        if (now - source->second.updatedAt < maxAge) {
            ++source;
            continue;
        }
        apply(source->second.report.loads, -1, changed);
        source = sources_.erase(source);
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
    for (const auto &[name, source] : sources_) {
        ages += source.report.totalAge + (now - source.updatedAt) * static_cast<std::int64_t>(source.report.gateways);
    }
    return ages;
}

std::size_t PeerLoads::gatewayCount() const
{
    std::size_t count = 0;
    for (const auto &[name, source] : sources_) {
        count += source.report.gateways;
    }
    return count;
}

} // namespace cyclamenspool::gateway
