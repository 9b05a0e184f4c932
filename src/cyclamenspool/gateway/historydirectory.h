#pragma once

#include <cyclamenspool/core/now.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenspool::gateway {

/** @brief Pair of a history and a backend server that was sent it. */
struct HistoryPlacement {
    std::uint64_t historyKey = 0; /**< Hash that identifies the history. */
    std::string server; /**< Id of the backend server. */
};

/**
 * @brief Bounded map from histories to their holders. Not thread safe.
 *
 * A history is a prompt prefix that several requests share, such as the earlier turns of a chat; it is identified by its hash. A holder is a backend server
 * that was sent it recently, and so probably has it in its prompt cache.
 */
class HistoryDirectory
{
public:
    /** @brief Creates an empty directory. @param capacity Maximum number of histories; the least recently used is evicted. */
    explicit HistoryDirectory(std::size_t capacity);

    /**
     * @brief Records that a backend server was sent a history.
     * @param placement History and backend server.
     * @param now Current time.
     * @return True if the server was not a holder, or had expired as one.
     */
    bool add(const HistoryPlacement &placement, core::MonotonicTime now);

    /** @brief Records the history that continues a known one by a further part; it replaces the one before. @param historyKey History. @param continuation
     * Longer history. */
    void setContinuation(std::uint64_t historyKey, std::uint64_t continuation);

    /** @brief Returns the latest history that continues a known one; 0 if there is none. */
    [[nodiscard]] std::uint64_t continuationOf(std::uint64_t historyKey) const;

    /** @brief Returns the ids of at most 16 backend servers that were sent a history within the last 60 s, the latest first. */
    [[nodiscard]] std::vector<std::string> holdersOf(std::uint64_t historyKey, core::MonotonicTime now) const;

private:
    struct Holder {
        std::string server;
        core::MonotonicTime usedAt;
    };
    struct Entry {
        std::vector<Holder> holders;
        std::list<std::uint64_t>::iterator position;
        std::uint64_t continuation = 0;
    };

    std::size_t capacity_;
    std::list<std::uint64_t> order_; /* most recently used first */
    std::unordered_map<std::uint64_t, Entry> entries_;
};

} // namespace cyclamenspool::gateway
