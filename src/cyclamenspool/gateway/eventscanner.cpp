#include <cyclamenspool/gateway/eventscanner.h>

#include <utility>

namespace cyclamenspool::gateway {

namespace internal {

constexpr std::string_view idField = "id:";
constexpr std::size_t maxEventBytes = 256UL * 1024;

} // namespace internal

std::string EventScanner::append(std::string_view bytes)
{
    partialEvent_.append(bytes);
    std::size_t completeBytes = 0;
    while (scanned_ < partialEvent_.size()) {
        const auto mark = boundary_.advance(partialEvent_[scanned_]);
        ++scanned_;
        if (mark == EventBoundary::Mark::Text) {
            continue;
        }
        if (mark == EventBoundary::Mark::LineEnd) {
            parseLine(std::string_view(partialEvent_).substr(lineStart_, scanned_ - 1 - lineStart_));
        }
        if (mark == EventBoundary::Mark::EventEnd && std::exchange(hasId_, false)) {
            lastEventId_ = std::move(id_);
        }
        // The LF of a CRLF that ended an event belongs to that event, also if it arrives later.
        completeBytes = boundary_.isInsideEvent() ? completeBytes : scanned_;
        lineStart_ = scanned_;
    }
    std::string events = partialEvent_.substr(0, completeBytes);
    partialEvent_.erase(0, completeBytes);
    scanned_ -= completeBytes;
    lineStart_ -= completeBytes;
    return events;
}

void EventScanner::parseLine(std::string_view line)
{
    if (line.substr(0, internal::idField.size()) != internal::idField) {
        return;
    }
    line.remove_prefix(internal::idField.size());
    const auto first = line.find_first_not_of(' ');
    const auto last = line.find_last_not_of(' ');
    hasId_ = true;
    id_ = first == std::string_view::npos ? std::string() : std::string(line.substr(first, last - first + 1));
}

void EventScanner::discardPartialEvent() noexcept
{
    partialEvent_.clear();
    scanned_ = 0;
    lineStart_ = 0;
    boundary_ = {};
    hasId_ = false;
}

bool EventScanner::isOversized() const noexcept
{
    return partialEvent_.size() > internal::maxEventBytes;
}

} // namespace cyclamenspool::gateway
