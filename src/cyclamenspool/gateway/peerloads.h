#pragma once

#include <cyclamenspool/core/now.h>

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace cyclamenspool::gateway {

/** @brief Requests of one gateway at a backend server. */
struct LoadNews {
    std::string server;
    int outstanding = 0;
};

/**
 * @brief Requests of the other gateways, added up by backend server. Not thread safe.
 *
 * Its size and the cost of news follow what is outstanding, not the number of gateways times that of backend servers.
 */
class PeerLoads
{
public:
    /** @brief Takes a gateway's loads; those that it does not name are zero. @param vm Its VM. @param loads Loads. @param now Time. @return Backend servers
     * whose sum may have changed. */
    std::vector<std::string> take(const std::string &vm, const std::vector<LoadNews> &loads, core::MonotonicTime now);

    /** @brief Forgets gateways that are silent: they are taken for down, and their connections with them. @param limit Longest silence. @param now Time.
     * @return Backend servers whose sum may have changed. */
    std::vector<std::string> dropSilent(core::Milliseconds limit, core::MonotonicTime now);

    /** @brief Adds up the requests at a backend server. @param server Its id. @return Requests of all gateways that are not silent. */
    [[nodiscard]] int at(const std::string &server) const;

    /** @brief Adds up the ages of the gateways' news. @param now Time. @return Time in which they sent requests that are not known here. */
    [[nodiscard]] std::chrono::duration<double> unseenTime(core::MonotonicTime now) const;

private:
    struct Peer {
        std::vector<LoadNews> loads;
        core::MonotonicTime heard{};
    };

    void add(const std::vector<LoadNews> &loads, int sign, std::vector<std::string> &changed);

    std::map<std::string, Peer> peers_; /* by VM */
    std::map<std::string, int> sums_; /* by backend server, above zero */
};

} // namespace cyclamenspool::gateway
