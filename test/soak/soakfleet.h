#pragma once

#include "promises.h"

#include <harness/faultproxy.h>
#include <harness/gatewayfleet.h>

#include <cyclamenspool/core/random.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace cyclamenspool::soak {

/** @brief How a backend server answers. */
enum class Behaviour : int {
    Sound,
    LosesAnswers, /**< Runs each request and resets the connection. */
    Silent, /**< Runs each request and sends nothing for 700 ms, then the answer. */
    CopiesAnswers, /**< Sends a second copy of each answer, without an id, 5 ms later. */
    Malformed, /**< Sends bytes that are no HTTP. */
    Truncated, /**< Closes in the middle of the answer. */
    WithoutEnd, /**< Sends a header without end. */
    Fails, /**< Answers 500. */
    Unframed, /**< Sends answers without a length or chunks. */
    UnframedBroken, /**< Ends them by a FIN inside an event, or by a reset. */
    Count
};

/** @brief Size of a soak fleet. */
struct FleetSize {
    int gateways = 4;
    int backendServers = 4;
    int zones = 2;
};

/**
 * @brief Real gateways between fakes, with a proxy in front of the store for each gateway and in front of each backend server.
 *
 * Each function that starts a fault ends it as well, before it returns or when the fault's time is over.
 */
class SoakFleet
{
public:
    /** @brief Starts all processes. @throws std::runtime_error If a gateway is not ready in time. */
    explicit SoakFleet(const FleetSize &size);

    /** @brief Sends one request and records it. @param id Request id. @param kind Kind. @param gateway Index. @param promises Receives the result. */
    void call(const std::string &id, Kind kind, std::size_t gateway, Promises &promises) const;

    /** @brief Returns the number of runs by request id, over all backend servers. */
    [[nodiscard]] std::map<std::string, int> runs();

    /** @brief Returns whether a gateway accepts a key. @return Empty: it gave no answer that tells. */
    [[nodiscard]] std::optional<bool> acceptsKey(std::size_t gateway, const std::string &key) const;

    /** @brief Publishes the next version of the routing. @param keys Keys in force besides key-1. */
    void publishKeys(const std::vector<std::string> &keys);

    /** @brief Lists a backend server under its proxy's address. @param server Index. @param state State in the entry. */
    void listServer(std::size_t server, const std::string &state);

    /** @brief Lists each backend server again with its last state. */
    void listServersAgain();

    /** @brief Sets how a backend server answers. */
    void setBehaviour(std::size_t server, Behaviour behaviour)
    {
        servers_.at(server)->behaviour = behaviour;
    }

    /** @brief Sends a prompt with the part under which each backend server ends its connection and then those of all requests for a second. */
    void callPoison(const std::string &id, std::size_t gateway) const;

    /** @brief Returns the number of prompts with that part that reached backend servers. */
    [[nodiscard]] int poisonRunCount() const noexcept
    {
        return poisonRuns_;
    }

    /** @brief Restarts a gateway's process if it has ended. */
    void restart(std::size_t gateway);

    /** @brief Ends every fault and waits until all gateways are ready. @return False if one is not, within 10 s. */
    bool recover();

    harness::GatewayFleet fleet;
    std::vector<std::unique_ptr<harness::FaultProxy>> storeProxies; /**< By gateway. */
    std::vector<std::unique_ptr<harness::FaultProxy>> serverProxies; /**< By backend server. */

private:
    struct ServerState {
        std::atomic<Behaviour> behaviour{Behaviour::Sound};
        std::string listedState;
        std::atomic<std::chrono::steady_clock::time_point> downUntil{};
    };

    bool respond(ServerState &server, const harness::PlainRequest &request, harness::PlainSocket &socket);

    std::vector<std::unique_ptr<ServerState>> servers_;
    std::atomic<int> poisonRuns_{0};
    int version_ = 1;
};

} // namespace cyclamenspool::soak
