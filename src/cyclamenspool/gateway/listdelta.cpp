#include <cyclamenspool/gateway/listdelta.h>

#include <cyclamenspool/gateway/fleet.h>
#include <cyclamenspool/platform/documents.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace cyclamenspool::gateway {

namespace internal {

/** @brief Decodes a backend server's entry. @return Entry without its revision and sequence; empty if the item is deleted, unreadable or none. */
std::optional<world::BackendServer> serverOf(const member::StoreItem *item)
{
    if (item == nullptr) {
        return std::nullopt;
    }
    try {
        const auto document = platform::decode(*item);
        const auto *listed = std::get_if<world::BackendServer>(&document);
        if (listed == nullptr) {
            return std::nullopt;
        }
        auto server = *listed;
        server.revision = 0;
        server.sequence.reset();
        return server;
    } catch (const platform::MalformedValue &) {
        return std::nullopt; // Reported by the receivers, which get the item as it is.
    }
}

/** @brief Finds an item that every copy of the replica's position has. Items of later pages of a list can be newer. @return Item; null if there is none. */
const member::StoreItem *findComplete(const member::StoreReplica &replica, const std::string &key)
{
    const auto *item = replica.find(key);
    return item != nullptr && item->position <= replica.position() ? item : nullptr;
}

std::uint32_t hashOfKey(const std::string &key)
{
    return serverHash(key.substr(std::min(key.size(), platform::serverPrefix.size())));
}

/** @brief Names the servers without a further report instead of those with one if they are fewer. */
void nameFewer(ListDelta &delta, const member::StoreReplica &replica)
{
    const std::set<std::uint32_t> reported(delta.reported.begin(), delta.reported.end());
    std::set<std::uint32_t> others;
    for (const auto &[key, item] : replica.items()) {
        if (reported.count(hashOfKey(key)) == 0) {
            others.insert(hashOfKey(key));
        }
    }
    for (const auto &item : delta.items) {
        others.insert(hashOfKey(item.key));
    }
    if (others.size() < reported.size()) {
        delta.isReportedAllBut = true;
        delta.reported.assign(others.begin(), others.end());
    }
}

} // namespace internal

ListDelta reduceListChanges(const member::StoreReplica &replica, const std::vector<member::StoreItem> &changes, const member::StorePosition &position)
{
    ListDelta delta;
    delta.base = replica.position();
    delta.position = position;
    std::map<std::string, const member::StoreItem *> latest;
    for (const auto &change : changes) {
        const auto earlier = latest.find(change.key);
        const auto *known = earlier == latest.end() ? internal::findComplete(replica, change.key) : earlier->second;
        const auto before = internal::serverOf(known);
        const auto after = internal::serverOf(&change);
        latest[change.key] = &change;
        if (after && before == after && after->coldRemaining.count() == 0) {
            delta.reported.push_back(serverHash(after->id));
        } else {
            delta.items.push_back(change);
        }
    }
    internal::nameFewer(delta, replica);
    return delta;
}

std::vector<std::uint32_t> reportedServers(const ListDelta &delta, const member::StoreReplica &replica)
{
    if (!delta.isReportedAllBut) {
        return delta.reported;
    }
    const std::set<std::uint32_t> others(delta.reported.begin(), delta.reported.end());
    std::vector<std::uint32_t> reported;
    for (const auto &[key, item] : replica.items()) {
        const auto hash = internal::hashOfKey(key);
        if (others.count(hash) == 0) {
            reported.push_back(hash);
        }
    }
    return reported;
}

} // namespace cyclamenspool::gateway
