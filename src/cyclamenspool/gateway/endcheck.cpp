#include <cyclamenspool/gateway/endcheck.h>

namespace cyclamenspool::gateway {

EndCheck checkOf(const ResponseEnd &end) noexcept
{
    if (end.bodyEnd != BodyEnd::ConnectionClose) {
        return EndCheck::Framing;
    }
    const bool isRestWanted = end.isResumable && !end.isEmptyRest;
    return isRestWanted && end.isAttemptLeft ? EndCheck::OtherServer : EndCheck::Presence;
}

} // namespace cyclamenspool::gateway
