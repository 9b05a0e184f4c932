#include <cyclamenspool/gateway/peerloads.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace cyclamenspool::gateway {

namespace internal {

bool isBefore(const ServerLoad &left, const ServerLoad &right) noexcept
{
    return left.server < right.server;
}

/** @brief Sorts loads by backend server and adds up those of the same one. */
void normalize(std::vector<ServerLoad> &loads)
{
    if (!std::is_sorted(loads.begin(), loads.end(), isBefore)) {
        std::sort(loads.begin(), loads.end(), isBefore);
    }
    std::size_t count = 0;
    for (std::size_t i = 0; i < loads.size(); ++i) {
        if (count > 0 && loads[count - 1].server == loads[i].server) {
            loads[count - 1].outstanding += loads[i].outstanding;
        } else if (count++ != i) {
            loads[count - 1] = std::move(loads[i]);
        }
    }
    loads.resize(count);
}

} // namespace internal

void PeerLoads::add(const std::string &server, int difference, std::vector<std::string> &changed)
{
    if (difference == 0) {
        return;
    }
    const auto found = totals_.try_emplace(server, 0).first;
    found->second += difference;
    if (found->second == 0) {
        totals_.erase(found);
    }
    changed.push_back(server);
}

std::vector<std::string> PeerLoads::replaceLoads(const std::vector<ServerLoad> &previous, const std::vector<ServerLoad> &next)
{
    std::vector<std::string> changed;
    auto before = previous.begin();
    auto after = next.begin();
    while (before != previous.end() || after != next.end()) {
        int order = 0; /* negative: only before has the server, positive: only after */
        if (before == previous.end()) {
            order = 1;
        } else if (after == next.end()) {
            order = -1;
        } else {
            order = before->server.compare(after->server);
        }
        const auto &server = order <= 0 ? before->server : after->server;
        const int removed = order <= 0 ? (before++)->outstanding : 0;
        const int added = order >= 0 ? (after++)->outstanding : 0;
        add(server, added - removed, changed);
    }
    return changed;
}

std::vector<std::string> PeerLoads::update(const std::string &source, LoadReport report, core::MonotonicTime now)
{
    auto &known = sources_[source];
    internal::normalize(report.loads);
    auto changed = replaceLoads(known.report.loads, report.loads);
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
        for (const auto &load : source->second.report.loads) {
            add(load.server, -load.outstanding, changed);
        }
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
