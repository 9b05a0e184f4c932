#pragma once

#include <cyclamenspool/core/now.h>
#include <cyclamenspool/core/random.h>
#include <cyclamenspool/wire/generated/messages.pb.h>

#include <map>
#include <string>

namespace cyclamenspool::agent {

/** @brief Loads last reported by peers, used to suggest a less loaded backend server in a refusal. Not thread safe. */
class PeerLoads
{
public:
    /** @brief Records the load of the peer that sent an exchange message. When the table is full, drops the oldest entry. */
    void update(const wire::Exchange &message, core::MonotonicTime at);

    /** @brief Adds the cost of a request redirected to a peer to the peer's recorded load, until its next report. @param cost Outstanding tokens. */
    void addLoad(const std::string &server, double cost);

    /**
     * @brief Returns the less loaded of two random peers among those that accept work and are below a limit (power of two choices).
     * @param limit Outstanding tokens per unit of weight.
     * @param at Current time; entries that are too old are ignored.
     * @param random Source of the two draws.
     * @return Backend server; empty if no peer qualifies.
     */
    [[nodiscard]] std::string pick(double limit, core::MonotonicTime at, core::RandomSource &random) const;

    /** @brief Removes a peer's entry. */
    void erase(const std::string &server);

private:
    struct Peer {
        double load;
        double weight;
        bool accepting;
        core::MonotonicTime updated;
    };

    std::map<std::string, Peer> peers_;
};

} // namespace cyclamenspool::agent
