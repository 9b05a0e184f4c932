#pragma once

#include <cyclamenspool/world/route.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenspool::gateway {

/** @brief One version of the routing with its routes in the order of matching. Immutable. */
class RouteTable
{
public:
    /** @brief Creates a table. @param routing Routing. */
    explicit RouteTable(world::Routing routing);

    /** @brief Finds the route with the longest matching prefix. @param host Host, lower case. @param target Path, perhaps with a query. @return Route; null:
     * none. */
    [[nodiscard]] const world::Route *find(std::string_view host, std::string_view target) const;

    /** @brief Finds the holder of an API key. @param key API key. @return Holder; null: unknown. */
    [[nodiscard]] const world::KeyHolder *holderOf(std::string_view key) const;

    /** @brief Returns the traits of a service. @param service Name. @return Traits; defaults if the routing does not name it. */
    [[nodiscard]] const world::ServiceTraits &traitsOf(const std::string &service) const;

    /** @brief Returns the routing. @return Routing. */
    [[nodiscard]] const world::Routing &routing() const noexcept
    {
        return routing_;
    }

private:
    world::Routing routing_;
    std::map<std::string, std::vector<const world::Route *>, std::less<>> byHost_; /* longest prefix first */
};

} // namespace cyclamenspool::gateway
