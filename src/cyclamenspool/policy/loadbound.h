#pragma once

#include <optional>

namespace cyclamenspool::policy {

/** @brief What an engine's agent knows when it decides on one request. Loads are outstanding tokens per unit of weight. */
struct LoadPicture {
    double load = 0.0; /**< This engine's own load. */
    double cost = 0.0; /**< What the request adds. */
    std::optional<double> poolMean; /**< Estimated mean of the pool; none before the first estimate or when it is stale. */
    double largestRequest = 0.0; /**< Largest cost of one request seen lately. */
    double capacity = 0.0; /**< What the engine bears now, cold start included. */
    double coldCapacity = 0.0; /**< What the engine bears even when cold. */
};

/**
 * @brief Decides whether an engine may take a request without passing the table's multiple of the pool's mean load.
 *
 * An idle engine may always take one request. Below the floor of one largest request the multiple does not apply.
 * Without an estimate the engine keeps to its cold capacity, which is safe alone.
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
    double multiple_;
};

} // namespace cyclamenspool::policy
