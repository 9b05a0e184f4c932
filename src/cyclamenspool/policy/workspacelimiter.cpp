#include <cyclamenspool/policy/workspacelimiter.h>

#include <algorithm>

namespace cyclamenspool::policy {

namespace internal {

constexpr double burstSeconds = 1.0; /* bucket depth, as the number of seconds in which the rate fills it */

} // namespace internal

std::optional<core::Milliseconds> WorkspaceLimiter::check(const world::Workspace &workspace, std::size_t routers, core::MonotonicTime at)
{
    if (workspace.requestsPerSecond <= 0.0) {
        return std::nullopt;
    }
    const double rate = workspace.requestsPerSecond / static_cast<double>(routers);
    const double depth = std::max(1.0, rate * internal::burstSeconds);
    const auto [entry, added] = buckets_.try_emplace(workspace.name, rate, depth, at);
    auto &bucket = entry->second;
    if (!added && bucket.rate() != rate) {
        bucket.configure(rate, depth, at);
    }
    if (bucket.take(at)) {
        return std::nullopt;
    }
    return bucket.waitTime(at);
}

} // namespace cyclamenspool::policy
