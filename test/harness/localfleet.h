#pragma once

#include "httprequest.h"
#include "process.h"

#include <map>
#include <string>
#include <vector>

namespace cyclamenspool::harness {

/** @brief Size, settings and configuration of a fleet on loopback. */
struct FleetShape {
    int routerCount = 2;
    std::vector<std::string> zones{"az-a", "az-b"};
    int enginesPerZone = 2;
    int serviceCount = 1; /**< Backend servers of the plain service "bookings", a pool without a model; distributed over the zones in turn. */
    std::string poolFields = "load_bound: 1.25, max_tokens: 100000, cold_tokens: 20000, warm_up_ms: 200"; /**< YAML fields of the model pool. */
    std::string workspaceRows; /**< YAML rows added to the workspaces. */
    std::map<std::string, std::string> settings; /**< Settings of every process, by name; they override the defaults. */
    std::vector<std::string> engineArguments; /**< Command-line arguments of every engine. */
    bool isModelLoaded = true; /**< True if engines start with the model loaded. */
};

/** @brief Processes of a backend server and its agent, with their addresses. */
struct AgentProcess {
    std::string vm;
    std::string server;
    std::string zone;
    std::string group; /**< Backend server group in the operators' table. */
    std::string peerAddress; /**< Address that routers and agents connect to. */
    std::string httpAddress;
    std::string backendAddress;
    std::string settingsFile;
    Process backendProcess;
    Process agentProcess;
};

/** @brief A router process with its addresses. */
struct RouterProcess {
    std::string vm;
    std::string zone;
    std::string peerAddress; /**< Address that routers and agents connect to. */
    std::string httpAddress;
    std::string settingsFile;
    Process process;
};

/** @brief Routers, agents, backend servers and platform stand-ins as processes on loopback; all are killed on destruction. */
class LocalFleet
{
public:
    /** @brief Starts the processes and waits until all are ready. @throws std::runtime_error If a process is not ready within 10 s. */
    explicit LocalFleet(FleetShape shape);

    ~LocalFleet();
    LocalFleet(const LocalFleet &) = delete;
    LocalFleet &operator=(const LocalFleet &) = delete;

    /** @brief Publishes the operators' table. @param leavingRows YAML rows of the section "leaving". */
    void publishTable(const std::string &leavingRows = "");

    /** @brief Publishes the list of VMs. @param leaving VMs listed in the state "leaving". @param missing VMs not listed. */
    void publishVms(const std::vector<std::string> &leaving = {}, const std::vector<std::string> &missing = {});

    /** @brief Publishes a document under its next revision. @param name "table" or "vms". @param text YAML.
     * @throws std::runtime_error If the stand-in rejects it. */
    void publish(const std::string &name, const std::string &text);

    /** @brief Sets the mode of both platform stand-ins. @param mode "up", "down" (answers 503) or "stale" (serves the previous revision). */
    void setPlatformMode(const std::string &mode);

    /** @brief Starts an agent's process; kills the one that still runs. */
    void startAgent(AgentProcess &agent);

    /** @brief Starts a backend server's process; kills the one that still runs. */
    void startBackend(AgentProcess &agent);

    /** @brief Starts a router's process; kills the one that still runs. */
    void startRouter(RouterProcess &router);

    /** @brief Waits until a process is ready. @param address HTTP address of the process. @return False if it is not ready within 10 s. */
    [[nodiscard]] static bool waitUntilReady(const std::string &address);

    /** @brief Polls a condition every 10 ms. @return True as soon as it holds; false after the timeout. */
    [[nodiscard]] static bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds timeout = std::chrono::seconds(10));

    /** @brief Returns a chat request; the header at index 0 is X-Workspace. @param router Index of the router. @param chat Chat id. @param text Text of the
     * message. @param tokens Most tokens to generate. @param stream True to get the response as server-sent events. */
    [[nodiscard]] HttpRequest makeChatRequest(std::size_t router, const std::string &chat, const std::string &text, int tokens, bool stream = false) const;

    /** @brief Returns a non-idempotent request to the plain service. @param router Index of the router. @param key Idempotency key; empty: none. @param body
     * JSON. */
    [[nodiscard]] HttpRequest makeBookingRequest(std::size_t router, const std::string &key, const std::string &body) const;

    /** @brief Sends a GET request to a stand-in's test interface. @return Body of the response. */
    static std::string callTestControl(const std::string &address, const std::string &target);

    /** @brief Returns a number from a JSON response. @param name Field of the JSON object. @return Number; -1 if the status is not 200 or the field is missing
     * or not a number. */
    [[nodiscard]] static long jsonNumber(const std::string &address, const std::string &target, const std::string &name);

    /** @brief Returns the value of a metric. @param address HTTP address of the process. @param name Name with labels. @return Value; -1 if it is missing. */
    [[nodiscard]] static double metric(const std::string &address, const std::string &name);

    /** @brief Stops the routers, then the agents and backend servers with SIGTERM. @return True if all routers and agents exit with code 0 within 20 s each. */
    bool stopGracefully();

    std::vector<RouterProcess> routers;
    std::vector<AgentProcess> engines;
    std::vector<AgentProcess> services;
    std::string configurationServiceAddress; /**< Address of the stand-in that serves the table. */
    std::string vmListAddress; /**< Address of the stand-in that serves the list of VMs. */

private:
    [[nodiscard]] std::string writeSettings(const std::string &vm, const std::map<std::string, std::string> &values);
    [[nodiscard]] std::string logFileOf(const std::string &vm) const;
    void startPlatformServices();
    void addAgent(std::vector<AgentProcess> &agents, const std::string &kind, int index, const std::string &zone);
    void addRouter(int index);

    FleetShape shape_;
    std::string directory_;
    Process configurationProcess_;
    Process vmListProcess_;
    std::map<std::string, int> revisions_;
};

} // namespace cyclamenspool::harness
