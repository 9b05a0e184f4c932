#pragma once

#include <cstddef>
#include <optional>
#include <vector>

namespace cyclamenspool::policy {

/** @brief What an engine's agent knows when it decides on one request. Loads are outstanding tokens per unit of weight. */
struct LoadPicture {
    double load = 0.0; /**< This engine's own load. */
    double cost = 0.0; /**< What the request adds; the warm part of its prompt adds nothing. */
    double coldCost = 0.0; /**< What the request would add on an engine that has none of its history. */
    std::optional<double> poolMean; /**< Estimated mean of the pool; none before the first estimate or when it is stale. */
    std::vector<double> seenLoads; /**< Loads of the engines that have just refused this request at their bound. */
    std::size_t poolSize = 1; /**< Engines of the pool that take work. */
    double largestRequest = 0.0; /**< Largest cost of one request seen lately. */
    double capacity = 0.0; /**< What the engine bears now, cold start included. */
    double coldCapacity = 0.0; /**< What the engine bears even when cold. */
};

/**
 * @brief Decides whether an engine may take a request without passing the table's multiple of the pool's mean load.
 *
 * The limit is the larger of the multiple of the mean and the mean plus this request's cold cost: elsewhere the request
 * would add that much to an engine at the mean, so a warm engine takes it while that is no worse. Some engine is always at or
 * under the mean, so a request finds a place while the pool has capacity. Below the floor of one largest request the multiple does not
 * apply. The estimate lags behind a rising load; when several engines have refused, their loads are a fresh sample and raise
 * the mean. Without an estimate the engine keeps to its cold capacity, which is safe alone.
 */
class LoadBound
{
public:
    /** @brief Creates a bound. @param multiple Largest load as a multiple of the mean. */
    explicit LoadBound(double multiple) noexcept
        : multiple_(multiple)
    {
    }

    /** @brief Returns the largest load allowed. @param picture Known loads. @return Tokens per unit of weight. */
    [[nodiscard]] double limit(const LoadPicture &picture) const noexcept;

    /** @brief Decides on a request. @param picture Known loads. @return True if it may be taken. */
    [[nodiscard]] bool admits(const LoadPicture &picture) const noexcept;

private:
    [[nodiscard]] static std::optional<double> mean(const LoadPicture &picture) noexcept;

    double multiple_;
};

} // namespace cyclamenspool::policy
