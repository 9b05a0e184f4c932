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
        const char byte = partialEvent_[scanned_];
        // The LF of a CRLF that ended the event before belongs to that event, also if it arrives later.
        const bool isRestOfEventEnd = byte == '\n' && isAfterCarriageReturn_ && scanned_ == completeBytes;
        const bool isEventEnd = scanByte(byte) || isRestOfEventEnd;
        ++scanned_;
        if (isEventEnd) {
            completeBytes = scanned_;
            lineStart_ = scanned_;
        }
    }
    std::string events = partialEvent_.substr(0, completeBytes);
    partialEvent_.erase(0, completeBytes);
    scanned_ -= completeBytes;
    lineStart_ -= completeBytes;
    return events;
}

bool EventScanner::scanByte(char byte)
{
    const bool isSecondOfPair = byte == '\n' && isAfterCarriageReturn_;
    isAfterCarriageReturn_ = byte == '\r';
    if (isSecondOfPair) {
        lineStart_ = scanned_ + 1;
        return false;
    }
    if (byte != '\n' && byte != '\r') {
        return false;
    }
    const auto line = std::string_view(partialEvent_).substr(lineStart_, scanned_ - lineStart_);
    lineStart_ = scanned_ + 1;
    if (!line.empty()) {
        parseLine(line);
        return false;
    }
    if (std::exchange(hasId_, false)) {
        lastEventId_ = std::move(id_);
    }
    return true;
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
    isAfterCarriageReturn_ = false;
    hasId_ = false;
}

bool EventScanner::isOversized() const noexcept
{
    return partialEvent_.size() > internal::maxEventBytes;
}

} // namespace cyclamenspool::gateway
