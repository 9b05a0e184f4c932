#pragma once

#include <cyclamenspool/member/fleetview.h>

#include <cstddef>
#include <string_view>
#include <vector>

namespace cyclamenspool::policy {

/**
 * @brief Ranks members for a key by weighted rendezvous hashing.
 *
 * Every process that knows the same members gets the same order; a member that joins or leaves moves only its own keys.
 * @param key Chat or idempotency key.
 * @param members Members; those that take no new work are passed over.
 * @param limit Largest number of members returned.
 * @return Members, best first; the pointers refer into members.
 */
[[nodiscard]] std::vector<const member::Member *> rankByRendezvous(std::string_view key, const std::vector<member::Member> &members, std::size_t limit);

} // namespace cyclamenspool::policy
