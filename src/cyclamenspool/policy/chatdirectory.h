#pragma once

#include <cyclamenspool/core/now.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

namespace cyclamenspool::policy {

/** @brief Where a chat's history is warm and how much of it. */
struct ChatPlace {
    std::string server; /**< Backend server; empty: this agent's own. */
    std::uint64_t warmTokens = 0;
    core::MonotonicTime used{};
};

/** @brief Bounded table of the chats that have their home at an agent; the least recently used entry is evicted. */
class ChatDirectory
{
public:
    /** @brief Creates an empty table. @param capacity Largest number of chats. */
    explicit ChatDirectory(std::size_t capacity)
        : capacity_(capacity)
    {
    }

    /** @brief Finds a chat and marks it as used. @param chat Chat. @param at Time. @return Place; null if unknown. */
    [[nodiscard]] const ChatPlace *find(const std::string &chat, core::MonotonicTime at);

    /** @brief Sets a chat's place. @param chat Chat. @param place Place. */
    void put(const std::string &chat, ChatPlace place);

    /** @brief Removes a chat. @param chat Chat. */
    void erase(const std::string &chat);

    /** @brief Removes all chats placed at a backend server. @param server Backend server; empty: this agent's own. */
    void eraseServer(const std::string &server);

    /** @brief Counts the chats. @return Number of entries. */
    [[nodiscard]] std::size_t size() const noexcept
    {
        return index_.size();
    }

private:
    struct Entry {
        std::string chat;
        ChatPlace place;
    };

    std::size_t capacity_;
    std::list<Entry> entries_; /* most recently used first */
    std::unordered_map<std::string, std::list<Entry>::iterator> index_;
};

} // namespace cyclamenspool::policy
