#pragma once

#include <cyclamenspool/core/now.h>

#include <chrono>
#include <cstddef>
#include <deque>

namespace cyclamenspool::policy {

/** @brief Counts events within a sliding window. */
class SlidingCounter
{
public:
    /** @brief Creates an empty counter. @param window Length of the window. */
    explicit SlidingCounter(std::chrono::nanoseconds window)
        : window_(window)
    {
    }

    /** @brief Adds an event. @param now Its time; not before the last one. */
    void add(core::MonotonicTime now)
    {
        times_.push_back(now);
    }

    /** @brief Counts the events of the window that ends now. @param now Time. @return Count. */
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
