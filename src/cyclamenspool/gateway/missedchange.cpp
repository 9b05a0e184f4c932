#include <cyclamenspool/gateway/missedchange.h>

namespace cyclamenspool::gateway {

bool MissedChange::onPeerRevision(std::uint64_t peerRevision, std::uint64_t ownRevision, core::Milliseconds overdueTime, core::MonotonicTime now) noexcept
{
    if (since_ && revision_ <= ownRevision) {
        since_.reset();
    }
    if (!since_ && peerRevision > ownRevision) {
        revision_ = peerRevision;
        since_ = now;
    }
    return since_ && peerRevision > ownRevision && now - *since_ >= overdueTime;
}

} // namespace cyclamenspool::gateway
