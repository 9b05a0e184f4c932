#include <cyclamenspool/gateway/unprovedend.h>

namespace cyclamenspool::gateway {

EndCheck checkOf(const ResponseEnd &end) noexcept
{
    const bool isRestWanted = end.bodyEnd == BodyEnd::ConnectionClose && end.isResumable && !end.isEmptyRest;
    return isRestWanted && end.isAttemptLeft ? EndCheck::OtherServer : EndCheck::None;
}

} // namespace cyclamenspool::gateway
