#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace cyclamenspool::gateway {

/** @brief Most gateways to which one gateway passes on a message. */
inline constexpr std::size_t fanOutDegree = 4;

/**
 * @brief Returns the gateways to which a gateway sends a message that every gateway of its zone gets once.
 *
 * The gateways form a tree below the source, ordered by a hash, so that no gateway sends more than a few copies. Gateways with different lists of members may
 * leave one out or reach it twice: receivers ignore copies, and fetch for themselves what does not arrive.
 * @param source Peer address of the gateway with the message.
 * @param self Own peer address.
 * @param members Peer addresses of the other live gateways of the zone, in any order.
 */
[[nodiscard]] std::vector<std::string> fanOutTargets(const std::string &source, const std::string &self, const std::vector<std::string> &members);

/** @brief Returns whether a gateway is the one of its zone that does a duty. @param duty Name of the duty. @param self Own peer address. @param members As in
 * fanOutTargets(). */
[[nodiscard]] bool isOnDuty(const std::string &duty, const std::string &self, const std::vector<std::string> &members);

} // namespace cyclamenspool::gateway
