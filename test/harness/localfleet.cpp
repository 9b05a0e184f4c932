#include "localfleet.h"

#include "ports.h"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace cyclamenspool::harness {

namespace fs = std::filesystem;

namespace {

constexpr std::chrono::milliseconds pollPeriod{10};
constexpr std::chrono::seconds stopTimeout{20};

std::string programPath(const char *name)
{
    return std::string(CYCLAMENSPOOL_BINARY_DIR) + "/" + name;
}

} // namespace

LocalFleet::LocalFleet(FleetShape shape)
    : shape_(std::move(shape))
{
    std::string pattern = (fs::temp_directory_path() / "cyclamenspool-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary directory");
    }
    directory_ = pattern;
    startPlatformServices();
    for (int i = 0; i < shape_.routerCount; ++i) {
        addRouter(i);
    }
    const auto zones = static_cast<int>(shape_.zones.size());
    for (int i = 0; i < shape_.enginesPerZone * zones; ++i) {
        addAgent(engines, "engine", i, shape_.zones[static_cast<std::size_t>(i % zones)]);
    }
    for (int i = 0; i < shape_.serviceCount; ++i) {
        addAgent(services, "booking", i, shape_.zones[static_cast<std::size_t>(i % zones)]);
    }
    publishTable();
    publishVms();
    for (auto &agent : engines) {
        startBackend(agent);
        startAgent(agent);
    }
    for (auto &agent : services) {
        startBackend(agent);
        startAgent(agent);
    }
    for (auto &router : routers) {
        startRouter(router);
    }
    bool ready = true;
    for (const auto &router : routers) {
        ready = waitUntilReady(router.httpAddress) && ready;
    }
    // An agent begins a cold start when it reads the first state of its backend server.
    const auto isServing = [this](const AgentProcess &agent) {
        const auto coldStarts = jsonNumber(agent.httpAddress, "/status", "cold_starts");
        return waitUntilReady(agent.httpAddress) && waitUntil([&] {
                   return coldStarts > 0 || jsonNumber(agent.httpAddress, "/status", "cold_starts") > 0;
               });
    };
    ready = std::all_of(engines.begin(), engines.end(), isServing) && ready;
    ready = std::all_of(services.begin(), services.end(), isServing) && ready;
    if (!ready) {
        throw std::runtime_error("a process of the fleet did not become ready in time, logs in " + directory_);
    }
}

LocalFleet::~LocalFleet()
{
    for (auto &router : routers) {
        router.process.kill();
    }
    for (auto *agents : {&engines, &services}) {
        for (auto &agent : *agents) {
            agent.agentProcess.kill();
            agent.backendProcess.kill();
        }
    }
    configurationProcess_.kill();
    vmListProcess_.kill();
    if (std::getenv("CYCLAMENSPOOL_KEEP_LOGS") == nullptr) {
        std::error_code ignored;
        fs::remove_all(directory_, ignored);
    }
}

std::string LocalFleet::logFileOf(const std::string &vm) const
{
    return directory_ + "/" + vm + ".log";
}

std::string LocalFleet::writeSettings(const std::string &vm, const std::map<std::string, std::string> &values)
{
    const auto file = directory_ + "/" + vm + ".yaml";
    std::ofstream out(file);
    out << "vm: " << vm << "\nconfiguration_service: " << configurationServiceAddress << "\nvm_list: " << vmListAddress << "\n";
    for (const auto &[name, value] : values) {
        out << name << ": " << value << "\n";
    }
    std::string seedPeers;
    for (const auto &router : routers) {
        seedPeers += (seedPeers.empty() ? "'" : ", '") + router.peerAddress + "'";
    }
    out << "seed_peers: [" << seedPeers << "]\n";
    for (const auto &[name, value] : shape_.settings) {
        out << name << ": " << value << "\n";
    }
    return file;
}

void LocalFleet::startPlatformServices()
{
    configurationServiceAddress = findFreeAddress();
    configurationProcess_ = Process(programPath("test/standin_platform"), {"--listen", configurationServiceAddress}, logFileOf("configuration"));
    vmListAddress = findFreeAddress();
    vmListProcess_ = Process(programPath("test/standin_platform"), {"--listen", vmListAddress}, logFileOf("vms"));
    for (const auto &address : {configurationServiceAddress, vmListAddress}) {
        const bool isUp = waitUntil([&address] {
            return sendRequest({address, "GET", "/test/counts"}).status == 200;
        });
        if (!isUp) {
            throw std::runtime_error("a stand-in of the platform did not answer in time");
        }
    }
}

void LocalFleet::addRouter(int index)
{
    RouterProcess router;
    router.vm = "vm-router-" + std::to_string(index);
    router.zone = shape_.zones[static_cast<std::size_t>(index) % shape_.zones.size()];
    router.peerAddress = findFreeAddress();
    router.httpAddress = findFreeAddress();
    router.settingsFile = writeSettings(router.vm, {{"zone", router.zone}, {"peer_address", router.peerAddress}, {"http_address", router.httpAddress}});
    routers.push_back(std::move(router));
}

void LocalFleet::addAgent(std::vector<AgentProcess> &agents, const std::string &kind, int index, const std::string &zone)
{
    AgentProcess agent;
    agent.server = kind + "-" + std::to_string(index);
    agent.vm = "vm-" + agent.server;
    agent.zone = zone;
    agent.group = kind + "s-" + zone;
    agent.peerAddress = findFreeAddress();
    agent.httpAddress = findFreeAddress();
    agent.backendAddress = findFreeAddress();
    agent.settingsFile = writeSettings(agent.vm,
                                       {{"zone", zone},
                                        {"peer_address", agent.peerAddress},
                                        {"http_address", agent.httpAddress},
                                        {"server", agent.server},
                                        {"group", agent.group},
                                        {"backend_address", agent.backendAddress}});
    agents.push_back(std::move(agent));
}

void LocalFleet::publish(const std::string &name, const std::string &text)
{
    const auto &address = name == "vms" ? vmListAddress : configurationServiceAddress;
    const auto revision = std::to_string(++revisions_[name]);
    const auto response = sendRequest({address, "PUT", "/v1/values/" + name + "?revision=" + revision, {}, text});
    if (response.status != 200) {
        throw std::runtime_error("cannot publish " + name);
    }
}

void LocalFleet::publishTable(const std::string &leavingRows)
{
    std::string text = "workspaces:\n  - {name: desk}\n  - {name: bench}\n" + shape_.workspaceRows;
    text += "pools:\n  - {name: notes, kind: model, model: lamp, " + shape_.poolFields + "}\n";
    text += "  - {name: bookings, kind: service, non_idempotent: [POST], max_tokens: 1000, cold_tokens: 1000}\n";
    text += "groups:\n";
    for (const auto &zone : shape_.zones) {
        text += "  - {name: engines-" + zone + ", pool: notes, zone: " + zone + "}\n";
        std::string servers;
        for (const auto &agent : services) {
            servers += agent.zone == zone ? (servers.empty() ? "" : ", ") + agent.server : "";
        }
        text += "  - {name: bookings-" + zone + ", pool: bookings, zone: " + zone + ", servers: [" + servers + "]}\n";
    }
    if (!leavingRows.empty()) {
        text += "leaving:\n" + leavingRows;
    }
    publish("table", text);
}

void LocalFleet::publishVms(const std::vector<std::string> &leaving, const std::vector<std::string> &missing)
{
    const auto contains = [](const std::vector<std::string> &names, const std::string &name) {
        return std::find(names.begin(), names.end(), name) != names.end();
    };
    std::string text = "vms:\n";
    const auto add = [&](const std::string &vm, const std::string &zone, const std::string &rest) {
        if (!contains(missing, vm)) {
            text += "  - {name: " + vm + ", zone: " + zone + ", " + rest + ", state: " + (contains(leaving, vm) ? "leaving" : "live") + "}\n";
        }
    };
    for (const auto &router : routers) {
        add(router.vm, router.zone, "role: router, address: '" + router.peerAddress + "'");
    }
    for (const auto *agents : {&engines, &services}) {
        for (const auto &agent : *agents) {
            add(agent.vm, agent.zone, "role: agent, address: '" + agent.peerAddress + "', group: " + agent.group + ", server: " + agent.server);
        }
    }
    publish("vms", text);
}

void LocalFleet::setPlatformMode(const std::string &mode)
{
    callTestControl(configurationServiceAddress, "/test/mode?is=" + mode);
    callTestControl(vmListAddress, "/test/mode?is=" + mode);
}

void LocalFleet::startBackend(AgentProcess &agent)
{
    const bool isEngine = agent.server.rfind("engine", 0) == 0;
    std::vector<std::string> arguments{"--listen", agent.backendAddress};
    if (isEngine) {
        arguments.insert(arguments.end(), shape_.engineArguments.begin(), shape_.engineArguments.end());
        if (shape_.isModelLoaded) {
            arguments.insert(arguments.end(), {"--model", "lamp"});
        }
    }
    agent.backendProcess = Process(programPath(isEngine ? "test/standin_engine" : "test/standin_service"), arguments, logFileOf(agent.server));
}

void LocalFleet::startAgent(AgentProcess &agent)
{
    agent.agentProcess = Process(programPath("cyclamenspool"), {"agent", "--settings", agent.settingsFile}, logFileOf(agent.vm));
}

void LocalFleet::startRouter(RouterProcess &router)
{
    router.process = Process(programPath("cyclamenspool"), {"router", "--settings", router.settingsFile}, logFileOf(router.vm));
}

bool LocalFleet::waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(pollPeriod);
    }
    return true;
}

bool LocalFleet::waitUntilReady(const std::string &address)
{
    return waitUntil([&address] {
        return sendRequest({address, "GET", "/readyz"}).status == 200;
    });
}

HttpRequest LocalFleet::makeChatRequest(std::size_t router, const std::string &chat, const std::string &text, int tokens, bool stream) const
{
    HttpRequest request{routers[router].httpAddress, "POST", "/v1/chat/completions"};
    request.headers = {{"X-Workspace", "desk"}, {"X-Chat-Id", chat}, {"Content-Type", "application/json"}};
    request.body = R"({"model":"lamp","stream":)" + std::string(stream ? "true" : "false") + R"(,"max_tokens":)" + std::to_string(tokens)
        + R"(,"messages":[{"role":"user","content":")" + text + R"("}]})";
    return request;
}

HttpRequest LocalFleet::makeBookingRequest(std::size_t router, const std::string &key, const std::string &body) const
{
    HttpRequest request{routers[router].httpAddress, "POST", "/v1/services/bookings/slots"};
    request.headers = {{"X-Workspace", "desk"}, {"Content-Type", "application/json"}};
    if (!key.empty()) {
        request.headers.emplace_back("Idempotency-Key", key);
    }
    request.body = body;
    return request;
}

std::string LocalFleet::callTestControl(const std::string &address, const std::string &target)
{
    return sendRequest({address, "GET", target}).body;
}

long LocalFleet::jsonNumber(const std::string &address, const std::string &target, const std::string &name)
{
    const auto response = sendRequest({address, "GET", target});
    if (response.status != 200) {
        return -1;
    }
    const auto object = boost::json::parse(response.body).as_object();
    const auto *value = object.if_contains(name);
    return value == nullptr || !value->is_number() ? -1 : value->to_number<long>();
}

double LocalFleet::metric(const std::string &address, const std::string &name)
{
    const auto metrics = "\n" + sendRequest({address, "GET", "/metrics"}).body;
    const auto position = metrics.find("\n" + name + " ");
    return position == std::string::npos ? -1.0 : std::stod(metrics.substr(position + name.size() + 2));
}

bool LocalFleet::stopGracefully()
{
    bool allExitedCleanly = true;
    const auto waitForExit = [&allExitedCleanly](Process &process) {
        if (process.isRunning()) {
            allExitedCleanly = process.wait(stopTimeout) == 0 && allExitedCleanly;
        }
    };
    for (auto &router : routers) {
        router.process.signal(SIGTERM);
    }
    for (auto &router : routers) {
        waitForExit(router.process);
    }
    for (auto *agents : {&engines, &services}) {
        for (auto &agent : *agents) {
            agent.agentProcess.signal(SIGTERM);
        }
    }
    for (auto *agents : {&engines, &services}) {
        for (auto &agent : *agents) {
            waitForExit(agent.agentProcess);
            agent.backendProcess.signal(SIGTERM);
            agent.backendProcess.wait(stopTimeout);
        }
    }
    return allExitedCleanly;
}

} // namespace cyclamenspool::harness
