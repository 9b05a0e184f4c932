#include "eventqueue.h"

namespace cyclamenspool::fake {

void EventQueue::add(std::chrono::microseconds delay, Event event)
{
    events_.emplace(Key{now_.monotonic + delay, sequence_++}, std::move(event));
}

const Event *EventQueue::peek(core::MonotonicTime limit) const
{
    if (events_.empty() || events_.begin()->first.first > limit) {
        return nullptr;
    }
    return &events_.begin()->second;
}

Event EventQueue::pop()
{
    const auto first = events_.begin();
    advanceTo(first->first.first);
    Event event = std::move(first->second);
    events_.erase(first);
    return event;
}

void EventQueue::advanceTo(core::MonotonicTime to)
{
    if (to > now_.monotonic) {
        now_.wall += std::chrono::duration_cast<core::WallTime::duration>(to - now_.monotonic);
        now_.monotonic = to;
    }
}

std::vector<Event> EventQueue::removeIf(const std::function<bool(const Event &)> &matches)
{
    std::vector<Event> removed;
    for (auto event = events_.begin(); event != events_.end();) {
        if (matches(event->second)) {
            removed.push_back(std::move(event->second));
            event = events_.erase(event);
        } else {
            ++event;
        }
    }
    return removed;
}

} // namespace cyclamenspool::fake
