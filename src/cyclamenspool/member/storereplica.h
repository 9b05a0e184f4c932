#pragma once

#include <cyclamenspool/member/storeposition.h>

#include <map>
#include <string>
#include <vector>

namespace cyclamenspool::member {

/** @brief Item of the platform's store: a value, or a tombstone for a deleted one. */
struct StoreItem {
    std::string key;
    std::string value; /**< Decoded bytes. */
    StorePosition position; /**< Position of the store at which it last changed; in the era in which it was read. */
    bool isDeleted = false;
};

/** @brief Items of the store at one position. */
struct StoreSnapshot {
    std::vector<StoreItem> items;
    StorePosition position; /**< Position up to which every change is included. */
};

/**
 * @brief Local replica of the items under one prefix of the platform's store. Not thread safe.
 *
 * Updates come from the store or from peers in any order; an earlier position of an item never replaces a later one. Deleted items leave
 * no tombstone: changes up to the position of the replica are ignored, and that is never before a deletion that the replica has applied.
 * A snapshot of a later era replaces all items; changes never lead from one era to another.
 */
class StoreReplica
{
public:
    /**
     * @brief Applies changes.
     * @param changes Changes in any order; those at or before the position of the replica, or of the item that it holds, are ignored.
     * @param position Position up to which the changes are complete.
     * @return Changes that were applied; empty if they are of another era than the replica.
     */
    [[nodiscard]] std::vector<StoreItem> merge(const std::vector<StoreItem> &changes, const StorePosition &position);

    /**
     * @brief Applies a full snapshot; items that the snapshot lacks are deleted unless they are later than the snapshot.
     * @return Changes that were applied, deletions included; empty if the snapshot is earlier than the replica. Of a snapshot of a later era, items whose
     * values the replica holds already are left out.
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

    /** @brief Returns the position up to which the replica is complete; empty before the first update. */
    [[nodiscard]] const StorePosition &position() const noexcept
    {
        return position_;
    }

private:
    bool apply(const StoreItem &item);
    [[nodiscard]] std::vector<StoreItem> replaceEra(const StoreSnapshot &snapshot);

    std::map<std::string, StoreItem> items_;
    StorePosition position_;
};

} // namespace cyclamenspool::member
