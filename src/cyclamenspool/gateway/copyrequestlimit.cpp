#include <cyclamenspool/gateway/copyrequestlimit.h>

#include <algorithm>

namespace cyclamenspool::gateway {

namespace internal {

constexpr core::Milliseconds minRequestInterval{300};
constexpr core::Milliseconds minRepeatInterval{1000}; /* while the store is available; a slow store delays many gateways at once */

} // namespace internal

bool CopyRequestLimit::isAllowed(const member::StorePosition &position, bool isStoreUnavailable, core::MonotonicTime now) const noexcept
{
    if (position_.isEmpty() || position.era != position_.era) {
        return true;
    }
    const bool isRepeat = position <= position_ && !isStoreUnavailable;
    const core::MonotonicTime::duration interval = isRepeat ? internal::minRepeatInterval : internal::minRequestInterval;
    return now - requestedAt_ >= std::max(interval, lastDuration_);
}

void CopyRequestLimit::onRequested(const member::StorePosition &position, core::MonotonicTime now) noexcept
{
    requestedAt_ = now;
    position_ = position;
}

void CopyRequestLimit::onReceived(core::MonotonicTime now) noexcept
{
    lastDuration_ = std::min<core::MonotonicTime::duration>(now - requestedAt_, internal::minRepeatInterval);
}

} // namespace cyclamenspool::gateway
