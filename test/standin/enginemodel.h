#pragma once

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace cyclamenspool::standin {

/** @brief Times and capacities of the stand-in engine. */
struct EngineOptions {
    std::uint64_t cacheTokens = 200000; /**< Capacity of the prefix cache. */
    std::chrono::microseconds prefillPerToken{50}; /**< Per prompt token that is not cached. */
    std::chrono::microseconds decodeStep{2000}; /**< Duration of a decode step at batch size 0; it grows linearly with the batch size. */
    int batchReference = 16; /**< Batch size at which a decode step takes twice decodeStep. */
    int maxColdBatch = 4; /**< Largest batch that a cold engine serves at full speed. */
    std::chrono::milliseconds coldDuration{0}; /**< Duration of a cold start. */
    int collapseFactor = 10; /**< Factor on prefill and decode times during a cold start while the batch is larger than maxColdBatch. */
};

/** @brief Prefix cache of an engine: holds complete chat histories and evicts the least recently used ones. */
class PrefixCache
{
public:
    /** @brief Creates an empty cache. @param capacity Capacity in tokens. */
    explicit PrefixCache(std::uint64_t capacity)
        : capacity_(capacity)
    {
    }

    /** @brief Returns the cached tokens of a chat and marks the chat as used; 0 if it is not cached. */
    [[nodiscard]] std::uint64_t lookup(const std::string &chat)
    {
        const auto found = index_.find(chat);
        if (found == index_.end()) {
            return 0;
        }
        entries_.splice(entries_.begin(), entries_, found->second);
        return found->second->second;
    }

    /**
     * @brief Stores the history of a chat and evicts others if the capacity is exceeded.
     * @param chat Chat.
     * @param tokens Length of the history.
     * @return Evicted chats; never the stored one.
     */
    std::vector<std::string> store(const std::string &chat, std::uint64_t tokens)
    {
        const auto found = index_.find(chat);
        if (found != index_.end()) {
            usedTokens_ -= found->second->second;
            entries_.erase(found->second);
        }
        entries_.emplace_front(chat, tokens);
        index_[chat] = entries_.begin();
        usedTokens_ += tokens;
        std::vector<std::string> evicted;
        while (usedTokens_ > capacity_ && entries_.size() > 1) {
            evicted.push_back(entries_.back().first);
            usedTokens_ -= entries_.back().second;
            index_.erase(entries_.back().first);
            entries_.pop_back();
        }
        return evicted;
    }

    /** @brief Removes all chats. */
    void clear()
    {
        entries_.clear();
        index_.clear();
        usedTokens_ = 0;
    }

private:
    using Entry = std::pair<std::string, std::uint64_t>;

    std::uint64_t capacity_;
    std::uint64_t usedTokens_ = 0;
    std::list<Entry> entries_;
    std::map<std::string, std::list<Entry>::iterator> index_;
};

} // namespace cyclamenspool::standin
