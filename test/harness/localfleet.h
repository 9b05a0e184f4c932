#pragma once

#include "httpcall.h"
#include "process.h"

#include <map>
#include <string>
#include <vector>

namespace cyclamenspool::harness {

/** @brief Shape of a fleet on loopback. */
struct FleetShape {
    int routers = 2;
    std::vector<std::string> zones{"az-a", "az-b"};
    int enginesPerZone = 2;
    int services = 1; /**< Backend servers of the plain service, spread over the zones. */
    std::string poolRow = "load_bound: 1.25, max_tokens: 100000, cold_tokens: 20000, warm_up_ms: 200"; /**< Fields of the model pool. */
    std::string workspaceRows; /**< Rows added to the workspaces. */
    std::map<std::string, std::string> settings; /**< Settings of every process, over the defaults. */
    std::vector<std::string> engineArguments; /**< Arguments of every engine. */
    bool modelLoaded = true;
};

/** @brief A backend server with its agent. */
struct AgentProcess {
    std::string vm;
    std::string server;
    std::string zone;
    std::string group;
    std::string peerAddress;
    std::string httpAddress;
    std::string backendAddress;
    std::string settingsFile;
    Process backend;
    Process agent;
};

/** @brief A router. */
struct RouterProcess {
    std::string vm;
    std::string zone;
    std::string peerAddress;
    std::string httpAddress;
    std::string settingsFile;
    Process router;
};

/** @brief The whole system with its stand-ins as processes on loopback; everything is stopped when the object ends. */
class LocalFleet
{
public:
    /** @brief Starts a fleet and waits until it is ready. @param shape Shape. */
    explicit LocalFleet(FleetShape shape);

    ~LocalFleet();
    LocalFleet(const LocalFleet &) = delete;
    LocalFleet &operator=(const LocalFleet &) = delete;

    /** @brief Publishes the table with operators' marks. @param leavingRows Rows of the section "leaving". */
    void publishTable(const std::string &leavingRows = "");

    /** @brief Publishes the list of VMs. @param leaving VMs listed as leaving. @param missing VMs left out. */
    void publishVms(const std::vector<std::string> &leaving = {}, const std::vector<std::string> &missing = {});

    /** @brief Publishes text as a document. @param name Document. @param text Text. */
    void publish(const std::string &name, const std::string &text);

    /** @brief Sets the mode of the platform's services. @param mode "up", "down" or "stale". */
    void setPlatform(const std::string &mode);

    /** @brief Starts an agent again. @param agent Agent. */
    void startAgent(AgentProcess &agent);

    /** @brief Starts a backend server again. @param agent Its agent. */
    void startBackend(AgentProcess &agent);

    /** @brief Starts a router again. @param router Router. */
    void startRouter(RouterProcess &router);

    /** @brief Waits until a process is ready. @param address Operator address. @return True if it is within 10 s. */
    [[nodiscard]] static bool awaitReady(const std::string &address);

    /** @brief Waits until a condition holds. @param condition Condition. @param limit Longest wait. @return True if it held. */
    [[nodiscard]] static bool await(const std::function<bool()> &condition, std::chrono::milliseconds limit = std::chrono::seconds(10));

    /** @brief Makes a chat request. @param router Router. @param chat Chat. @param text Text of the message. @param tokens Tokens wanted. @param stream True
     * for server-sent events. @return Call. */
    [[nodiscard]] Call chat(std::size_t router, const std::string &chat, const std::string &text, int tokens, bool stream = false) const;

    /** @brief Makes a booking. @param router Router. @param key Idempotency key; empty: none. @param body Body. @return Call. */
    [[nodiscard]] Call booking(std::size_t router, const std::string &key, const std::string &body) const;

    /** @brief Calls a stand-in's test control. @param address Address. @param target Target. @return Body. */
    static std::string control(const std::string &address, const std::string &target);

    /** @brief Returns a number of a JSON page. @param address Address. @param target Target. @param name Name. @return Number; -1 if it is missing. */
    [[nodiscard]] static long number(const std::string &address, const std::string &target, const std::string &name);

    /** @brief Returns a metric. @param address Operator address. @param name Name with labels. @return Value; -1 if it is missing. */
    [[nodiscard]] static double metric(const std::string &address, const std::string &name);

    /** @brief Stops the system's processes with SIGTERM. @return True if all ended in order. */
    bool stopInOrder();

    std::vector<RouterProcess> routers;
    std::vector<AgentProcess> engines;
    std::vector<AgentProcess> services;
    std::string configurationService;
    std::string vmList;

private:
    [[nodiscard]] std::string writeSettings(const std::string &vm, const std::map<std::string, std::string> &values);
    [[nodiscard]] std::string logOf(const std::string &vm) const;
    void startPlatform();
    void addAgent(std::vector<AgentProcess> &agents, const std::string &kind, int index, const std::string &zone);
    void addRouter(int index);

    FleetShape shape_;
    std::string directory_;
    Process configuration_;
    Process list_;
    std::map<std::string, int> revisions_;
};

} // namespace cyclamenspool::harness
