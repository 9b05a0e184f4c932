#pragma once

#include <cyclamenspool/core/now.h>

namespace cyclamenspool::policy {

/**
 * @brief Detects that the process was frozen: the lease is renewed by a frequent timer and runs out on the monotonic clock.
 *
 * Every admission, order and answer checks it immediately before acting.
 */
class FreshnessLease
{
public:
    /** @brief Creates a lease that has run out. @param length Length. */
    explicit FreshnessLease(core::Milliseconds length) noexcept
        : length_(length)
    {
    }

    /** @brief Renews the lease. @param at Time. */
    void renew(core::MonotonicTime at) noexcept
    {
        renewed_ = at;
        valid_ = true;
    }

    /** @brief Ends the lease until the next renewal. */
    void revoke() noexcept
    {
        valid_ = false;
    }

    /** @brief Tells whether the lease holds. @param at Time. @return True if it was renewed within its length. */
    [[nodiscard]] bool holds(core::MonotonicTime at) const noexcept
    {
        return valid_ && at - renewed_ <= length_;
    }

private:
    core::Milliseconds length_;
    core::MonotonicTime renewed_{};
    bool valid_ = false;
};

} // namespace cyclamenspool::policy
