#include <cyclamenspool/gateway/eventscanner.h>

namespace cyclamenspool::gateway {

namespace internal {

constexpr std::string_view idField = "id:";

/** @brief Finds the end of the first event. @return Position after its blank line; npos if the event is incomplete. */
std::size_t endOfEvent(std::string_view text)
{
    for (std::size_t at = text.find('\n'); at != std::string_view::npos; at = text.find('\n', at + 1)) {
        auto next = at + 1;
        if (next < text.size() && text[next] == '\r') {
            ++next;
        }
        if (next < text.size() && text[next] == '\n') {
            return next + 1;
        }
    }
    return std::string_view::npos;
}

} // namespace internal

std::string EventScanner::append(std::string_view bytes)
{
    partialEvent_.append(bytes);
    std::size_t completeBytes = 0;
    for (;;) {
        const auto event = std::string_view(partialEvent_).substr(completeBytes);
        const auto end = internal::endOfEvent(event);
        if (end == std::string_view::npos) {
            break;
        }
        parseId(event.substr(0, end));
        completeBytes += end;
    }
    std::string events = partialEvent_.substr(0, completeBytes);
    partialEvent_.erase(0, completeBytes);
    return events;
}

void EventScanner::parseId(std::string_view event)
{
    while (!event.empty()) {
        const auto end = event.find('\n');
        auto line = event.substr(0, end);
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
        if (line.substr(0, internal::idField.size()) != internal::idField) {
            continue;
        }
        line.remove_prefix(internal::idField.size());
        const auto first = line.find_first_not_of(' ');
        const auto last = line.find_last_not_of(" \r");
        lastEventId_ = first == std::string_view::npos ? std::string() : std::string(line.substr(first, last - first + 1));
    }
}

} // namespace cyclamenspool::gateway
