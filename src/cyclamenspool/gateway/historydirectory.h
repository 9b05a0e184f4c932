#pragma once

#include <cyclamenspool/core/now.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenspool::gateway {

/** @brief A backend server that was sent a history. */
struct HistoryPlacement {
    std::uint64_t history = 0; /**< Key of the history. */
    std::string server; /**< Id of the backend server. */
};

/** @brief Remembers which backend servers were sent a history lately, the newest first. Not thread safe. */
class HistoryDirectory
{
public:
    /** @brief Creates an empty directory. @param capacity Histories kept; the one used longest ago is dropped. */
    explicit HistoryDirectory(std::size_t capacity);

    /**
     * @brief Notes that a backend server now holds a history.
     * @param placement History and backend server.
     * @param now Time.
     * @return True if it was not known as a holder.
     */
    bool add(const HistoryPlacement &placement, core::MonotonicTime now);

    /** @brief Finds the holders of a history. @param history Key of the history. @param now Time. @return Ids, the newest first; those of long ago are left
     * out. */
    [[nodiscard]] std::vector<std::string> holdersOf(std::uint64_t history, core::MonotonicTime now) const;

private:
    struct Holder {
        std::string server;
        core::MonotonicTime used;
    };
    struct Entry {
        std::vector<Holder> holders;
        std::list<std::uint64_t>::iterator place;
    };

    std::size_t capacity_;
    std::list<std::uint64_t> order_; /* newest first */
    std::unordered_map<std::uint64_t, Entry> entries_;
};

} // namespace cyclamenspool::gateway
