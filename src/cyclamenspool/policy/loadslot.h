#pragma once

#include <cyclamenspool/core/now.h>

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace cyclamenspool::policy {

/**
 * @brief Gives each agent its own time slots for reading the weight store, so that the fleet keeps the store's rate unasked.
 *
 * Time is divided into rounds of as many slots as the fleet needs at the store's rate; an agent starts a load only in the
 * slot of its rank. While the agents agree on the list, no more than one of them starts in a slot.
 */
class LoadSlot
{
public:
    /** @brief Creates the slots of one agent. @param rank Rank in the list. @param members Size of the list. @param rate Loads a second that the store bears.
     */
    LoadSlot(std::size_t rank, std::size_t members, double rate) noexcept
        : slot_(std::chrono::duration_cast<core::Milliseconds>(std::chrono::duration<double>(1.0 / rate)))
        , rank_(rank)
        , members_(std::max<std::size_t>(members, 1))
    {
        slot_ = std::max(slot_, core::Milliseconds(1));
    }

    /** @brief Returns the wait until the agent's next slot. @param wall Time. @return Wait; zero inside the slot. */
    [[nodiscard]] core::Milliseconds wait(core::WallTime wall) const noexcept
    {
        const auto round = slot_ * static_cast<long>(members_);
        const auto since = std::chrono::duration_cast<core::Milliseconds>(wall.time_since_epoch()) % round;
        const auto begin = slot_ * static_cast<long>(rank_ % members_);
        if (since >= begin && since < begin + slot_) {
            return core::Milliseconds(0);
        }
        return begin > since ? begin - since : begin + round - since;
    }

private:
    core::Milliseconds slot_;
    std::size_t rank_;
    std::size_t members_;
};

} // namespace cyclamenspool::policy
