#pragma once

#include <cyclamenspool/core/now.h>

namespace cyclamenspool::policy {

/**
 * @brief Detects that the process was suspended or stalled: a frequent timer renews the lease, which expires on the monotonic clock.
 *
 * Checked immediately before each admission of a request, each order to an engine to load a model, and each response.
 */
class FreshnessLease
{
public:
    /** @brief Creates a lease that is invalid until its first renewal. @param length Validity after a renewal. */
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
