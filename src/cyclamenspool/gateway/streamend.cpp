#include <cyclamenspool/gateway/streamend.h>

namespace cyclamenspool::gateway {

const char *incompleteReason(const StreamEnd &end) noexcept
{
    if (end.isInsideEvent) {
        return "the stream ended inside an event";
    }
    // A crash also ends a connection; only an event or a framed end shows that there was a stream. A resumed stream may have no event left.
    if (end.bodyEnd == BodyEnd::ConnectionClose && !end.hasEvents && !end.isResumed) {
        return "the connection ended before the stream's first event";
    }
    return nullptr;
}

} // namespace cyclamenspool::gateway
