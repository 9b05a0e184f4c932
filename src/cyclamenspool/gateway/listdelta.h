#pragma once

#include <cyclamenspool/gateway/storeavailability.h>
#include <cyclamenspool/member/storereplica.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenspool::gateway {

/** @brief Changes of the list of backend servers, reduced to what a gateway with an earlier copy needs. */
struct ListDelta {
    member::StorePosition base; /**< Position that the earlier copy must have at least. */
    member::StorePosition position; /**< Position up to which the changes are complete; of the era of the base. */
    std::vector<member::StoreItem> items; /**< Changed by more than a further report, removed, or not readable. */
    std::vector<std::uint32_t> reported; /**< Servers with a further report only, by serverHash(). */
    bool isReportedAllBut = false; /**< The servers in reported are those without a further report only; all other listed ones have one. */
    std::vector<std::string> passTo; /**< Peer addresses of the gateways to which the receiver passes the changes on. */
    std::optional<StoreUptime> storeUptime; /**< At the gateway that has read the changes; empty: not reported. */
};

/**
 * @brief Reduces changes of the list of backend servers.
 *
 * Backend servers write their entries about once a second, mostly without a change that matters. A cold server's entry always matters, as it holds the
 * remaining time. If most servers have a further report, those without one are named instead.
 * @param replica Copy without the changes.
 * @param changes Changes after the replica's position, in their order.
 * @param position Position up to which they are complete; it continues the replica's.
 */
[[nodiscard]] ListDelta reduceListChanges(const member::StoreReplica &replica,
                                          const std::vector<member::StoreItem> &changes,
                                          const member::StorePosition &position);

/** @brief Returns the servers with a further report, by serverHash(). @param delta Changes. @param replica Copy with the changes. */
[[nodiscard]] std::vector<std::uint32_t> reportedServers(const ListDelta &delta, const member::StoreReplica &replica);

} // namespace cyclamenspool::gateway
