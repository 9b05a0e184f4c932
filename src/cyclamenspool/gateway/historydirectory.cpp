#include <cyclamenspool/gateway/historydirectory.h>

#include <algorithm>

namespace cyclamenspool::gateway {

namespace internal {

constexpr std::size_t maxHolders = 16;
constexpr std::chrono::seconds holderExpiry{60}; /* an engine may evict a history that is unused for longer */

} // namespace internal

HistoryDirectory::HistoryDirectory(std::size_t capacity)
    : capacity_(capacity)
{
}

bool HistoryDirectory::add(const HistoryPlacement &placement, core::MonotonicTime now)
{
    const auto found = entries_.find(placement.historyKey);
    if (found != entries_.end()) {
        order_.splice(order_.begin(), order_, found->second.position);
    } else {
        order_.push_front(placement.historyKey);
        entries_[placement.historyKey].position = order_.begin();
    }
    auto &holders = entries_[placement.historyKey].holders;
    const auto known = std::find_if(holders.begin(), holders.end(), [&placement](const Holder &holder) {
        return holder.server == placement.server;
    });
    const bool isNew = known == holders.end() || now - known->usedAt > internal::holderExpiry;
    if (known != holders.end()) {
        holders.erase(known);
    }
    holders.insert(holders.begin(), {placement.server, now});
    if (holders.size() > internal::maxHolders) {
        holders.pop_back();
    }
    if (entries_.size() > capacity_) {
        entries_.erase(order_.back());
        order_.pop_back();
    }
    return isNew;
}

void HistoryDirectory::setContinuation(std::uint64_t historyKey, std::uint64_t continuation)
{
    const auto found = entries_.find(historyKey);
    if (found != entries_.end()) {
        found->second.continuation = continuation;
    }
}

std::uint64_t HistoryDirectory::continuationOf(std::uint64_t historyKey) const
{
    const auto found = entries_.find(historyKey);
    return found == entries_.end() ? 0 : found->second.continuation;
}

std::vector<std::string> HistoryDirectory::holdersOf(std::uint64_t historyKey, core::MonotonicTime now) const
{
    std::vector<std::string> servers;
    const auto found = entries_.find(historyKey);
    if (found == entries_.end()) {
        return servers;
    }
    for (const auto &holder : found->second.holders) {
        if (now - holder.usedAt <= internal::holderExpiry) {
            servers.push_back(holder.server);
        }
    }
    return servers;
}

} // namespace cyclamenspool::gateway
