#pragma once

#include <cstddef>
#include <optional>
#include <vector>

namespace cyclamenspool::policy {

/** @brief Inputs to the admission of one request by an engine's agent. Loads, costs and capacities are outstanding tokens per unit of weight. */
struct AdmissionInput {
    double load = 0.0; /**< Current load of this engine. */
    double cost = 0.0; /**< Load that the request adds; the cached part of its prompt adds none. */
    double coldCost = 0.0; /**< Load that the request would add to an engine that caches none of its history. */
    std::optional<double> poolMean; /**< Estimated mean load of the pool; none before the first estimate or when it is stale. */
    std::vector<double> seenLoads; /**< Loads of the engines that have just refused this request at their load limit; a sample of the pool's current load. */
    std::size_t poolSize = 1; /**< Number of engines in the pool that accept work. */
    double largestRequest = 0.0; /**< Largest cost of a recent request. */
    double capacity = 0.0; /**< Current capacity of the engine, reduced during a cold start. */
    double coldCapacity = 0.0; /**< Capacity of the engine at the beginning of a cold start. */
};

/**
 * @brief Admits requests to an engine while its load stays within a configured multiple of the pool's mean load.
 *
 * The limit is the larger of the multiple of the mean and the mean plus this request's cold cost. The latter is the load that an
 * engine at the mean reaches if it admits the request without having the chat's history cached; up to that load, an engine that
 * caches the history is no worse a choice. At least one engine is always at or below the mean, so a request is admitted somewhere
 * while the pool has capacity. The limit is at least the largest recent request and at most the engine's capacity. The estimated
 * mean lags behind a rising load; once several engines have refused the request, the mean of their loads is a current sample and
 * is used if it is higher or if there is no estimate. Without either mean the limit is the cold capacity, which is safe without
 * knowledge of other engines.
 *
 * An idle engine admits any request.
 */
class LoadBound
{
public:
    /** @brief Creates a bound. @param loadFactor Largest load as a multiple of the pool's mean. */
    explicit LoadBound(double loadFactor) noexcept
        : loadFactor_(loadFactor)
    {
    }

    /** @brief Returns the load limit, in outstanding tokens per unit of weight. */
    [[nodiscard]] double limit(const AdmissionInput &input) const noexcept;

    /** @brief Returns whether the engine admits the request: it is idle or stays within the limit. */
    [[nodiscard]] bool admits(const AdmissionInput &input) const noexcept;

private:
    [[nodiscard]] static std::optional<double> mean(const AdmissionInput &input) noexcept;

    double loadFactor_;
};

} // namespace cyclamenspool::policy
