#pragma once

#include <cyclamenspool/member/mirror.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cyclamenspool::platform {

/** @brief Takes the key of an item that cannot be read, and the reason. */
using MalformedItem = std::function<void(const std::string &key, const std::string &reason)>;

/** @brief An answer of the store. */
struct StorePage {
    std::vector<member::Item> items;
    std::uint64_t revision = 0; /**< Of the store, up to which the answer is complete. */
    std::string lastKey; /**< Where the next page goes on; lists only. */
    bool hasMore = false; /**< Another page follows; lists only. */
};

/**
 * @brief Reads a page of a list.
 * @param body Body of the answer.
 * @param onMalformed Told of items that cannot be read; the others are taken.
 * @return Page.
 * @throws std::exception If the page as a whole cannot be read.
 */
[[nodiscard]] StorePage readListPage(const std::string &body, const MalformedItem &onMalformed);

/** @brief Reads the answer of a watch. @param body Body. @param onMalformed Told of items that cannot be read. @return Changes. @throws std::exception If the
 * answer as a whole cannot be read. */
[[nodiscard]] StorePage readWatchPage(const std::string &body, const MalformedItem &onMalformed);

} // namespace cyclamenspool::platform
