#pragma once

#include <cyclamenspool/core/now.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenspool::gateway {

/** @brief Remembers which backend servers this gateway has sent a history to, newest first. Not thread safe. */
class HistoryDirectory
{
public:
    /** @brief Creates an empty directory. @param capacity Histories kept; the one used longest ago is dropped. */
    explicit HistoryDirectory(std::size_t capacity);

    /** @brief Notes that a backend server now holds a history. @param history Key of the history. @param server Id of the backend server. */
    void add(std::uint64_t history, const std::string &server);

    /** @brief Finds the holders of a history. @param history Key of the history. @return Ids, the newest first; empty if it is not known. */
    [[nodiscard]] const std::vector<std::string> &holdersOf(std::uint64_t history) const;

private:
    struct Entry {
        std::vector<std::string> holders;
        std::list<std::uint64_t>::iterator place;
    };

    std::size_t capacity_;
    std::list<std::uint64_t> order_; /* newest first */
    std::unordered_map<std::uint64_t, Entry> entries_;
};

} // namespace cyclamenspool::gateway
