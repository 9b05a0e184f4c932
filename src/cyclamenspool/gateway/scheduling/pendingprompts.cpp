#include <cyclamenspool/gateway/scheduling/pendingprompts.h>

#include <algorithm>

namespace cyclamenspool::gateway::scheduling {

std::size_t urgencyIndex(int urgency) noexcept
{
    return static_cast<std::size_t>(std::clamp(urgency, 0, static_cast<int>(urgencyCount) - 1));
}

void PendingPrompts::add(const PromptWork &work) noexcept
{
    auto &sum = sums_[urgencyIndex(work.urgency)];
    sum.tokens += work.tokens;
    sum.requests += 1;
}

void PendingPrompts::remove(const PromptWork &work) noexcept
{
    auto &sum = sums_[urgencyIndex(work.urgency)];
    sum.tokens -= work.tokens;
    sum.requests -= 1;
}

PromptSum PendingPrompts::upTo(int urgency) const noexcept
{
    PromptSum total;
    for (std::size_t i = 0; i <= urgencyIndex(urgency); ++i) {
        total.tokens += sums_[i].tokens;
        total.requests += sums_[i].requests;
    }
    return total;
}

} // namespace cyclamenspool::gateway::scheduling
