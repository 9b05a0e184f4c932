#pragma once

#include <cyclamenspool/core/now.h>
#include <cyclamenspool/member/fleetview.h>
#include <cyclamenspool/policy/tokenbucket.h>

#include <map>
#include <optional>
#include <string>

namespace cyclamenspool::policy {

/**
 * @brief Holds each workspace to this router's share of its fleet-wide limit.
 *
 * The share is the limit over the number of live routers: routers that disagree about the list for seconds, or are cut off
 * from each other, cannot together pass the limit by more than the part that the list is wrong.
 */
class WorkspaceLimiter
{
public:
    /**
     * @brief Decides on a request.
     * @param workspace Workspace with its limit.
     * @param routers Number of live routers.
     * @param at Time.
     * @return Time until a retry makes sense; none if the request is within the limit.
     */
    [[nodiscard]] std::optional<core::Milliseconds> check(const world::Workspace &workspace, std::size_t routers, core::MonotonicTime at);

private:
    std::map<std::string, TokenBucket> buckets_;
};

} // namespace cyclamenspool::policy
