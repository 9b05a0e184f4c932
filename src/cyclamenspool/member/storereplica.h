#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cyclamenspool::member {

/** @brief Item of the platform's store: a value, or a tombstone for a deleted one. */
struct StoreItem {
    std::string key;
    std::string value; /**< Decoded bytes. */
    std::uint64_t revision = 0; /**< Revision of the store at which it last changed. */
    bool isDeleted = false;
};

/** @brief Items of the store at one revision. */
struct StoreSnapshot {
    std::vector<StoreItem> items;
    std::uint64_t revision = 0; /**< Revision up to which every change is included. */
};

/**
 * @brief Local replica of the items under one prefix of the platform's store. Not thread safe.
 *
 * Updates come from the store or from peers in any order; an older revision of an item never replaces a newer one. Deleted items leave
 * no tombstone: changes up to the revision of the replica are ignored, and that is never below a deletion that the replica has applied.
 */
class StoreReplica
{
public:
    /**
     * @brief Applies changes.
     * @param changes Changes in any order; those at or below the revision of the replica, or of the item that it holds, are ignored.
     * @param revision Revision up to which the changes are complete.
     * @return Changes that were applied.
     */
    [[nodiscard]] std::vector<StoreItem> merge(const std::vector<StoreItem> &changes, std::uint64_t revision);

    /**
     * @brief Applies a full snapshot; items that the snapshot lacks are deleted unless they are newer than the snapshot.
     * @return Changes that were applied, deletions included; empty if the snapshot is older than the replica.
     */
    [[nodiscard]] std::vector<StoreItem> replace(const StoreSnapshot &snapshot);

    /** @brief Finds an item. @param key Key. @return Item, valid until the next change; null if there is none. */
    [[nodiscard]] const StoreItem *find(const std::string &key) const;

    /** @brief Returns the items by key, without deleted ones. */
    [[nodiscard]] const std::map<std::string, StoreItem> &items() const noexcept
    {
        return items_;
    }

    /** @brief Returns a snapshot of the replica, without deleted items. */
    [[nodiscard]] StoreSnapshot toSnapshot() const;

    /** @brief Returns the revision up to which the replica is complete; 0 before the first update. */
    [[nodiscard]] std::uint64_t revision() const noexcept
    {
        return revision_;
    }

private:
    bool apply(const StoreItem &item);

    std::map<std::string, StoreItem> items_;
    std::uint64_t revision_ = 0;
};

} // namespace cyclamenspool::member
