#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace cyclamenspool::config {

/** @brief Settings of a gateway process. */
struct GatewaySettings {
    std::string vm;
    std::string zone;
    std::string callerAddress; /**< IP number and port that callers connect to. */
    std::string readyAddress; /**< Asked by the balancer. */
    std::string peerAddress; /**< For the other gateways. */
    std::string metricsAddress; /**< Empty: no metrics page. */
    std::string storeAddress; /**< The platform's store. */
    std::vector<std::string> seedPeers;
    int workers = 1;
    int descriptors = 1024; /**< Sockets that the process may hold. */
    double processorShare = 1.0; /**< Part of a core. */
    std::chrono::duration<double> grace{8.0}; /**< From SIGTERM to SIGKILL. */
    std::chrono::milliseconds leaveTime{2000}; /**< A leaving backend server gets nothing new after this. */
    double retryRatio = 0.2; /**< Repeats for each request of a service, over all gateways. */
    double retrySlack = 50; /**< Repeats in a window beside the ratio, over all gateways. */
    std::chrono::duration<double> retryWindow{10.0};
    double coldFactor = 1.5; /**< On what a cold backend server bears in a second, over all gateways. */
    double coldSlack = 5; /**< Requests in a second beside the factor. */
    int logLines = 200; /**< Lines of one event that are written in a second; 0: none. */
    double loadFactor = 2.0; /**< Largest multiple of the mean load of a service. */

    [[nodiscard]] bool operator==(const GatewaySettings &) const = default;

    /** @brief Compares what a running process cannot change. @param other Settings. @return True if it is equal. */
    [[nodiscard]] bool hasSameAddresses(const GatewaySettings &other) const;

    /**
     * @brief Reads settings.
     * @param text YAML text.
     * @param file Name for the errors.
     * @return Settings.
     * @throws InvalidInput With every error and its place.
     */
    [[nodiscard]] static GatewaySettings parse(const std::string &text, const std::string &file);
};

} // namespace cyclamenspool::config
