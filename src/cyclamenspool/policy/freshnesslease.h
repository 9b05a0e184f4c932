#pragma once

#include <cyclamenspool/core/now.h>

namespace cyclamenspool::policy {

/**
 * @brief Detects that the process was suspended or stalled: a frequent timer renews the lease, which expires on the monotonic clock.
 *
 * Every admission, engine order and response checks it immediately before taking effect.
 */
class FreshnessLease
{
public:
    /** @brief Creates an expired lease. @param length Validity after a renewal. */
    explicit FreshnessLease(core::Milliseconds length) noexcept
        : length_(length)
    {
    }

    /** @brief Renews the lease from the given time on. */
    void renew(core::MonotonicTime at) noexcept
    {
        renewed_ = at;
        valid_ = true;
    }

    /** @brief Invalidates the lease until the next renewal. */
    void revoke() noexcept
    {
        valid_ = false;
    }

    /** @brief Returns whether the lease is valid at the given time: not revoked, and renewed at most its length ago. */
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
