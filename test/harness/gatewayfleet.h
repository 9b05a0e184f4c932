#pragma once

#include "httprequest.h"
#include "platformfakes.h"
#include "process.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenspool::harness {

/** @brief Gateway processes in front of a fake store and fake backend servers of one service; all are stopped on destruction. */
class GatewayFleet
{
public:
    /** @brief A gateway process with its addresses and files. */
    struct Gateway {
        std::string callerAddress;
        std::string readyAddress;
        std::string peerAddress;
        std::string metricsAddress;
        std::string settingsFile;
        std::string logFile;
        Process process;
    };

    /**
     * @brief Starts the processes and waits until every gateway is ready.
     * @param gatewayCount Number of gateways.
     * @param backendServerCount Number of backend servers.
     * @param zoneCount Number of availability zones, az-a, az-b and so on, among which the gateways are distributed in turn.
     * @throws std::runtime_error If a gateway is not ready within 10 s.
     */
    GatewayFleet(int gatewayCount, int backendServerCount, int zoneCount = 1);
    ~GatewayFleet();
    GatewayFleet(const GatewayFleet &) = delete;
    GatewayFleet &operator=(const GatewayFleet &) = delete;

    /** @brief Starts a gateway's process with its present settings file; kills the one that still runs. */
    void start(Gateway &gateway);

    /** @brief Restarts one gateway with another address of the store. @param index Index of the gateway. @param address IP address and port. @throws
     * std::runtime_error If it is not ready within 10 s. */
    void useStoreAddress(std::size_t index, const std::string &address);

    /** @brief As useStoreAddress() with the store's second address. */
    void useSecondStoreAddress(std::size_t index);

    /** @brief As useSecondStoreAddress(); the store then answers 503 there. @param index Index of the gateway. */
    void turnAway(std::size_t index);

    /** @brief Writes the routing configuration to the store. @param version Version. @param service Target of all routes. @param keys API keys of the workspace
     * "desk". @param idleTimeout Limit of a caller's pauses. */
    void publishRouting(int version,
                        const std::string &service = "pool",
                        const std::vector<std::string> &keys = {"key-1"},
                        std::chrono::milliseconds idleTimeout = std::chrono::milliseconds(5000));

    /** @brief Returns a POST request with the host and the API key of the workspace "desk"; the header at index 3 is Authorization. @param id Request id.
     * @param path Path; its first segment selects the route. @param gateway Index of the gateway. */
    [[nodiscard]] HttpRequest makeRequest(const std::string &id, const std::string &path = "/once/x", std::size_t gateway = 0) const;

    /** @brief Returns whether a gateway answers its readiness check with 200. */
    [[nodiscard]] static bool isReady(const Gateway &gateway);

    /** @brief Returns the text that a gateway has logged so far. */
    [[nodiscard]] static std::string readLog(const Gateway &gateway);

    /** @brief Returns the routing versions that came into force at a gateway and when, in order, as it has logged them. */
    [[nodiscard]] static std::vector<std::pair<int, std::chrono::system_clock::time_point>> routingTimes(const Gateway &gateway);

    /** @brief Returns a gateway's settings file as YAML. */
    [[nodiscard]] static std::string readSettings(const Gateway &gateway);

    /** @brief Replaces a gateway's settings file. @param text YAML. */
    static void writeSettings(const Gateway &gateway, const std::string &text);

    /** @brief Changes the grace period of a running gateway, which is 6 s at the start, and waits until it is in force. @param period New value. @throws
     * std::runtime_error If it is not in force within 10 s. */
    static void setGracePeriod(Gateway &gateway, std::chrono::milliseconds period);

    int idleRouteCount = 0; /**< Routes without requests in each configuration that publishRouting() writes, 270 bytes each. */
    std::uint64_t maxBodyBytes = 100000; /**< Limit of a request's body in each configuration that publishRouting() writes. */
    FakeStore store;
    std::vector<std::unique_ptr<FakeBackendServer>> backendServers;
    std::vector<Gateway> gateways;

private:
    void waitUntilReady(const Gateway &gateway) const;

    std::string directory_;
};

} // namespace cyclamenspool::harness
