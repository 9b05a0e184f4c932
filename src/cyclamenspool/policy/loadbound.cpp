#include <cyclamenspool/policy/loadbound.h>

#include <algorithm>
#include <numeric>

namespace cyclamenspool::policy {

namespace internal {

constexpr std::size_t minRefusals = 3; /* refusals whose mean load is used as a sample of the pool; smaller pools need fewer */

} // namespace internal

std::optional<double> LoadBound::mean(const AdmissionInput &input) noexcept
{
    const auto reachable = std::max<std::size_t>(input.poolSize, 2) - 1; /* engines that can refuse while one listed engine is down; at least 1 */
    const auto minSamples = std::min(internal::minRefusals, reachable);
    if (input.seenLoads.empty() || input.seenLoads.size() < minSamples) {
        return input.poolMean;
    }
    const double sum = std::accumulate(input.seenLoads.begin(), input.seenLoads.end(), 0.0);
    const double sampled = sum / static_cast<double>(input.seenLoads.size());
    return std::max(sampled, input.poolMean.value_or(0.0));
}

double LoadBound::limit(const AdmissionInput &input) const noexcept
{
    const auto poolMean = mean(input);
    if (!poolMean) {
        return std::min(input.coldCapacity, input.capacity);
    }
    const double bounded = std::max(loadFactor_ * *poolMean, *poolMean + std::max(input.coldCost, input.cost));
    const double floor = std::max(input.largestRequest, input.cost);
    return std::min(std::max(bounded, floor), input.capacity);
}

bool LoadBound::admits(const AdmissionInput &input) const noexcept
{
    const bool idle = input.load <= 0.0;
    return idle || input.load + input.cost <= limit(input);
}

} // namespace cyclamenspool::policy
