#pragma once

#include <cyclamenspool/core/now.h>
#include <cyclamenspool/core/random.h>
#include <cyclamenspool/wire/generated/messages.pb.h>

#include <map>
#include <string>

namespace cyclamenspool::agent {

/** @brief Loads of the peers met lately, for naming a better candidate in a refusal. */
class PeerLoads
{
public:
    /** @brief Remembers a peer's load. @param message Message of the peer. @param at Time. */
    void note(const wire::Exchange &message, core::MonotonicTime at);

    /** @brief Raises a peer's remembered load by work that was sent its way. @param server Backend server. @param cost Tokens. */
    void addLoad(const std::string &server, double cost);

    /**
     * @brief Names the least loaded of two peers drawn from those with a load under a limit.
     * @param limit Tokens per unit of weight.
     * @param at Time.
     * @param random Source.
     * @return Backend server; empty if none is known.
     */
    [[nodiscard]] std::string pick(double limit, core::MonotonicTime at, core::RandomSource &random) const;

    /** @brief Forgets a peer. @param server Backend server. */
    void erase(const std::string &server);

private:
    struct Peer {
        double load;
        double weight;
        bool accepting;
        core::MonotonicTime at;
    };

    std::map<std::string, Peer> peers_;
};

} // namespace cyclamenspool::agent
