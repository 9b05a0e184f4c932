#pragma once

#include <cyclamenspool/core/now.h>

#include <cstdint>

namespace cyclamenspool::gateway {

/** @brief Latest era of the platform's store that a gateway knows, from the store or from peers. It never goes back. Not thread safe. */
class StoreEra
{
public:
    /** @brief Handles a report of an era. @param era Era. @param now Current time. @return True if it is later than the latest known one. */
    bool onReported(std::uint64_t era, core::MonotonicTime now) noexcept
    {
        if (era <= era_) {
            return false;
        }
        era_ = era;
        since_ = now;
        return true;
    }

    /** @brief Returns the latest known era; 0 before the first report, and for a store without eras. */
    [[nodiscard]] std::uint64_t value() const noexcept
    {
        return era_;
    }

    /** @brief Returns whether an era has ended, so that a response or a copy of it must not be used. */
    [[nodiscard]] bool hasEnded(std::uint64_t era) const noexcept
    {
        return era < era_;
    }

    /** @brief Returns the time since the latest era became known. */
    [[nodiscard]] core::Milliseconds age(core::MonotonicTime now) const noexcept
    {
        return std::chrono::duration_cast<core::Milliseconds>(now - since_);
    }

private:
    std::uint64_t era_ = 0;
    core::MonotonicTime since_{};
};

} // namespace cyclamenspool::gateway
