#include "soakfleet.h"

#include <harness/eventstream.h>
#include <harness/localfleet.h>
#include <harness/unframed.h>

#include <algorithm>
#include <thread>

namespace cyclamenspool::soak {

using namespace std::chrono_literals;
using harness::GatewayFleet;
using harness::PlainRequest;
using harness::PlainSocket;
using harness::writeAll;

namespace {

constexpr int streamEvents = 4;
const std::string poisonPart = "badc0de";

std::string idOf(const PlainRequest &request)
{
    return std::string(request["Cyclamenspool-Request-Id"]);
}

std::string eventOf(const std::string &id, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + id + "-" + std::to_string(number) + "\n\n";
}

std::string bodyOf(const std::string &id, Kind kind)
{
    if (kind != Kind::Stream) {
        return "answer to " + id;
    }
    std::string body;
    for (int number = 1; number <= streamEvents; ++number) {
        body += eventOf(id, number);
    }
    return body;
}

bool respondSound(const PlainRequest &request, PlainSocket &socket)
{
    const bool isStream = request.target().find("/resumed/") == 0;
    if (!isStream) {
        return writeAll(socket, harness::formatResponseWithDigest(request, bodyOf(idOf(request), Kind::Once)));
    }
    const std::string last(request["Last-Event-Id"]);
    bool isOpen = writeAll(socket, harness::responseHeadFor(request));
    for (int number = last.empty() ? 1 : std::stoi(last) + 1; number <= streamEvents && isOpen; ++number) {
        std::this_thread::sleep_for(10ms);
        isOpen = writeAll(socket, harness::chunk(eventOf(idOf(request), number)));
    }
    return isOpen && writeAll(socket, "0\r\n\r\n");
}

/** @brief Answers without a length or chunks, whole or broken off: a stream by a FIN inside its second event, another answer by a reset. */
bool respondUnframed(const PlainRequest &request, PlainSocket &socket, bool isBroken)
{
    const bool isStream = request.target().find("/resumed/") == 0;
    const std::string last(request["Last-Event-Id"]);
    std::string body = isStream ? "" : bodyOf(idOf(request), Kind::Once);
    for (int number = last.empty() ? 1 : std::stoi(last) + 1; isStream && number <= streamEvents; ++number) {
        body += eventOf(idOf(request), number);
    }
    const auto cut = isStream ? body.find("\n\n") + 7 : body.size() / 2;
    const auto end = isStream || !isBroken ? harness::ConnectionEnd::Fin : harness::ConnectionEnd::Reset;
    return harness::sendUnframed(request, socket, body, isBroken ? std::min(cut, body.size() - 1) : body.size(), end);
}

} // namespace

SoakFleet::SoakFleet(const FleetSize &size)
    : fleet(size.gateways, size.backendServers, size.zones)
{
    for (std::size_t i = 0; i < fleet.backendServers.size(); ++i) {
        auto &server = *fleet.backendServers[i];
        serverProxies.push_back(std::make_unique<harness::FaultProxy>(server.address()));
        servers_.push_back(std::make_unique<ServerState>());
        server.setHandler([this, state = servers_.back().get()](const PlainRequest &request, PlainSocket &socket) {
            std::this_thread::sleep_for(10ms);
            return respond(*state, request, socket);
        });
        listServer(i, "ready");
    }
    for (auto &gateway : fleet.gateways) {
        storeProxies.push_back(std::make_unique<harness::FaultProxy>(fleet.store.address()));
        auto settings = GatewayFleet::readSettings(gateway);
        const std::string key = "store_address: ";
        settings.replace(settings.find(key), key.size() + fleet.store.address().size(), key + storeProxies.back()->address());
        GatewayFleet::writeSettings(gateway, settings);
        gateway.process.kill();
        fleet.start(gateway);
    }
    if (!recover()) {
        throw std::runtime_error("a gateway did not become ready behind its proxy");
    }
}

bool SoakFleet::respond(ServerState &server, const PlainRequest &request, PlainSocket &socket)
{
    const auto now = std::chrono::steady_clock::now();
    if (now < server.downUntil.load()) {
        return false;
    }
    if (std::string(request["Cyclamenspool-Prompt-Prefix"]).find(poisonPart) != std::string::npos) {
        ++poisonRuns_;
        server.downUntil = now + 1s;
        return harness::sendUnframed(request, socket, "", 0, harness::ConnectionEnd::Fin);
    }
    switch (server.behaviour) {
    case Behaviour::LosesAnswers:
        return harness::resetConnection(socket);
    case Behaviour::Silent:
        std::this_thread::sleep_for(700ms);
        return respondSound(request, socket);
    case Behaviour::CopiesAnswers: {
        const bool isOpen = respondSound(request, socket);
        std::this_thread::sleep_for(5ms);
        return isOpen && writeAll(socket, "HTTP/1.1 200 OK\r\nCyclamenspool-Response-Seal: s\r\nContent-Length: 5\r\n\r\nstale");
    }
    case Behaviour::Malformed:
        return writeAll(socket, "no answer at all\r\n\r\n") && false;
    case Behaviour::Truncated:
        return writeAll(socket, "HTTP/1.1 200 OK\r\nCyclamenspool-Response-Seal: s\r\nContent-Length: 100\r\n\r\nhalf") && false;
    case Behaviour::WithoutEnd:
        return writeAll(socket, "HTTP/1.1 200 OK\r\nX-Filler: " + std::string(300000, 'x')) && false;
    case Behaviour::Unframed:
        return respondUnframed(request, socket, false);
    case Behaviour::UnframedBroken:
        return respondUnframed(request, socket, true);
    case Behaviour::Fails:
        return writeAll(socket, harness::formatResponseWithDigest(request, "failed", "500 Internal Server Error"));
    default:
        return respondSound(request, socket);
    }
}

void SoakFleet::call(const std::string &id, Kind kind, std::size_t gateway, Promises &promises) const
{
    const char *paths[] = {"/once/x", "/again/x", "/resumed/x"};
    auto request = fleet.makeRequest(id, paths[static_cast<std::size_t>(kind)], gateway);
    Seen seen;
    seen.id = id;
    seen.kind = kind;
    seen.gateway = gateway;
    seen.sentAt = std::chrono::steady_clock::now();
    const auto response = sendRequest(request);
    seen.endedAt = std::chrono::steady_clock::now();
    seen.status = response.status;
    seen.isComplete = response.isComplete;
    seen.isOwn = response.status == 200 && response.body == bodyOf(id, kind);
    promises.record(std::move(seen));
}

void SoakFleet::callPoison(const std::string &id, std::size_t gateway) const
{
    auto request = fleet.makeRequest(id, "/resumed/x", gateway);
    request.headers.emplace_back("Cyclamenspool-Prompt-Prefix", "5a5a:100," + poisonPart + ":50,1:10");
    static_cast<void>(sendRequest(request));
}

std::map<std::string, int> SoakFleet::runs()
{
    std::map<std::string, int> all;
    for (auto &server : fleet.backendServers) {
        for (const auto &[id, count] : server->runCounts()) {
            all[id] += count;
        }
    }
    return all;
}

std::optional<bool> SoakFleet::acceptsKey(std::size_t gateway, const std::string &key) const
{
    auto request = fleet.makeRequest("key-probe", "/again/x", gateway);
    request.headers[3].second = "Bearer " + key;
    const auto status = sendRequest(request).status;
    return status == 200 ? std::optional(true) : (status == 401 ? std::optional(false) : std::nullopt);
}

void SoakFleet::publishKeys(const std::vector<std::string> &keys)
{
    auto all = keys;
    all.emplace_back("key-1");
    fleet.publishRouting(++version_, "pool", all);
}

void SoakFleet::listServer(std::size_t server, const std::string &state)
{
    const auto &backend = *fleet.backendServers[server];
    servers_[server]->listedState = state;
    fleet.store.put("servers/" + backend.id(), backend.listEntry("pool", state, serverProxies[server]->address()));
}

void SoakFleet::listServersAgain()
{
    for (std::size_t i = 0; i < servers_.size(); ++i) {
        listServer(i, std::string(servers_[i]->listedState));
    }
}

void SoakFleet::restart(std::size_t gateway)
{
    auto &each = fleet.gateways[gateway];
    static_cast<void>(each.process.wait(0ms));
    if (!each.process.isRunning()) {
        fleet.start(each);
    }
}

bool SoakFleet::recover()
{
    fleet.store.setStatus(200);
    for (auto &proxy : storeProxies) {
        proxy->setMode(harness::ProxyMode::Pass);
    }
    for (std::size_t i = 0; i < serverProxies.size(); ++i) {
        serverProxies[i]->setMode(harness::ProxyMode::Pass);
        servers_[i]->behaviour = Behaviour::Sound;
        listServer(i, "ready");
    }
    for (std::size_t i = 0; i < fleet.gateways.size(); ++i) {
        fleet.gateways[i].process.signal(SIGCONT);
        restart(i);
    }
    return harness::LocalFleet::waitUntil([this] {
        return std::all_of(fleet.gateways.begin(), fleet.gateways.end(), [](const GatewayFleet::Gateway &gateway) {
            return GatewayFleet::isReady(gateway);
        });
    });
}

} // namespace cyclamenspool::soak
