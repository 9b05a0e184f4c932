#pragma once

#include <cyclamenspool/core/now.h>

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace cyclamenspool::gateway {

/** @brief Requests of one gateway in flight at a backend server. */
struct ServerLoad {
    std::string server;
    int outstanding = 0;
};

/**
 * @brief Sums the requests in flight of the other gateways by backend server. Not thread safe.
 *
 * Its size and the cost of an update grow with the requests in flight, not with the product of gateways and backend servers.
 */
class PeerLoads
{
public:
    /**
     * @brief Replaces a gateway's loads.
     * @param vm VM of the gateway.
     * @param loads Its complete loads; backend servers that are missing have none.
     * @param now Time of the update.
     * @return Backend servers whose total may have changed.
     */
    std::vector<std::string> update(const std::string &vm, const std::vector<ServerLoad> &loads, core::MonotonicTime now);

    /**
     * @brief Drops gateways without a recent update: they are assumed to be down and their connections closed, so their requests have ended.
     * @param maxAge Age from which on an update is stale.
     * @param now Current time.
     * @return Backend servers whose total may have changed.
     */
    std::vector<std::string> dropStale(core::Milliseconds maxAge, core::MonotonicTime now);

    /** @brief Returns the requests in flight of the other gateways, without those dropped as stale. @param server Id of the backend server. */
    [[nodiscard]] int totalOf(const std::string &server) const;

    /** @brief Returns the sum, over all known gateways, of the time since the last update. */
    [[nodiscard]] std::chrono::duration<double> totalUpdateAge(core::MonotonicTime now) const;

private:
    struct Peer {
        std::vector<ServerLoad> loads;
        core::MonotonicTime updatedAt{};
    };

    void apply(const std::vector<ServerLoad> &loads, int sign, std::vector<std::string> &changed);

    std::map<std::string, Peer> peers_; /* by VM */
    std::map<std::string, int> totals_; /* by backend server; zero totals are erased */
};

} // namespace cyclamenspool::gateway
