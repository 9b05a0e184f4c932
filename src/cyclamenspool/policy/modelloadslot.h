#pragma once

#include <cyclamenspool/core/now.h>

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace cyclamenspool::policy {

/**
 * @brief Time slots in which an agent may start to load model weights; limits the fleet's rate of loads without coordination.
 *
 * Wall-clock time is divided into rounds with one slot per VM; a slot lasts one second divided by the allowed loads per second.
 * An agent starts a load only in the slot of its rank. While all agents have the same VM list, at most one starts in a slot.
 * The slots of VMs without an engine stay unused.
 */
class ModelLoadSlot
{
public:
    /**
     * @brief Creates the slots of one agent.
     * @param rank Position of the agent's VM in the VM list.
     * @param vmCount Size of the VM list.
     * @param loadsPerSecond Loads per second that the weight store supports; a slot lasts at least 1 ms.
     */
    ModelLoadSlot(std::size_t rank, std::size_t vmCount, double loadsPerSecond) noexcept
        : slot_(std::chrono::duration_cast<core::Milliseconds>(std::chrono::duration<double>(1.0 / loadsPerSecond)))
        , rank_(rank)
        , vmCount_(std::max<std::size_t>(vmCount, 1))
    {
        slot_ = std::max(slot_, core::Milliseconds(1));
    }

    /** @brief Returns the time until the agent's next slot; zero within the slot. */
    [[nodiscard]] core::Milliseconds waitTime(core::WallTime wall) const noexcept
    {
        const auto round = slot_ * static_cast<long>(vmCount_);
        const auto elapsed = std::chrono::duration_cast<core::Milliseconds>(wall.time_since_epoch()) % round;
        const auto begin = slot_ * static_cast<long>(rank_ % vmCount_);
        if (elapsed >= begin && elapsed < begin + slot_) {
            return core::Milliseconds(0);
        }
        return begin > elapsed ? begin - elapsed : begin + round - elapsed;
    }

private:
    core::Milliseconds slot_;
    std::size_t rank_;
    std::size_t vmCount_;
};

} // namespace cyclamenspool::policy
