#include <cyclamenspool/member/storereplica.h>

#include <algorithm>
#include <set>
#include <utility>

namespace cyclamenspool::member {

bool StoreReplica::apply(const StoreItem &item)
{
    const auto found = items_.find(item.key);
    const bool isKnown = found != items_.end();
    const bool isOutdated = isKnown ? item.position <= found->second.position : item.isDeleted;
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

std::vector<StoreItem> StoreReplica::merge(const std::vector<StoreItem> &changes, const StorePosition &position)
{
    if (!position_.isEmpty() && position.era != position_.era) {
        return {};
    }
    std::vector<StoreItem> applied;
    for (const auto &change : changes) {
        if (change.position > position_ && apply(change)) {
            applied.push_back(change);
        }
    }
    position_ = std::max(position_, position);
    return applied;
}

std::vector<StoreItem> StoreReplica::replace(const StoreSnapshot &snapshot)
{
    if (snapshot.position < position_) {
        return {};
    }
    if (snapshot.position.era > position_.era) {
        return replaceEra(snapshot);
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
        const bool isMissing = listed.count(known->first) == 0 && known->second.position <= snapshot.position;
        if (isMissing) {
            applied.push_back({known->first, {}, snapshot.position, true});
        }
        known = isMissing ? items_.erase(known) : std::next(known);
    }
    position_ = snapshot.position;
    return applied;
}

std::vector<StoreItem> StoreReplica::replaceEra(const StoreSnapshot &snapshot)
{
    std::vector<StoreItem> applied;
    auto earlier = std::exchange(items_, {});
    for (const auto &item : snapshot.items) {
        const auto known = earlier.find(item.key);
        const bool isEqual = known != earlier.end() && known->second.value == item.value;
        if (apply(item) && !isEqual) {
            applied.push_back(item);
        }
    }
    for (const auto &[key, item] : earlier) {
        if (items_.count(key) == 0) {
            applied.push_back({key, {}, snapshot.position, true});
        }
    }
    position_ = snapshot.position;
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
    snapshot.position = position_;
    for (const auto &[key, item] : items_) {
        snapshot.items.push_back(item);
    }
    return snapshot;
}

} // namespace cyclamenspool::member
