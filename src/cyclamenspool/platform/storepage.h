#pragma once

#include <cyclamenspool/member/storereplica.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cyclamenspool::platform {

/** @brief Called for each item that cannot be decoded, with its key, or "?" if it has none, and the reason. */
using MalformedItemHandler = std::function<void(const std::string &key, const std::string &reason)>;

/** @brief Decoded response of the store: a page of a list, or the changes of a watch. */
struct StorePage {
    std::vector<member::StoreItem> items;
    member::StorePosition position; /**< Position of the store up to which the response is complete. */
    std::string lastKey; /**< Key after which the next page starts; lists only. */
    bool hasMore = false; /**< Another page follows; lists only. */
};

/**
 * @brief Formats the target of a watch.
 * @param prefix Prefix of the keys.
 * @param position Position after which changes are requested; the store knows its revision only.
 * @param wait Longest time for which the store holds the call without a change.
 */
[[nodiscard]] std::string watchTarget(const std::string &prefix, const member::StorePosition &position, std::chrono::milliseconds wait);

/**
 * @brief Decodes a page of a list.
 * @param body JSON body of the response.
 * @param era Era of the response.
 * @param onMalformed Called for each item that is skipped because it cannot be decoded.
 * @return Page with the other items.
 * @throws std::exception If the page as a whole cannot be decoded.
 */
[[nodiscard]] StorePage readListPage(const std::string &body, std::uint64_t era, const MalformedItemHandler &onMalformed);

/**
 * @brief Decodes the response of a watch.
 * @param body JSON body of the response.
 * @param era Era of the response.
 * @param onMalformed Called for each change that is skipped because it cannot be decoded.
 * @return Page with the other changes.
 * @throws std::exception If the response as a whole cannot be decoded.
 */
[[nodiscard]] StorePage readWatchPage(const std::string &body, std::uint64_t era, const MalformedItemHandler &onMalformed);

} // namespace cyclamenspool::platform
