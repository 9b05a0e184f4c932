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

/** @brief Requests in flight as another process reports them. */
struct LoadReport {
    std::vector<ServerLoad> loads; /**< Complete: backend servers that are missing have none. */
    std::size_t gateways = 1; /**< Number of gateways whose requests are included. */
    core::Milliseconds totalAge{0}; /**< Sum over these gateways of the age that their requests had when the report was made. */
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
     * @brief Replaces the report of a source.
     * @param source Name of the gateway, or of the zone whose gateways the report includes.
     * @param report Report.
     * @param now Time of the update.
     * @return Backend servers whose total has changed.
     */
    std::vector<std::string> update(const std::string &source, LoadReport report, core::MonotonicTime now);

    /**
     * @brief Drops sources without a recent update: their gateways are assumed to be down and their connections closed, so their requests have ended.
     * @param maxAge Age from which on an update is stale.
     * @param now Current time.
     * @return Backend servers whose total may have changed.
     */
    std::vector<std::string> dropStale(core::Milliseconds maxAge, core::MonotonicTime now);

    /** @brief Returns the requests in flight of the other gateways, without those dropped as stale. @param server Id of the backend server. */
    [[nodiscard]] int totalOf(const std::string &server) const;

    /** @brief Returns the sum, over all known gateways, of the age of their requests in flight. */
    [[nodiscard]] std::chrono::duration<double> totalUpdateAge(core::MonotonicTime now) const;

    /** @brief Returns the number of gateways whose requests are included. */
    [[nodiscard]] std::size_t gatewayCount() const;

    /** @brief Returns all totals by backend server; those without requests are left out. */
    [[nodiscard]] const std::map<std::string, int> &totals() const noexcept
    {
        return totals_;
    }

private:
    struct Source {
        LoadReport report; /* its loads are sorted by backend server */
        core::MonotonicTime updatedAt{};
    };

    void add(const std::string &server, int difference, std::vector<std::string> &changed);
    std::vector<std::string> replaceLoads(const std::vector<ServerLoad> &previous, const std::vector<ServerLoad> &next); /* both sorted, without duplicates */

    std::map<std::string, Source> sources_; /* by name */
    std::map<std::string, int> totals_; /* by backend server; zero totals are erased */
};

} // namespace cyclamenspool::gateway
