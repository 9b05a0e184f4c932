#include <cyclamenspool/platform/documents.h>

#include <cyclamenspool/wire/endpoint.h>

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/json/parse.hpp>

#include <cmath>

namespace cyclamenspool::platform {

namespace json = boost::json;

namespace internal {

constexpr std::string_view routingKey = "op/config";
constexpr std::string_view evacuationPrefix = "op/evacuate/";
constexpr double largestNumber = 9e15; /* a double holds every whole number up to it */
constexpr double largestCount = 2147483647;
constexpr std::chrono::milliseconds longestTime{365LL * 24 * 3600 * 1000}; /* the steady clock's nanoseconds end at 292 years */

[[noreturn]] void reject(std::string_view field, const char *reason)
{
    throw MalformedValue("field '" + std::string(field) + "' " + reason);
}

const json::value *find(const json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    return value == nullptr || value->is_null() ? nullptr : value;
}

std::string text(const json::object &object, std::string_view name)
{
    const auto *value = find(object, name);
    if (value == nullptr || !value->is_string()) {
        reject(name, "must be text");
    }
    return std::string(value->as_string());
}

double number(const json::object &object, std::string_view name, double largest = largestNumber)
{
    const auto *value = find(object, name);
    if (value == nullptr || !value->is_number()) {
        reject(name, "must be a number");
    }
    const double result = value->to_number<double>();
    if (!std::isfinite(result) || result < 0 || result > largest) {
        reject(name, "is out of range");
    }
    return result;
}

double numberOr(const json::object &object, std::string_view name, double fallback)
{
    return find(object, name) == nullptr ? fallback : number(object, name);
}

int count(const json::object &object, std::string_view name)
{
    return static_cast<int>(number(object, name, largestCount));
}

int countOr(const json::object &object, std::string_view name, int fallback)
{
    return find(object, name) == nullptr ? fallback : count(object, name);
}

/** @brief Reads a time. @param unit Unit of the number on the wire. */
std::chrono::milliseconds timeOr(const json::object &object, std::string_view name, std::chrono::milliseconds fallback, std::chrono::milliseconds unit)
{
    if (find(object, name) == nullptr) {
        return fallback;
    }
    const auto units = number(object, name, static_cast<double>(longestTime / unit));
    return std::chrono::milliseconds(std::llround(units * static_cast<double>(unit.count())));
}

std::chrono::milliseconds millis(const json::object &object, std::string_view name, std::chrono::milliseconds fallback)
{
    return timeOr(object, name, fallback, std::chrono::milliseconds(1));
}

bool flag(const json::object &object, std::string_view name)
{
    const auto *value = find(object, name);
    if (value == nullptr) {
        return false;
    }
    if (!value->is_bool()) {
        reject(name, "must be true or false");
    }
    return value->as_bool();
}

const json::array &array(const json::object &object, std::string_view name)
{
    static const json::array none;
    const auto *value = find(object, name);
    if (value == nullptr) {
        return none;
    }
    if (!value->is_array()) {
        reject(name, "must be a list");
    }
    return value->as_array();
}

const json::object &objectOf(const json::value &value, std::string_view name)
{
    if (!value.is_object()) {
        reject(name, "must hold objects");
    }
    return value.as_object();
}

json::value parse(const std::string &bytes)
{
    boost::system::error_code error;
    auto value = json::parse(bytes, error);
    if (error || !value.is_object()) {
        throw MalformedValue("the value is no JSON object");
    }
    return value;
}

world::RouteKind kindOf(const std::string &name)
{
    if (name == "streaming") {
        return world::RouteKind::Streaming;
    }
    // A kind that is not known is handled as the strictest one.
    return name == "idempotent" ? world::RouteKind::Idempotent : world::RouteKind::NonIdempotent;
}

std::vector<world::TrafficShare> sharesOf(const json::object &route)
{
    std::vector<world::TrafficShare> shares;
    for (const auto &entry : array(route, "traffic_split")) {
        const auto &share = objectOf(entry, "traffic_split");
        shares.push_back({text(share, "service"), number(share, "weight")});
    }
    if (shares.empty()) {
        shares.push_back({text(route, "service"), 1.0});
    }
    return shares;
}

world::Route routeOf(const json::object &object)
{
    world::Route route;
    route.name = text(object, "name");
    route.host = text(object, "host");
    boost::to_lower(route.host);
    route.prefix = text(object, "prefix");
    route.kind = kindOf(text(object, "kind"));
    route.services = sharesOf(object);
    route.timeout = millis(object, "timeout_ms", route.timeout);
    route.latencyObjective = millis(object, "target_latency_ms", route.latencyObjective);
    route.pauseObjective = millis(object, "gap_aim_ms", route.pauseObjective);
    route.priority = countOr(object, "priority", route.priority);
    route.maxAttempts = countOr(object, "max_attempts", route.maxAttempts);
    route.anonymous = flag(object, "anonymous");
    route.resumable = flag(object, "resumable");
    // The wire's name speaks of sessions; what it marks are requests that carry the parts of a prompt.
    route.warmHistory = flag(object, "sticky_sessions");
    return route;
}

world::ServiceTraits traitsOf(const json::object &object)
{
    world::ServiceTraits traits;
    traits.name = text(object, "name");
    traits.maxConnections = countOr(object, "max_connections", traits.maxConnections);
    traits.coldStart = timeOr(object, "cold_start_s", std::chrono::milliseconds(0), std::chrono::seconds(1));
    traits.coldRequestsPerSecond = numberOr(object, "cold_per_s", 0);
    const auto *engine = find(object, "engine");
    if (engine != nullptr && engine->is_object()) {
        traits.slots = countOr(engine->as_object(), "slots", 0);
    }
    return traits;
}

void readKeys(const json::object &object, world::Routing &routing)
{
    routing.hasWorkspaces = find(object, "tenants") != nullptr;
    for (const auto &entry : array(object, "tenants")) {
        const auto &holder = objectOf(entry, "tenants");
        const world::KeyHolder keyHolder{text(holder, "name"), countOr(holder, "priority", -1)};
        for (const auto &key : array(holder, "api_keys")) {
            if (!key.is_string()) {
                reject("api_keys", "must hold text");
            }
            routing.keys[std::string(key.as_string())] = keyHolder;
        }
    }
}

world::Routing routingOf(const std::string &bytes)
{
    const auto value = parse(bytes);
    const auto &object = value.as_object();
    world::Routing routing;
    routing.version = static_cast<std::uint64_t>(number(object, "version"));
    for (const auto &route : array(object, "routes")) {
        routing.routes.push_back(routeOf(objectOf(route, "routes")));
    }
    for (const auto &service : array(object, "services")) {
        auto traits = traitsOf(objectOf(service, "services"));
        routing.services[traits.name] = traits;
    }
    readKeys(object, routing);
    if (const auto *limits = find(object, "limits"); limits != nullptr) {
        const auto &bounds = objectOf(*limits, "limits");
        auto &out = routing.limits;
        out.headerBytes = static_cast<std::uint32_t>(countOr(bounds, "max_header_bytes", static_cast<int>(out.headerBytes)));
        out.bodyBytes = static_cast<std::uint64_t>(numberOr(bounds, "max_body_bytes", static_cast<double>(out.bodyBytes)));
        out.headerTimeout = millis(bounds, "header_timeout_ms", out.headerTimeout);
        out.idleTimeout = millis(bounds, "idle_timeout_ms", out.idleTimeout);
    }
    return routing;
}

world::BackendServer serverOf(const std::string &id, const member::Item &item)
{
    const auto value = parse(item.value);
    const auto &object = value.as_object();
    world::BackendServer server;
    server.id = id;
    server.service = text(object, "service");
    server.address = text(object, "address");
    try {
        static_cast<void>(wire::endpointOf(server.address));
    } catch (const std::exception &) {
        reject("address", "must be an IP number and a port");
    }
    server.zone = text(object, "zone");
    server.slots = count(object, "slots");
    const auto state = text(object, "state");
    if (state != "ready" && state != "draining") {
        reject("state", "is not known");
    }
    server.leaving = state == "draining";
    // How much longer it stays slow, not for how long it has been cold.
    server.coldRemaining = millis(object, "cold_remaining_ms", std::chrono::milliseconds(0));
    server.started = static_cast<std::uint64_t>(numberOr(object, "born", 0));
    server.revision = item.revision;
    return server;
}

} // namespace internal

Document decode(const member::Item &item)
{
    if (item.key == internal::routingKey) {
        return item.isDeleted ? Document(Unused{}) : Document(internal::routingOf(item.value));
    }
    if (boost::starts_with(item.key, internal::evacuationPrefix)) {
        return ZoneMark{item.key.substr(internal::evacuationPrefix.size()), !item.isDeleted};
    }
    if (boost::starts_with(item.key, serverPrefix)) {
        const auto id = item.key.substr(serverPrefix.size());
        return item.isDeleted ? Document(GoneServer{id}) : Document(internal::serverOf(id, item));
    }
    return Unused{};
}

} // namespace cyclamenspool::platform
