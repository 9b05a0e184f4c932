#pragma once

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace cyclamenspool::standin {

/** @brief Times and sizes of a model engine. */
struct EngineOptions {
    std::uint64_t cacheTokens = 200000;
    std::chrono::microseconds prefillPerToken{50};
    std::chrono::microseconds decodePerToken{2000};
    int batchReference = 16; /**< Batch size at which a decode step takes twice as long as alone. */
    int coldBatch = 4; /**< Requests that a cold engine bears; beyond it collapses. */
    std::chrono::milliseconds coldFor{0};
    int collapseFactor = 10;
};

/** @brief Prefix cache of an engine: whole chats, least recently used first out. */
class PrefixCache
{
public:
    /** @brief Creates an empty cache. @param capacity Tokens. */
    explicit PrefixCache(std::uint64_t capacity)
        : capacity_(capacity)
    {
    }

    /** @brief Looks up a chat. @param chat Chat. @return Tokens of its history that are cached. */
    [[nodiscard]] std::uint64_t lookup(const std::string &chat)
    {
        const auto found = index_.find(chat);
        if (found == index_.end()) {
            return 0;
        }
        entries_.splice(entries_.begin(), entries_, found->second);
        return found->second->second;
    }

    /** @brief Stores a chat. @param chat Chat. @param tokens Tokens. @return Chats evicted for it. */
    std::vector<std::string> store(const std::string &chat, std::uint64_t tokens)
    {
        const auto found = index_.find(chat);
        if (found != index_.end()) {
            used_ -= found->second->second;
            entries_.erase(found->second);
        }
        entries_.emplace_front(chat, tokens);
        index_[chat] = entries_.begin();
        used_ += tokens;
        std::vector<std::string> evicted;
        while (used_ > capacity_ && entries_.size() > 1) {
            evicted.push_back(entries_.back().first);
            used_ -= entries_.back().second;
            index_.erase(entries_.back().first);
            entries_.pop_back();
        }
        return evicted;
    }

    /** @brief Empties the cache. */
    void clear()
    {
        entries_.clear();
        index_.clear();
        used_ = 0;
    }

private:
    using Entry = std::pair<std::string, std::uint64_t>;

    std::uint64_t capacity_;
    std::uint64_t used_ = 0;
    std::list<Entry> entries_;
    std::map<std::string, std::list<Entry>::iterator> index_;
};

} // namespace cyclamenspool::standin
