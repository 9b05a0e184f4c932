#pragma once

#include <cyclamenspool/core/now.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

namespace cyclamenspool::policy {

/** @brief Backend server on which a chat's history is, or is expected to be, in the prompt cache. */
struct ChatPlacement {
    std::string server; /**< Backend server; empty: the server of this agent. */
    std::uint64_t warmTokens = 0; /**< Tokens of the history in the cache; 0 until the server's agent has reported them. */
    core::MonotonicTime lastUsed{}; /**< Time of the insertion or the last lookup. */
};

/**
 * @brief LRU table of the chats whose home is this agent or whose history is cached on its own engine.
 *
 * The home of a chat is the first member of its pool in the chat's rendezvous ranking; its agent is told where the chat was last run.
 */
class ChatDirectory
{
public:
    /** @brief Creates an empty table. @param capacity Maximum number of chats; beyond it the least recently used one is evicted. */
    explicit ChatDirectory(std::size_t capacity)
        : capacity_(capacity)
    {
    }

    /** @brief Looks up a chat and marks it as most recently used. @return Placement, valid until the next change of the table; null if the chat is unknown. */
    [[nodiscard]] const ChatPlacement *find(const std::string &chat, core::MonotonicTime at);

    /** @brief Inserts or replaces a chat's placement and marks the chat as most recently used. */
    void put(const std::string &chat, ChatPlacement place);

    /** @brief Removes a chat; does nothing if it is unknown. */
    void erase(const std::string &chat);

    /** @brief Removes all chats placed on a backend server. @param server Backend server; empty: the server of this agent. */
    void eraseServer(const std::string &server);

    /** @brief Returns the number of chats. */
    [[nodiscard]] std::size_t size() const noexcept
    {
        return index_.size();
    }

private:
    struct Entry {
        std::string chat;
        ChatPlacement place;
    };

    std::size_t capacity_;
    std::list<Entry> entries_; /* most recently used first */
    std::unordered_map<std::string, std::list<Entry>::iterator> index_;
};

} // namespace cyclamenspool::policy
