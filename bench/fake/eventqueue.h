#pragma once

#include <cyclamenspool/core/now.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenspool::fake {

/** @brief One thing that is about to happen at a process. */
struct Event {
    std::string label; /**< Step of a request, for stopping just before it. */
    std::string process; /**< Process at which it happens. */
    std::function<void()> deliver;
};

/** @brief Events in the order of their times on a fake clock; events of one time keep the order in which they were added. */
class EventQueue
{
public:
    /** @brief Adds an event. @param delay Time from now. @param event Event. */
    void add(std::chrono::microseconds delay, Event event);

    /** @brief Returns the time. @return Fake time on both clocks. */
    [[nodiscard]] core::Now now() const noexcept
    {
        return now_;
    }

    /** @brief Returns the next event that is due within a time. @param limit Time. @return Event; null if none is due. */
    [[nodiscard]] const Event *next(core::MonotonicTime limit) const;

    /** @brief Removes the next event and moves the clock to its time. @return Event. */
    [[nodiscard]] Event pop();

    /** @brief Moves the clock. @param to Time, not before the present one. */
    void advanceTo(core::MonotonicTime to);

    /** @brief Removes events. @param matches Predicate. @return Events removed, in order. */
    std::vector<Event> removeIf(const std::function<bool(const Event &)> &matches);

private:
    using Key = std::pair<core::MonotonicTime, std::uint64_t>;

    std::map<Key, Event> events_;
    std::uint64_t sequence_ = 0;
    core::Now now_{core::MonotonicTime(std::chrono::hours(1)), core::WallTime(std::chrono::hours(24 * 365 * 56))};
};

} // namespace cyclamenspool::fake
