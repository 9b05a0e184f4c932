#pragma once

#include <cyclamenspool/core/now.h>
#include <cyclamenspool/member/storeposition.h>

namespace cyclamenspool::gateway {

/**
 * @brief Limits how often a gateway asks peers for their copy of one section of the store. Does no I/O. Not thread safe.
 *
 * The peer that was asked may lag as well, so a request does not delay one to a peer with a later copy.
 */
class CopyRequestLimit
{
public:
    /**
     * @brief Returns whether a copy may be requested: at once for a later era, after 0.3 s for a later position than the last one requested or while the store
     * is unavailable, else after 1 s.
     * @param position Position that the peer reports.
     * @param isStoreUnavailable Whether the gateway's own calls fail; false if one is only overdue.
     * @param now Current time.
     */
    [[nodiscard]] bool isAllowed(const member::StorePosition &position, bool isStoreUnavailable, core::MonotonicTime now) const noexcept;

    /** @brief Records a request. @param position Position that the peer reports. @param now Current time. */
    void onRequested(const member::StorePosition &position, core::MonotonicTime now) noexcept;

private:
    core::MonotonicTime requestedAt_{};
    member::StorePosition position_; /* empty: none requested yet */
};

} // namespace cyclamenspool::gateway
