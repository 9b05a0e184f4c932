#include <cyclamenspool/gateway/routetable.h>

#include <algorithm>

namespace cyclamenspool::gateway {

RouteTable::RouteTable(world::RoutingConfig routing)
    : routing_(std::move(routing))
{
    for (const auto &route : routing_.routes) {
        byHost_[route.host].push_back(&route);
    }
    for (auto &[host, routes] : byHost_) {
        std::stable_sort(routes.begin(), routes.end(), [](const world::Route *left, const world::Route *right) {
            return left->prefix.size() > right->prefix.size();
        });
    }
}

const world::Route *RouteTable::find(std::string_view host, std::string_view target) const
{
    const auto found = byHost_.find(host);
    if (found == byHost_.end()) {
        return nullptr;
    }
    const auto path = target.substr(0, target.find('?'));
    for (const auto *route : found->second) {
        if (path.substr(0, route->prefix.size()) == route->prefix) {
            return route;
        }
    }
    return nullptr;
}

const world::ApiKeyOwner *RouteTable::ownerOf(std::string_view key) const
{
    const auto found = routing_.apiKeys.find(key);
    return found == routing_.apiKeys.end() ? nullptr : &found->second;
}

const world::ServiceSettings &RouteTable::settingsOf(const std::string &service) const
{
    static const world::ServiceSettings defaults;
    const auto found = routing_.services.find(service);
    return found == routing_.services.end() ? defaults : found->second;
}

} // namespace cyclamenspool::gateway
