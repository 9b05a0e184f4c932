#include <cyclamenspool/gateway/historydirectory.h>

#include <algorithm>

namespace cyclamenspool::gateway {

namespace internal {

constexpr std::size_t holdersKept = 4;

} // namespace internal

HistoryDirectory::HistoryDirectory(std::size_t capacity)
    : capacity_(capacity)
{
}

void HistoryDirectory::add(std::uint64_t history, const std::string &server)
{
    const auto found = entries_.find(history);
    if (found != entries_.end()) {
        order_.splice(order_.begin(), order_, found->second.place);
    } else {
        order_.push_front(history);
        entries_[history].place = order_.begin();
    }
    auto &holders = entries_[history].holders;
    holders.erase(std::remove(holders.begin(), holders.end(), server), holders.end());
    holders.insert(holders.begin(), server);
    if (holders.size() > internal::holdersKept) {
        holders.pop_back();
    }
    if (entries_.size() > capacity_) {
        entries_.erase(order_.back());
        order_.pop_back();
    }
}

const std::vector<std::string> &HistoryDirectory::holdersOf(std::uint64_t history) const
{
    static const std::vector<std::string> none;
    const auto found = entries_.find(history);
    return found == entries_.end() ? none : found->second.holders;
}

} // namespace cyclamenspool::gateway
