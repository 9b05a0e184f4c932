#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenspool::gateway {

/** @brief Gateways that get a message through one of them. */
struct FanOutGroup {
    std::string relay; /**< Peer address of the gateway that gets the message from its source. */
    std::vector<std::string> others; /**< Peer addresses of those to which the relay passes it on. */
};

/**
 * @brief Divides the gateways of a zone into groups for a message that each of them gets once.
 *
 * With n gateways there are about sqrt(n) groups of about sqrt(n) gateways, so that neither the source nor a relay sends many copies. The source's list of
 * members alone decides. A lost relay costs its group one message: other seeds give other groups, and receivers fetch for themselves what does not arrive.
 * @param members Peer addresses, in any order.
 * @param seed Number of the message.
 */
[[nodiscard]] std::vector<FanOutGroup> fanOutGroups(const std::vector<std::string> &members, std::uint64_t seed);

/** @brief Returns whether a gateway is the one of its zone that does a duty. @param duty Name of the duty. @param self Own peer address. @param members Peer
 * addresses of the other live gateways of the zone. */
[[nodiscard]] bool isOnDuty(const std::string &duty, const std::string &self, const std::vector<std::string> &members);

} // namespace cyclamenspool::gateway
