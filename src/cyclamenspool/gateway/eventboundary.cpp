#include <cyclamenspool/gateway/eventboundary.h>

#include <utility>

namespace cyclamenspool::gateway {

EventBoundary::Mark EventBoundary::advance(char byte) noexcept
{
    const bool isAfterCarriageReturn = std::exchange(isAfterCarriageReturn_, byte == '\r');
    if (byte == '\n' && isAfterCarriageReturn) {
        return Mark::RestOfLineEnd;
    }
    if (byte != '\n' && byte != '\r') {
        isLineBlank_ = false;
        isInsideEvent_ = true;
        return Mark::Text;
    }
    const bool isEventEnd = std::exchange(isLineBlank_, true);
    isInsideEvent_ = isInsideEvent_ && !isEventEnd;
    return isEventEnd ? Mark::EventEnd : Mark::LineEnd;
}

void EventBoundary::advance(std::string_view bytes) noexcept
{
    for (const char byte : bytes) {
        static_cast<void>(advance(byte));
    }
}

} // namespace cyclamenspool::gateway
