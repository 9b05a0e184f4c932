#include <cyclamenspool/gateway/missedchange.h>

namespace cyclamenspool::gateway {

bool MissedChange::onPeerPosition(const member::StorePosition &peer,
                                  const member::StorePosition &own,
                                  core::Milliseconds overdueTime,
                                  core::MonotonicTime now) noexcept
{
    if (since_ && position_ <= own) {
        since_.reset();
    }
    if (!since_ && peer > own) {
        position_ = peer;
        since_ = now;
    }
    return since_ && peer > own && now - *since_ >= overdueTime;
}

} // namespace cyclamenspool::gateway
