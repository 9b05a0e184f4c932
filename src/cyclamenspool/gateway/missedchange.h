#pragma once

#include <cyclamenspool/core/now.h>
#include <cyclamenspool/member/storeposition.h>

#include <optional>

namespace cyclamenspool::gateway {

/**
 * @brief Detects from the positions that peers report that this gateway has missed a change of the store.
 *
 * A watch whose answer was lost, or whose connection no longer carries data, ends only after its timeout; the peers' watches were answered.
 */
class MissedChange
{
public:
    /**
     * @brief Handles a peer's report of the latest change that it knows.
     * @param peer Position of that change.
     * @param own Position up to which this gateway knows all changes.
     * @param overdueTime Time that the gateway's own watch may take to return the change.
     * @param now Current time.
     * @return True if a change has been missing for that long.
     */
    [[nodiscard]] bool onPeerPosition(const member::StorePosition &peer,
                                      const member::StorePosition &own,
                                      core::Milliseconds overdueTime,
                                      core::MonotonicTime now) noexcept;

    /** @brief Returns the time since the first report of a change that is missing; zero if none is. @param now Current time. */
    [[nodiscard]] core::MonotonicTime::duration missingTime(core::MonotonicTime now) const noexcept
    {
        return since_ ? now - *since_ : core::MonotonicTime::duration(0);
    }

private:
    member::StorePosition position_; /* of the earliest reported change that is missing */
    std::optional<core::MonotonicTime> since_;
};

} // namespace cyclamenspool::gateway
