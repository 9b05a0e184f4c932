#pragma once

#include <algorithm>

namespace cyclamenspool::policy {

/** @brief Limits retries to a fraction of first attempts, plus a small reserve for periods with few requests. */
class RetryBudget
{
public:
    /** @brief Creates a full budget. @param ratio Retries allowed per first attempt. @param reserve Maximum number of retries that accumulate. */
    RetryBudget(double ratio, double reserve) noexcept
        : ratio_(ratio)
        , reserve_(reserve)
        , available_(reserve)
    {
    }

    /** @brief Records the first attempt of a request. */
    void onFirstAttempt() noexcept
    {
        available_ = std::min(reserve_, available_ + ratio_);
    }

    /** @brief Consumes one retry if the budget allows it. @return Whether the retry is allowed. */
    [[nodiscard]] bool take() noexcept
    {
        if (available_ < 1.0) {
            return false;
        }
        available_ -= 1.0;
        return true;
    }

private:
    double ratio_;
    double reserve_;
    double available_;
};

} // namespace cyclamenspool::policy
