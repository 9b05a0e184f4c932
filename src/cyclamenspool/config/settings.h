#pragma once

#include <cyclamenspool/config/fieldreader.h>

#include <chrono>
#include <string>
#include <vector>

namespace cyclamenspool::config {

/**
 * @brief Settings of a router or agent process, read from a YAML file.
 *
 * A router forwards requests to agents, and an agent passes them to its backend server.
 */
struct Settings {
    std::string vm; /**< Name of the VM in the platform's VM list. */
    std::string zone; /**< Availability zone. */
    std::string peerAddress; /**< IP address and port that routers and agents connect to. */
    std::string httpAddress; /**< IP address and port for callers and operators; at an agent for operators only. */
    std::string configurationService; /**< IP address and port of the configuration service. */
    std::string vmList; /**< IP address and port of the VM list. */
    std::string server; /**< Agent only: name of its backend server. */
    std::string group; /**< Agent only: backend server group. */
    std::string backendAddress; /**< Agent only: IP address and port of the backend server. */
    std::vector<std::string> documents{"table"}; /**< Names of the documents at the configuration service that make up the Table. */
    std::vector<std::string> seedPeers; /**< Peer addresses contacted at start-up while the VM list is not known. */
    std::string logFile = "-"; /**< "-" writes to standard output. */
    int workers = 2; /**< Number of worker threads. */
    int maxBodyBytes = 4 * 1024 * 1024;
    int maxHeaderBytes = 16 * 1024;
    int maxOpenRequests = 10000;
    std::chrono::milliseconds callerTimeout{10000}; /**< Maximum time to read one request, and for each write of a response. */
    std::chrono::milliseconds defaultDeadline{60000}; /**< Deadline of a request that sets none; also the maximum that a request can set. */
    std::chrono::milliseconds unreadyPeriod{500}; /**< Time between reporting "not ready" and refusing new requests at shutdown. */
    std::chrono::milliseconds shutdownLimit{30000}; /**< Maximum time to wait for open requests after the unready period. */
    std::chrono::milliseconds exchangePeriod{250}; /**< Agent only: mean interval between exchanges of load with other agents. */
    std::chrono::milliseconds antiEntropyPeriod{1000}; /**< Interval at which documents are pulled from a random peer. */
    std::chrono::milliseconds maxStartDelay{0}; /**< Maximum random delay before a starting process queries the services, if no peer supplies the documents. */
    std::chrono::milliseconds viewLease{3000}; /**< Maximum time that a process can be suspended without reloading its view. */
    std::chrono::milliseconds takeOverDelay{30000}; /**< Agent only: maximum wait for the records of a former key home that is missing from the VM list. */
    double weightStoreLoadsPerSecond = 10.0; /**< Loads of model weights per second that the weight store has capacity for. */
    std::chrono::milliseconds maxClockSkew{500}; /**< Maximum difference between the wall clocks of two processes. */

    /**
     * @brief Parses and validates settings.
     * @param text YAML text.
     * @param file File name that error messages refer to.
     * @return Settings, with defaults for missing optional keys.
     * @throws InvalidInput Contains every error with its line and column.
     */
    [[nodiscard]] static Settings parse(const std::string &text, const std::string &file);
};

/**
 * @brief Adds an error if an address is malformed; an empty address is allowed.
 * @param root YAML mapping that contains the address.
 * @param key Key of the address in the mapping.
 * @param address IP address and port.
 * @param diagnostics Receives the error.
 */
void checkAddress(const YAML::Node &root, const char *key, const std::string &address, Diagnostics &diagnostics);

/**
 * @brief Adds an error for each malformed address of a list.
 * @param root YAML mapping that contains the list.
 * @param key Key of the list in the mapping.
 * @param addresses IP addresses and ports.
 * @param diagnostics Receives the errors.
 */
void checkAddresses(const YAML::Node &root, const char *key, const std::vector<std::string> &addresses, Diagnostics &diagnostics);

/**
 * @brief Splits an address at its last colon.
 * @param address IP address and port, separated by a colon.
 * @return IP address (brackets are kept) and port.
 * @throws std::invalid_argument The IP address or the port is missing or malformed.
 */
[[nodiscard]] std::pair<std::string, unsigned short> splitAddress(const std::string &address);

} // namespace cyclamenspool::config
