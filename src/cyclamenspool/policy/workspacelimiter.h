#pragma once

#include <cyclamenspool/core/now.h>
#include <cyclamenspool/member/fleetview.h>
#include <cyclamenspool/policy/tokenbucket.h>

#include <map>
#include <optional>
#include <string>

namespace cyclamenspool::policy {

/**
 * @brief Limits the request rate of each workspace to this router's share of the workspace's fleet-wide limit.
 *
 * The share is the limit divided by the number of live routers. Routers whose lists differ for some seconds, or that are
 * partitioned from each other, together exceed the limit at most in proportion to the error in their router counts.
 */
class WorkspaceLimiter
{
public:
    /**
     * @brief Counts a request against the limit of its workspace.
     * @param workspace Workspace; a limit of 0 allows every request.
     * @param routers Number of live routers, at least 1.
     * @param at Current time.
     * @return Time until the next request is allowed if this one is over the limit; none if it is within the limit.
     */
    [[nodiscard]] std::optional<core::Milliseconds> check(const world::Workspace &workspace, std::size_t routers, core::MonotonicTime at);

private:
    std::map<std::string, TokenBucket> buckets_;
};

} // namespace cyclamenspool::policy
