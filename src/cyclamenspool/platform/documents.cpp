#include <cyclamenspool/platform/documents.h>

#include <cyclamenspool/wire/endpoint.h>

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>
#include <cmath>

namespace cyclamenspool::platform {

namespace json = boost::json;

namespace internal {

constexpr std::string_view evacuationPrefix = "op/evacuate/";
constexpr double maxExactInteger = 9e15; /* below 2^53, up to which a double holds every integer exactly */
constexpr double maxCount = 2147483647; /* highest int */
constexpr std::chrono::milliseconds maxDuration{365LL * 24 * 3600 * 1000}; /* far below the 292 years that the steady clock's 64-bit nanoseconds can hold */

[[noreturn]] void reject(std::string_view field, const char *reason)
{
    throw MalformedValue("field '" + std::string(field) + "' " + reason);
}

const json::value *find(const json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    return value == nullptr || value->is_null() ? nullptr : value;
}

std::string readString(const json::object &object, std::string_view name)
{
    const auto *value = find(object, name);
    if (value == nullptr || !value->is_string()) {
        reject(name, "must be a string");
    }
    return std::string(value->as_string());
}

double readNumber(const json::object &object, std::string_view name, double max = maxExactInteger)
{
    const auto *value = find(object, name);
    if (value == nullptr || !value->is_number()) {
        reject(name, "must be a number");
    }
    const double result = value->to_number<double>();
    if (!std::isfinite(result) || result < 0 || result > max) {
        reject(name, "is out of range");
    }
    return result;
}

double readNumberOr(const json::object &object, std::string_view name, double fallback)
{
    return find(object, name) == nullptr ? fallback : readNumber(object, name);
}

int readCount(const json::object &object, std::string_view name)
{
    return static_cast<int>(readNumber(object, name, maxCount));
}

int readCountOr(const json::object &object, std::string_view name, int fallback)
{
    return find(object, name) == nullptr ? fallback : readCount(object, name);
}

/** @brief Reads an optional duration. @param fallback Returned if the field is absent. @param unit Unit of the number on the wire. */
std::chrono::milliseconds readDurationOr(const json::object &object, std::string_view name, std::chrono::milliseconds fallback, std::chrono::milliseconds unit)
{
    if (find(object, name) == nullptr) {
        return fallback;
    }
    const auto units = readNumber(object, name, static_cast<double>(maxDuration / unit));
    return std::chrono::milliseconds(std::llround(units * static_cast<double>(unit.count())));
}

std::chrono::milliseconds readMillisecondsOr(const json::object &object, std::string_view name, std::chrono::milliseconds fallback)
{
    return readDurationOr(object, name, fallback, std::chrono::milliseconds(1));
}

bool readFlag(const json::object &object, std::string_view name)
{
    const auto *value = find(object, name);
    if (value == nullptr) {
        return false;
    }
    if (!value->is_bool()) {
        reject(name, "must be a boolean");
    }
    return value->as_bool();
}

const json::array &readArray(const json::object &object, std::string_view name)
{
    static const json::array empty;
    const auto *value = find(object, name);
    if (value == nullptr) {
        return empty;
    }
    if (!value->is_array()) {
        reject(name, "must be an array");
    }
    return value->as_array();
}

const json::object &objectOf(const json::value &value, std::string_view name)
{
    if (!value.is_object()) {
        reject(name, "must contain objects");
    }
    return value.as_object();
}

json::value parse(const std::string &bytes)
{
    boost::system::error_code error;
    auto value = json::parse(bytes, error);
    if (error || !value.is_object()) {
        throw MalformedValue("the value is not a JSON object");
    }
    return value;
}

world::RouteKind kindOf(const std::string &name)
{
    if (name == "streaming") {
        return world::RouteKind::Streaming;
    }
    // An unknown kind gets the strictest retry rule.
    return name == "idempotent" ? world::RouteKind::Idempotent : world::RouteKind::NonIdempotent;
}

std::vector<world::TrafficShare> sharesOf(const json::object &route)
{
    std::vector<world::TrafficShare> shares;
    for (const auto &entry : readArray(route, "traffic_split")) {
        const auto &share = objectOf(entry, "traffic_split");
        shares.push_back({readString(share, "service"), readNumber(share, "weight")});
    }
    if (shares.empty()) {
        shares.push_back({readString(route, "service"), 1.0});
    }
    return shares;
}

world::Route routeOf(const json::object &object)
{
    world::Route route;
    route.name = readString(object, "name");
    route.host = readString(object, "host");
    boost::to_lower(route.host);
    route.prefix = readString(object, "prefix");
    route.kind = kindOf(readString(object, "kind"));
    route.services = sharesOf(object);
    route.timeout = readMillisecondsOr(object, "timeout_ms", route.timeout);
    route.latencyObjective = readMillisecondsOr(object, "target_latency_ms", route.latencyObjective);
    route.pauseObjective = readMillisecondsOr(object, "gap_aim_ms", route.pauseObjective);
    route.priority = readCountOr(object, "priority", route.priority);
    route.maxAttempts = readCountOr(object, "max_attempts", route.maxAttempts);
    route.anonymous = readFlag(object, "anonymous");
    route.resumable = readFlag(object, "resumable");
    // Despite its name on the wire, the field marks routes whose requests carry the parts of a prompt; it is not about sessions.
    route.usesPromptCache = readFlag(object, "sticky_sessions");
    return route;
}

world::ServiceSettings serviceSettingsOf(const json::object &object)
{
    world::ServiceSettings settings;
    settings.name = readString(object, "name");
    settings.maxConnections = readCountOr(object, "max_connections", settings.maxConnections);
    settings.coldStart = readDurationOr(object, "cold_start_s", std::chrono::milliseconds(0), std::chrono::seconds(1));
    settings.coldRequestsPerSecond = readNumberOr(object, "cold_per_s", 0);
    const auto *engine = find(object, "engine");
    if (engine != nullptr && engine->is_object()) {
        settings.slots = readCountOr(engine->as_object(), "slots", 0);
    }
    return settings;
}

void readApiKeys(const json::object &object, world::RoutingConfig &routing)
{
    routing.requiresApiKey = find(object, "tenants") != nullptr;
    for (const auto &entry : readArray(object, "tenants")) {
        const auto &tenant = objectOf(entry, "tenants");
        const world::ApiKeyOwner owner{readString(tenant, "name"), readCountOr(tenant, "priority", -1)};
        for (const auto &key : readArray(tenant, "api_keys")) {
            if (!key.is_string()) {
                reject("api_keys", "must contain strings");
            }
            routing.apiKeys[std::string(key.as_string())] = owner;
        }
    }
}

world::RoutingConfig routingOf(const std::string &bytes)
{
    const auto value = parse(bytes);
    const auto &object = value.as_object();
    world::RoutingConfig routing;
    routing.version = static_cast<std::uint64_t>(readNumber(object, "version"));
    for (const auto &route : readArray(object, "routes")) {
        routing.routes.push_back(routeOf(objectOf(route, "routes")));
    }
    for (const auto &service : readArray(object, "services")) {
        auto settings = serviceSettingsOf(objectOf(service, "services"));
        routing.services[settings.name] = settings;
    }
    readApiKeys(object, routing);
    if (const auto *limits = find(object, "limits"); limits != nullptr) {
        const auto &entry = objectOf(*limits, "limits");
        auto &result = routing.limits;
        result.headerBytes = static_cast<std::uint32_t>(readCountOr(entry, "max_header_bytes", static_cast<int>(result.headerBytes)));
        result.bodyBytes = static_cast<std::uint64_t>(readNumberOr(entry, "max_body_bytes", static_cast<double>(result.bodyBytes)));
        result.headerTimeout = readMillisecondsOr(entry, "header_timeout_ms", result.headerTimeout);
        result.idleTimeout = readMillisecondsOr(entry, "idle_timeout_ms", result.idleTimeout);
    }
    return routing;
}

/** @brief Returns whether an id can stand in a header: visible ASCII characters only. */
bool isValidId(const std::string &id)
{
    constexpr char firstVisible = '!';
    constexpr char lastVisible = '~';
    return !id.empty() && std::all_of(id.begin(), id.end(), [](char each) {
        return each >= firstVisible && each <= lastVisible;
    });
}

world::BackendServer serverOf(const std::string &id, const member::StoreItem &item)
{
    if (!isValidId(id)) {
        throw MalformedValue("the id in the key must consist of visible ASCII characters");
    }
    const auto value = parse(item.value);
    const auto &object = value.as_object();
    world::BackendServer server;
    server.id = id;
    server.service = readString(object, "service");
    server.address = readString(object, "address");
    try {
        static_cast<void>(wire::parseEndpoint(server.address));
    } catch (const std::exception &) {
        reject("address", "must be an IP address and a port");
    }
    server.zone = readString(object, "zone");
    server.slots = readCount(object, "slots");
    const auto state = readString(object, "state");
    if (state != "ready" && state != "draining") {
        reject("state", "has an unknown value");
    }
    server.leaving = state == "draining";
    // Remaining duration of the cold start, not the time since the start.
    server.coldRemaining = readMillisecondsOr(object, "cold_remaining_ms", std::chrono::milliseconds(0));
    server.startedUnixMs = static_cast<std::uint64_t>(readNumberOr(object, "born", 0));
    if (find(object, "sequence") != nullptr) {
        server.sequence = static_cast<std::uint64_t>(readNumber(object, "sequence"));
    }
    server.revision = item.position.revision;
    return server;
}

} // namespace internal

Document decode(const member::StoreItem &item)
{
    if (item.key == routingKey) {
        return item.isDeleted ? Document(IgnoredItem{}) : Document(internal::routingOf(item.value));
    }
    if (boost::starts_with(item.key, internal::evacuationPrefix)) {
        return ZoneEvacuation{item.key.substr(internal::evacuationPrefix.size()), !item.isDeleted};
    }
    if (boost::starts_with(item.key, serverPrefix)) {
        const auto id = item.key.substr(serverPrefix.size());
        return item.isDeleted ? Document(RemovedServer{id}) : Document(internal::serverOf(id, item));
    }
    return IgnoredItem{};
}

} // namespace cyclamenspool::platform
