#pragma once

#include <cyclamenspool/core/now.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenspool::fake {

/** @brief Event that is due at an emulated process. */
struct Event {
    std::string label; /**< Kind of the event; a test can run until just before it. */
    std::string process; /**< Process that handles the event. */
    std::function<void()> deliver; /**< Handles the event. */
};

/** @brief Queue of timed events with a fake clock. Events that are due at the same time keep the order in which they were added. */
class EventQueue
{
public:
    /** @brief Adds an event. @param delay Time from now until it is due. @param event Event. */
    void add(std::chrono::microseconds delay, Event event);

    /** @brief Returns the fake time on the monotonic and the wall clock. */
    [[nodiscard]] core::Now now() const noexcept
    {
        return now_;
    }

    /** @brief Returns the next event without removing it. @param limit Latest due time. @return Event; null if none is due by then. */
    [[nodiscard]] const Event *peek(core::MonotonicTime limit) const;

    /** @brief Removes and returns the next event and advances the clock to its time. The queue must not be empty. */
    [[nodiscard]] Event pop();

    /** @brief Advances both clocks. @param to New monotonic time; an earlier time than now is ignored. */
    void advanceTo(core::MonotonicTime to);

    /** @brief Removes the events that match a predicate. @return Removed events in the order of their times. */
    std::vector<Event> removeIf(const std::function<bool(const Event &)> &matches);

private:
    using Key = std::pair<core::MonotonicTime, std::uint64_t>;

    std::map<Key, Event> events_;
    std::uint64_t sequence_ = 0;
    core::Now now_{core::MonotonicTime(std::chrono::hours(1)), core::WallTime(std::chrono::hours(24 * 365 * 56))};
};

} // namespace cyclamenspool::fake
