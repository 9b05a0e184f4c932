#pragma once

#include <cyclamenspool/core/now.h>

#include <chrono>
#include <cstddef>
#include <deque>

namespace cyclamenspool::policy {

/** @brief Counts the events within a sliding time window; keeps the time of each event until count() finds it outside the window. */
class SlidingWindowCounter
{
public:
    /** @brief Creates an empty counter. @param window Length of the time window. */
    explicit SlidingWindowCounter(std::chrono::nanoseconds window)
        : window_(window)
    {
    }

    /** @brief Changes the length of the window. Events that an earlier, shorter window has dropped stay dropped. */
    void setWindow(std::chrono::nanoseconds window) noexcept
    {
        window_ = window;
    }

    /** @brief Records an event. @param now Time of the event; not earlier than the previous one. */
    void add(core::MonotonicTime now)
    {
        times_.push_back(now);
    }

    /** @brief Returns the number of events in the window that ends at the given time, and discards older ones. */
    [[nodiscard]] std::size_t count(core::MonotonicTime now)
    {
        while (!times_.empty() && times_.front() + window_ <= now) {
            times_.pop_front();
        }
        return times_.size();
    }

private:
    std::chrono::nanoseconds window_;
    std::deque<core::MonotonicTime> times_;
};

} // namespace cyclamenspool::policy
