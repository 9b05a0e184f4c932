#pragma once

#include <cyclamenspool/member/fleetview.h>

#include <cstddef>
#include <string_view>
#include <vector>

namespace cyclamenspool::policy {

/**
 * @brief Ranks members for a key by weighted rendezvous hashing.
 *
 * The order depends only on the key and the members, so that every process with the same members computes the same one. A member
 * that joins or leaves only moves the keys that it gains or loses.
 * @param key Chat or idempotency key.
 * @param members Members; those that accept no new work are ignored.
 * @param limit Maximum number of members returned.
 * @return Members in descending order of score; the pointers refer to elements of members.
 */
[[nodiscard]] std::vector<const member::Member *> rankByRendezvous(std::string_view key, const std::vector<member::Member> &members, std::size_t limit);

} // namespace cyclamenspool::policy
