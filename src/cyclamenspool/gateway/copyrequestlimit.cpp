#include <cyclamenspool/gateway/copyrequestlimit.h>

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
    return now - requestedAt_ >= (isRepeat ? internal::minRepeatInterval : internal::minRequestInterval);
}

void CopyRequestLimit::onRequested(const member::StorePosition &position, core::MonotonicTime now) noexcept
{
    requestedAt_ = now;
    position_ = position;
}

} // namespace cyclamenspool::gateway
