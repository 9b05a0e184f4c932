#include "gatewayfleet.h"

#include "localfleet.h"
#include "ports.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace cyclamenspool::harness {

namespace fs = std::filesystem;
namespace json = boost::json;

namespace {

const std::string graceKey = "grace_s: ";

/** @brief Returns the number of reloads of the settings after which they were in force. */
std::size_t reloadCount(const std::string &log)
{
    const std::string mark = "in force\"";
    std::size_t count = 0;
    for (auto place = log.find(mark); place != std::string::npos; place = log.find(mark, place + mark.size())) {
        ++count;
    }
    return count;
}

json::object makeRoute(const std::string &name, const std::string &kind, const std::string &service)
{
    return {{"name", name},
            {"host", "desk.example"},
            {"prefix", "/" + name + "/"},
            {"kind", kind},
            {"timeout_ms", 3000},
            {"target_latency_ms", 300},
            {"priority", 1},
            {"service", service},
            {"max_attempts", 2},
            {"anonymous", false},
            {"sticky_sessions", false},
            {"resumable", name == "resumed"},
            {"gap_aim_ms", 400}};
}

std::string readFile(const std::string &name)
{
    std::ifstream file(name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

GatewayFleet::GatewayFleet(int gatewayCount, int backendServerCount, int zoneCount)
{
    std::string pattern = (fs::temp_directory_path() / "cyclamenspool-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary directory");
    }
    directory_ = pattern;
    publishRouting(1);
    for (int i = 0; i < backendServerCount; ++i) {
        backendServers.push_back(std::make_unique<FakeBackendServer>("i-" + std::to_string(i)));
        store.put("servers/" + backendServers.back()->id(), backendServers.back()->listEntry("pool"));
    }
    std::string seedPeers;
    for (int i = 0; i < gatewayCount; ++i) {
        auto &gateway = gateways.emplace_back();
        gateway.callerAddress = findFreeAddress();
        gateway.readyAddress = findFreeAddress();
        gateway.peerAddress = findFreeAddress();
        gateway.metricsAddress = findFreeAddress();
        seedPeers += (seedPeers.empty() ? "'" : ", '") + gateway.peerAddress + "'";
    }
    for (std::size_t i = 0; i < gateways.size(); ++i) {
        auto &gateway = gateways[i];
        const auto name = "gateway-" + std::to_string(i);
        gateway.settingsFile = directory_ + "/" + name + ".yaml";
        gateway.logFile = directory_ + "/" + name + ".log";
        const std::string zone{'a', 'z', '-', static_cast<char>('a' + i % static_cast<std::size_t>(zoneCount))};
        std::ofstream(gateway.settingsFile) << "vm: " << name << "\nzone: " << zone << "\ncaller_address: " << gateway.callerAddress
                                            << "\nready_address: " << gateway.readyAddress << "\npeer_address: " << gateway.peerAddress
                                            << "\nmetrics_address: " << gateway.metricsAddress << "\nstore_address: " << store.address() << "\nseed_peers: ["
                                            << seedPeers << "]\n"
                                            << graceKey << "6\nworkers: 2\n";
        start(gateway);
    }
    for (const auto &gateway : gateways) {
        waitUntilReady(gateway);
    }
}

void GatewayFleet::waitUntilReady(const Gateway &gateway) const
{
    if (!LocalFleet::waitUntil([&gateway] {
            return isReady(gateway);
        })) {
        throw std::runtime_error("a gateway did not become ready in time, logs in " + directory_);
    }
}

void GatewayFleet::useStoreAddress(std::size_t index, const std::string &address)
{
    auto &gateway = gateways.at(index);
    auto settings = readSettings(gateway);
    const std::string key = "store_address: ";
    settings.replace(settings.find(key + store.address()), key.size() + store.address().size(), key + address);
    writeSettings(gateway, settings);
    gateway.process.kill();
    start(gateway);
    waitUntilReady(gateway);
}

void GatewayFleet::useSecondStoreAddress(std::size_t index)
{
    useStoreAddress(index, store.secondAddress());
}

void GatewayFleet::turnAway(std::size_t index)
{
    useSecondStoreAddress(index);
    store.setSecondStatus(503);
    // An open watch request may still deliver a change.
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
}

GatewayFleet::~GatewayFleet()
{
    for (auto &gateway : gateways) {
        gateway.process.kill();
    }
    if (std::getenv("CYCLAMENSPOOL_KEEP_LOGS") == nullptr) {
        std::error_code ignored;
        fs::remove_all(directory_, ignored);
    }
}

void GatewayFleet::start(Gateway &gateway)
{
    gateway.process = Process(std::string(CYCLAMENSPOOL_BINARY_DIR) + "/cyclamenspool", {"gateway", "--settings", gateway.settingsFile}, gateway.logFile);
}

void GatewayFleet::publishRouting(int version, const std::string &service, const std::vector<std::string> &keys, std::chrono::milliseconds idleTimeout)
{
    json::object routing{{"version", version}};
    json::array routes{makeRoute("once", "non_idempotent", service),
                       makeRoute("again", "idempotent", service),
                       makeRoute("stream", "streaming", service),
                       makeRoute("resumed", "streaming", service)};
    for (int i = 0; i < idleRouteCount; ++i) {
        routes.push_back(makeRoute("idle-" + std::to_string(i), "streaming", service));
    }
    routing["routes"] = std::move(routes);
    routing["services"] = json::array{json::object{{"name", service}, {"max_connections", 100}}};
    routing["limits"]
        = json::object{{"max_header_bytes", 8192}, {"max_body_bytes", maxBodyBytes}, {"header_timeout_ms", 500}, {"idle_timeout_ms", idleTimeout.count()}};
    json::array apiKeys;
    for (const auto &key : keys) {
        apiKeys.emplace_back(key);
    }
    routing["tenants"] = json::array{json::object{{"name", "desk"}, {"api_keys", apiKeys}}};
    store.put("op/config", json::serialize(routing));
}

HttpRequest GatewayFleet::makeRequest(const std::string &id, const std::string &path, std::size_t gateway) const
{
    HttpRequest request;
    request.address = gateways.at(gateway).callerAddress;
    request.method = "POST";
    request.target = path;
    request.headers = {{"Host", "desk.example"}, {"Cyclamenspool-Request-Id", id}, {"Cyclamenspool-Deadline-Ms", "2500"}, {"Authorization", "Bearer key-1"}};
    request.body = "{}";
    return request;
}

bool GatewayFleet::isReady(const Gateway &gateway)
{
    return sendRequest({gateway.readyAddress, "GET", "/-/ready"}).status == 200;
}

std::string GatewayFleet::readLog(const Gateway &gateway)
{
    return readFile(gateway.logFile);
}

std::vector<std::pair<int, std::chrono::system_clock::time_point>> GatewayFleet::routingTimes(const Gateway &gateway)
{
    std::vector<std::pair<int, std::chrono::system_clock::time_point>> times;
    std::istringstream lines(readLog(gateway));
    for (std::string line; std::getline(lines, line);) {
        if (line.find("\"event\":\"routing\"") == std::string::npos || line.find("\"in_force\":true") == std::string::npos) {
            continue;
        }
        const auto fields = json::parse(line).as_object();
        const std::chrono::milliseconds sinceEpoch(fields.at("time_ms").to_number<std::int64_t>());
        times.emplace_back(fields.at("version").to_number<int>(), std::chrono::system_clock::time_point(sinceEpoch));
    }
    return times;
}

std::string GatewayFleet::readSettings(const Gateway &gateway)
{
    return readFile(gateway.settingsFile);
}

void GatewayFleet::writeSettings(const Gateway &gateway, const std::string &text)
{
    std::ofstream(gateway.settingsFile) << text;
}

void GatewayFleet::setGracePeriod(Gateway &gateway, std::chrono::milliseconds period)
{
    const auto earlierReloads = reloadCount(readLog(gateway));
    auto settings = readSettings(gateway);
    std::ostringstream line;
    line << graceKey << std::chrono::duration<double>(period).count();
    const auto place = settings.find(graceKey);
    settings.replace(place, settings.find('\n', place) - place, line.str());
    writeSettings(gateway, settings);
    gateway.process.signal(SIGHUP);
    if (!LocalFleet::waitUntil([&gateway, earlierReloads] {
            return reloadCount(readLog(gateway)) > earlierReloads;
        })) {
        throw std::runtime_error("a gateway did not apply its grace period in time");
    }
}

} // namespace cyclamenspool::harness
