#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace cyclamenspool::config {

/** @brief Settings of a gateway process, which forwards requests directly to backend servers without agents; read from a YAML file. */
struct GatewaySettings {
    std::string vm;
    std::string zone;
    std::string callerAddress; /**< IP address and port that callers connect to. */
    std::string readyAddress; /**< IP address and port of the readiness endpoint for the load balancer. */
    std::string peerAddress; /**< IP address and port that other gateways connect to. */
    std::string metricsAddress; /**< IP address and port of the metrics and status pages; empty disables them. */
    std::string storeAddress; /**< IP address and port of the platform's store. */
    std::vector<std::string> seedPeers; /**< Peer addresses of other gateways contacted at start-up. */
    int workers = 1; /**< Number of worker threads. */
    int maxSockets = 1024; /**< Maximum number of sockets that the process may hold. */
    int memoryMb = 0; /**< Memory of the process in MB, above which it is killed; half of it is for bodies of requests. 0: the VM's memory. */
    double processorShare = 1.0; /**< Share of a CPU core that the process may use; 1.0 is one core. */
    std::chrono::duration<double> gracePeriod{8.0}; /**< Time from SIGTERM to SIGKILL. */
    std::chrono::milliseconds maxLeaveDelay{2000}; /**< Maximum time until a leaving backend server gets no new requests. */
    std::chrono::milliseconds maxConfigurationDelay{2000}; /**< Maximum time until a change of the routing configuration takes effect. */
    double retryRatio = 0.2; /**< Allowed retries per request of a service, over all gateways. */
    double retrySlack = 50; /**< Retries per window allowed in addition to the ratio, over all gateways. */
    std::chrono::duration<double> retryWindow{10.0}; /**< Sliding window in which requests and retries are counted. */
    double coldFactor = 1.5; /**< Request rate limit during a cold start, as a multiple of world::ServiceSettings::coldRequestsPerSecond. */
    double coldSlack = 5; /**< Requests per second allowed in addition to that multiple; the limit holds over all gateways. */
    int maxLogLinesPerSecond = 200; /**< Maximum log lines per second of one event; 0 writes none. */
    double loadFactor = 2.0; /**< Load limit of a backend server as a multiple of the mean load of its service. */

    [[nodiscard]] bool operator==(const GatewaySettings &) const = default;

    /** @brief Returns whether all addresses are equal, except those of seed peers; a running process cannot change them. */
    [[nodiscard]] bool hasSameAddresses(const GatewaySettings &other) const;

    /**
     * @brief Parses and validates gateway settings.
     * @param text YAML text.
     * @param file File name that error messages refer to.
     * @return Settings, with defaults for missing optional keys.
     * @throws InvalidInput Contains every error with its line and column.
     */
    [[nodiscard]] static GatewaySettings parse(const std::string &text, const std::string &file);
};

} // namespace cyclamenspool::config
