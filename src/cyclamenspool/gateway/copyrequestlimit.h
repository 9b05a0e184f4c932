#pragma once

#include <cyclamenspool/core/now.h>
#include <cyclamenspool/member/storeposition.h>

namespace cyclamenspool::gateway {

/**
 * @brief Limits how often a gateway asks peers for their copy of one section of the store. Does no I/O. Not thread safe.
 *
 * The peer that was asked may lag as well, so a request does not delay one to a peer with a later copy. On a slow link a copy takes longer than the interval
 * between requests; the next one waits as long as the last copy took, so that copies do not slow each other down more and more.
 */
class CopyRequestLimit
{
public:
    /**
     * @brief Returns whether a copy may be requested: at once for a later era, after 0.3 s for a later position than the last one requested or while the store
     * is unavailable, else after 1 s; not before the time that the last copy took, up to 1 s.
     * @param position Position that the peer reports.
     * @param isStoreUnavailable Whether the gateway's own calls fail; false if one is only overdue.
     * @param now Current time.
     */
    [[nodiscard]] bool isAllowed(const member::StorePosition &position, bool isStoreUnavailable, core::MonotonicTime now) const noexcept;

    /** @brief Records a request. @param position Position that the peer reports. @param now Current time. */
    void onRequested(const member::StorePosition &position, core::MonotonicTime now) noexcept;

    /** @brief Records that the copy requested last has arrived. @param now Current time. */
    void onReceived(core::MonotonicTime now) noexcept;

private:
    core::MonotonicTime requestedAt_{};
    core::MonotonicTime::duration lastDuration_{}; /* from a request to its copy */
    member::StorePosition position_; /* empty: none requested yet */
};

} // namespace cyclamenspool::gateway
