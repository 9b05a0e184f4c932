#pragma once

#include <algorithm>

namespace cyclamenspool::policy {

/** @brief Bounds retries to a fraction of fresh requests, with a small reserve for quiet times. */
class RetryBudget
{
public:
    /** @brief Creates a full budget. @param ratio Retries per fresh request. @param reserve Largest number of saved retries. */
    RetryBudget(double ratio, double reserve) noexcept
        : ratio_(ratio)
        , reserve_(reserve)
        , saved_(reserve)
    {
    }

    /** @brief Counts a fresh request. */
    void onFreshRequest() noexcept
    {
        saved_ = std::min(reserve_, saved_ + ratio_);
    }

    /** @brief Takes a retry from the budget. @return True if one was left. */
    [[nodiscard]] bool take() noexcept
    {
        if (saved_ < 1.0) {
            return false;
        }
        saved_ -= 1.0;
        return true;
    }

private:
    double ratio_;
    double reserve_;
    double saved_;
};

} // namespace cyclamenspool::policy
