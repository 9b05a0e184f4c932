#include <cyclamenspool/policy/loadbound.h>

#include <algorithm>
#include <numeric>

namespace cyclamenspool::policy {

namespace internal {

constexpr std::size_t enoughSamples = 3; /* refusals that count as a sample of a large pool */

} // namespace internal

std::optional<double> LoadBound::mean(const LoadPicture &picture) noexcept
{
    const auto reachable = std::max<std::size_t>(picture.poolSize, 2) - 1; /* one engine may be down and still listed */
    const auto needed = std::min(internal::enoughSamples, reachable);
    if (picture.seenLoads.empty() || picture.seenLoads.size() < needed) {
        return picture.poolMean;
    }
    const double sum = std::accumulate(picture.seenLoads.begin(), picture.seenLoads.end(), 0.0);
    const double sampled = sum / static_cast<double>(picture.seenLoads.size());
    return std::max(sampled, picture.poolMean.value_or(0.0));
}

double LoadBound::limit(const LoadPicture &picture) const noexcept
{
    const auto poolMean = mean(picture);
    if (!poolMean) {
        return std::min(picture.coldCapacity, picture.capacity);
    }
    const double bounded = std::max(multiple_ * *poolMean, *poolMean + std::max(picture.coldCost, picture.cost));
    const double floor = std::max(picture.largestRequest, picture.cost);
    return std::min(std::max(bounded, floor), picture.capacity);
}

bool LoadBound::admits(const LoadPicture &picture) const noexcept
{
    const bool idle = picture.load <= 0.0;
    return idle || picture.load + picture.cost <= limit(picture);
}

} // namespace cyclamenspool::policy
