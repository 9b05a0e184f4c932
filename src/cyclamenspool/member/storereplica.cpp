#include <cyclamenspool/member/storereplica.h>

#include <algorithm>
#include <set>

namespace cyclamenspool::member {

bool StoreReplica::apply(const StoreItem &item)
{
    const auto found = items_.find(item.key);
    const bool isKnown = found != items_.end();
    const bool isOutdated = isKnown ? item.revision <= found->second.revision : item.isDeleted;
    if (isOutdated) {
        return false;
    }
    if (item.isDeleted) {
        items_.erase(found);
    } else {
        items_[item.key] = item;
    }
    return true;
}

std::vector<StoreItem> StoreReplica::merge(const std::vector<StoreItem> &changes, std::uint64_t revision)
{
    std::vector<StoreItem> applied;
    for (const auto &change : changes) {
        if (change.revision > revision_ && apply(change)) {
            applied.push_back(change);
        }
    }
    revision_ = std::max(revision_, revision);
    return applied;
}

std::vector<StoreItem> StoreReplica::replace(const StoreSnapshot &snapshot)
{
    if (snapshot.revision < revision_) {
        return {};
    }
    std::vector<StoreItem> applied;
    std::set<std::string> listed;
    for (const auto &item : snapshot.items) {
        listed.insert(item.key);
        if (apply(item)) {
            applied.push_back(item);
        }
    }
    for (auto known = items_.begin(); known != items_.end();) {
        const bool isMissing = listed.count(known->first) == 0 && known->second.revision <= snapshot.revision;
        if (isMissing) {
            applied.push_back({known->first, {}, snapshot.revision, true});
        }
        known = isMissing ? items_.erase(known) : std::next(known);
    }
    revision_ = snapshot.revision;
    return applied;
}

const StoreItem *StoreReplica::find(const std::string &key) const
{
    const auto found = items_.find(key);
    return found == items_.end() ? nullptr : &found->second;
}

StoreSnapshot StoreReplica::toSnapshot() const
{
    StoreSnapshot snapshot;
    snapshot.revision = revision_;
    for (const auto &[key, item] : items_) {
        snapshot.items.push_back(item);
    }
    return snapshot;
}

} // namespace cyclamenspool::member
