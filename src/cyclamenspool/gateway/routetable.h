#pragma once

#include <cyclamenspool/world/route.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenspool::gateway {

/** @brief One version of the routing configuration, indexed for look-ups. Immutable. */
class RouteTable
{
public:
    /** @brief Indexes a routing configuration. */
    explicit RouteTable(world::RoutingConfig routing);

    /**
     * @brief Finds the route of a host with the longest matching path prefix; a prefix may end within a path segment.
     * @param host Host name in lower case, without a port; must equal the route's.
     * @param target Path, optionally with a query.
     * @return Route; null if none matches.
     */
    [[nodiscard]] const world::Route *find(std::string_view host, std::string_view target) const;

    /** @brief Finds the owner of an API key. @return Owner; null if the key is unknown. */
    [[nodiscard]] const world::ApiKeyOwner *ownerOf(std::string_view key) const;

    /** @brief Returns the settings of a service, or the defaults if the configuration does not name it. */
    [[nodiscard]] const world::ServiceSettings &settingsOf(const std::string &service) const;

    /** @brief Returns the routing configuration. */
    [[nodiscard]] const world::RoutingConfig &routing() const noexcept
    {
        return routing_;
    }

private:
    world::RoutingConfig routing_;
    std::map<std::string, std::vector<const world::Route *>, std::less<>> byHost_; /* longest prefix first */
};

} // namespace cyclamenspool::gateway
