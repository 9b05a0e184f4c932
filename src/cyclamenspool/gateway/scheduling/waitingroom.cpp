#include <cyclamenspool/gateway/scheduling/waitingroom.h>

#include <cyclamenspool/gateway/scheduling/workspaceusage.h>

#include <algorithm>
#include <map>
#include <tuple>

namespace cyclamenspool::gateway::scheduling {

namespace internal {

constexpr std::size_t maxWaiting = 256; /* of one service; bounds the memory that waiting requests hold */

/** @brief Order in which requests are sent: lowest first. */
using Rank = std::tuple<int, double, core::MonotonicTime>;

/** @brief Ranks requests in their order of arrival. */
class Ranking
{
public:
    Ranking(const WorkspaceUsage &usage, core::MonotonicTime now)
        : usage_(usage)
        , now_(now)
    {
    }

    [[nodiscard]] Rank rankOf(const QueuedRequest &request)
    {
        const auto [known, isNew] = used_.try_emplace({request.urgency, request.workspace}, 0.0);
        if (isNew) {
            known->second = usage_.of(request.workspace, now_);
        }
        return {request.urgency, known->second++, request.arrivedAt};
    }

private:
    const WorkspaceUsage &usage_;
    core::MonotonicTime now_;
    std::map<std::pair<int, std::string>, double> used_;
};

} // namespace internal

Ticket WaitingRoom::add(QueuedRequest request, Wake wake)
{
    if (waiting() >= internal::maxWaiting) {
        return 0;
    }
    const auto isLater = [](core::MonotonicTime time, const Entry &entry) {
        return time < entry.request.arrivedAt;
    };
    const auto position = std::upper_bound(entries_.begin(), entries_.end(), request.arrivedAt, isLater);
    entries_.insert(position, Entry{++lastTicket_, std::move(request), std::move(wake)});
    return lastTicket_;
}

bool WaitingRoom::remove(Ticket ticket)
{
    const auto found = std::find_if(entries_.begin(), entries_.end(), [ticket](const Entry &entry) {
        return entry.ticket == ticket;
    });
    if (found == entries_.end()) {
        return false;
    }
    const bool wasChosen = found->isChosen;
    chosen_ -= wasChosen ? 1 : 0;
    entries_.erase(found);
    return wasChosen;
}

Wake WaitingRoom::next(const WorkspaceUsage &usage, core::MonotonicTime now)
{
    internal::Ranking ranking(usage, now);
    Entry *first = nullptr;
    internal::Rank firstRank;
    for (auto &entry : entries_) {
        const auto rank = ranking.rankOf(entry.request);
        if (!entry.isChosen && (first == nullptr || rank < firstRank)) {
            first = &entry;
            firstRank = rank;
        }
    }
    if (first == nullptr) {
        return {};
    }
    first->isChosen = true;
    ++chosen_;
    return first->wake;
}

std::vector<Wake> WaitingRoom::all() const
{
    std::vector<Wake> wakes;
    for (const auto &entry : entries_) {
        if (!entry.isChosen) {
            wakes.push_back(entry.wake);
        }
    }
    return wakes;
}

std::size_t WaitingRoom::positionOf(const QueuedRequest &request, const WorkspaceUsage &usage, core::MonotonicTime now) const
{
    internal::Ranking ranking(usage, now);
    std::vector<internal::Rank> ranks;
    ranks.reserve(entries_.size());
    for (const auto &entry : entries_) {
        const auto rank = ranking.rankOf(entry.request);
        if (!entry.isChosen) {
            ranks.push_back(rank);
        }
    }
    const auto own = ranking.rankOf(request);
    return static_cast<std::size_t>(std::count_if(ranks.begin(), ranks.end(), [&own](const internal::Rank &rank) {
        return rank < own;
    }));
}

} // namespace cyclamenspool::gateway::scheduling
