#pragma once

#include "httpcall.h"
#include "platformfakes.h"
#include "process.h"

#include <memory>
#include <string>
#include <vector>

namespace cyclamenspool::harness {

/** @brief Gateways as processes before a fake store and fake backend servers of one service. */
class GatewayFleet
{
public:
    /** @brief A gateway process and its addresses. */
    struct Gateway {
        std::string caller;
        std::string ready;
        std::string peer;
        std::string metrics;
        std::string settingsFile;
        std::string logFile;
        Process process;
    };

    /** @brief Starts a fleet and waits until it is ready. @param gateways Gateways. @param runners Backend servers. */
    GatewayFleet(int gateways, int runners);
    ~GatewayFleet();
    GatewayFleet(const GatewayFleet &) = delete;
    GatewayFleet &operator=(const GatewayFleet &) = delete;

    /** @brief Starts a gateway. @param gateway Gateway. */
    void start(Gateway &gateway);

    /** @brief Publishes the routing. @param version Version. @param service Service that the routes lead to. @param keys API keys of the workspace "desk". */
    void publishRouting(int version, const std::string &service = "pool", const std::vector<std::string> &keys = {"key-1"});

    /** @brief Makes a call. @param id Request. @param path Path. @param gateway Gateway. @return Call with the fleet's host and key. */
    [[nodiscard]] Call call(const std::string &id, const std::string &path = "/once/x", std::size_t gateway = 0) const;

    /** @brief Tells whether a gateway says that it is ready. @param gateway Gateway. @return True if so. */
    [[nodiscard]] static bool isReady(const Gateway &gateway);

    /** @brief Reads a gateway's log. @param gateway Gateway. @return Text. */
    [[nodiscard]] static std::string logOf(const Gateway &gateway);

    /** @brief Reads a gateway's settings. @param gateway Gateway. @return YAML text. */
    [[nodiscard]] static std::string readSettings(const Gateway &gateway);

    /** @brief Replaces a gateway's settings. @param gateway Gateway. @param text YAML text. */
    static void writeSettings(const Gateway &gateway, const std::string &text);

    FakeStore store;
    std::vector<std::unique_ptr<FakeRunner>> runners;
    std::vector<Gateway> gateways;

private:
    std::string directory_;
};

} // namespace cyclamenspool::harness
