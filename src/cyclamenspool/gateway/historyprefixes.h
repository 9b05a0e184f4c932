#pragma once

#include <cyclamenspool/gateway/historydirectory.h>
#include <cyclamenspool/platform/headers.h>

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenspool::gateway {

/** @brief Leading parts of a prompt, which several requests may share. An engine reuses a part only together with all parts before it. */
struct HistoryPrefix {
    std::uint64_t key = 0; /**< Hash of the ids of these parts; not 0. */
    std::uint32_t tokens = 0; /**< Length. */
};

/** @brief Backend servers that probably have a history, or its beginning, in their prompt cache. */
struct HistoryHolders {
    std::vector<std::string> whole; /**< Ids of the servers that were sent the history, or most of it, recently; the latest first. */
    std::vector<std::string> beginning; /**< Without any such server: ids of those that were sent its longest known prefix; the latest first. */
    std::uint32_t tokens = 0; /**< Length of what these servers were sent; 0 without any. */
};

/**
 * @brief Returns the prefixes of a prompt, shortest first.
 *
 * The last one is the history: all parts but the last one, which belongs to the request alone, or the only part. Its length counts as 0 if it is the only part.
 * @param parts Prompt parts in order.
 * @return At most the 8 longest prefixes; empty without parts.
 */
[[nodiscard]] std::vector<HistoryPrefix> historyPrefixesOf(const std::vector<platform::PromptPart> &parts);

/**
 * @brief Finds the holders of a history, or of its longest known prefix.
 *
 * Servers that were sent at least half of the history's tokens count as holders of the whole, as the next turn of a chat should follow the one before. This
 * does not hold for a prefix that another history continues: its histories would all gather on its holders.
 * @param directory Known holders.
 * @param prefixes Result of historyPrefixesOf().
 * @param now Current time.
 * @return Holders.
 */
[[nodiscard]] HistoryHolders findHistoryHolders(const HistoryDirectory &directory, const std::vector<HistoryPrefix> &prefixes, core::MonotonicTime now);

} // namespace cyclamenspool::gateway
