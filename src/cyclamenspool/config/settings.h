#pragma once

#include <cyclamenspool/config/fieldreader.h>

#include <chrono>
#include <string>
#include <vector>

namespace cyclamenspool::config {

/** @brief Settings of one process. */
struct Settings {
    std::string vm; /**< Name of the VM in the platform's list. */
    std::string zone; /**< Availability zone. */
    std::string peerAddress; /**< IP number and port that the system's own processes connect to. */
    std::string httpAddress; /**< Router: callers and operators. Agent: operators. */
    std::string configurationService; /**< IP number and port of the configuration service. */
    std::string vmList; /**< IP number and port of the VM list. */
    std::string server; /**< Agent: name of the backend server. */
    std::string group; /**< Agent: backend server group. */
    std::string backendAddress; /**< Agent: IP number and port of the backend server. */
    std::vector<std::string> documents{"table"}; /**< Names of the table's values at the configuration service. */
    std::vector<std::string> seedPeers; /**< Peers asked at the start while the list of VMs is not known. */
    std::string logFile = "-"; /**< "-": standard output. */
    int workers = 2;
    int maxBodyBytes = 4 * 1024 * 1024;
    int maxHeaderBytes = 16 * 1024;
    int maxOpenRequests = 10000;
    std::chrono::milliseconds callerTimeout{10000};
    std::chrono::milliseconds defaultDeadline{60000};
    std::chrono::milliseconds unreadyPeriod{500}; /**< Between "not ready" and the first refusal of a shutdown. */
    std::chrono::milliseconds shutdownLimit{30000};
    std::chrono::milliseconds exchangePeriod{250};
    std::chrono::milliseconds antiEntropyPeriod{1000};
    std::chrono::milliseconds startSpread{0}; /**< Longest random delay before a process without informed peers asks the services. */
    std::chrono::milliseconds viewLease{3000}; /**< A process that slept longer re-reads its view. */
    std::chrono::milliseconds takeOver{30000}; /**< A former home of keys counts as gone after missing from the list this long. */
    double weightStoreRate = 10.0; /**< Loads of weights a second that the weight store bears. */
    std::chrono::milliseconds clockBound{500}; /**< Largest distance between two wall clocks. */

    /**
     * @brief Reads settings.
     * @param text YAML text.
     * @param file Name for the errors.
     * @return Settings.
     * @throws InvalidInput With every error and its place.
     */
    [[nodiscard]] static Settings parse(const std::string &text, const std::string &file);
};

/**
 * @brief Reports an address that is malformed; an empty one passes.
 * @param root Map that holds it.
 * @param key Its key.
 * @param address Address.
 * @param diagnostics Takes the error.
 */
void checkAddress(const YAML::Node &root, const char *key, const std::string &address, Diagnostics &diagnostics);

/** @brief Reports each address of a list that is malformed. @param root Map that holds it. @param key Its key. @param addresses Addresses. @param diagnostics
 * Takes the errors. */
void checkAddresses(const YAML::Node &root, const char *key, const std::vector<std::string> &addresses, Diagnostics &diagnostics);

/** @brief Splits an address. @param address IP number and port. @return Pair of both. @throws std::invalid_argument If it is malformed. */
[[nodiscard]] std::pair<std::string, unsigned short> splitAddress(const std::string &address);

} // namespace cyclamenspool::config
