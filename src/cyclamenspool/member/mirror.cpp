#include <cyclamenspool/member/mirror.h>

#include <algorithm>
#include <set>

namespace cyclamenspool::member {

bool Mirror::take(const Item &item)
{
    const auto found = items_.find(item.key);
    const bool isKnown = found != items_.end();
    const bool isOld = isKnown ? item.revision <= found->second.revision : item.isDeleted;
    if (isOld) {
        return false;
    }
    if (item.isDeleted) {
        items_.erase(found);
    } else {
        items_[item.key] = item;
    }
    return true;
}

std::vector<Item> Mirror::merge(const std::vector<Item> &changes, std::uint64_t revision)
{
    std::vector<Item> news;
    for (const auto &change : changes) {
        if (change.revision > revision_ && take(change)) {
            news.push_back(change);
        }
    }
    revision_ = std::max(revision_, revision);
    return news;
}

std::vector<Item> Mirror::replace(const ItemList &list)
{
    if (list.revision < revision_) {
        return {};
    }
    std::vector<Item> news;
    std::set<std::string> listed;
    for (const auto &item : list.items) {
        listed.insert(item.key);
        if (take(item)) {
            news.push_back(item);
        }
    }
    for (auto known = items_.begin(); known != items_.end();) {
        const bool isGone = listed.count(known->first) == 0 && known->second.revision <= list.revision;
        if (isGone) {
            news.push_back({known->first, {}, list.revision, true});
        }
        known = isGone ? items_.erase(known) : std::next(known);
    }
    revision_ = list.revision;
    return news;
}

ItemList Mirror::list() const
{
    ItemList list;
    list.revision = revision_;
    for (const auto &[key, item] : items_) {
        list.items.push_back(item);
    }
    return list;
}

} // namespace cyclamenspool::member
