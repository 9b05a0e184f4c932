#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cyclamenspool::member {

/** @brief An item of the platform's store: a value, or the news that it is gone. */
struct Item {
    std::string key;
    std::string value; /**< Decoded bytes. */
    std::uint64_t revision = 0;
    bool isDeleted = false;
};

/** @brief Items as they stood at a revision of the store. */
struct ItemList {
    std::vector<Item> items;
    std::uint64_t revision = 0; /**< Every change up to it is included. */
};

/** @brief Copy of the items under one prefix of the platform's store, fed by the store or by peers; it never goes back. Not thread safe. */
class Mirror
{
public:
    /** @brief Takes changes. @param changes Changes in any order. @param revision Revision up to which they are complete. @return Those that are news. */
    [[nodiscard]] std::vector<Item> merge(const std::vector<Item> &changes, std::uint64_t revision);

    /**
     * @brief Takes a whole list; items that it lacks are gone unless they are newer than it.
     * @param list List.
     * @return Changes, deletions included; empty if the list is older than the copy.
     */
    [[nodiscard]] std::vector<Item> replace(const ItemList &list);

    /** @brief Returns the copy. @return Items that are not deleted. */
    [[nodiscard]] ItemList list() const;

    /** @brief Returns the revision up to which the copy is complete. @return Revision; 0: nothing was heard. */
    [[nodiscard]] std::uint64_t revision() const noexcept
    {
        return revision_;
    }

private:
    bool take(const Item &item);

    std::map<std::string, Item> items_;
    std::uint64_t revision_ = 0;
};

} // namespace cyclamenspool::member
