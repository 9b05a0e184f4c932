#pragma once

#include <cyclamenspool/core/now.h>

#include <chrono>
#include <cstddef>

namespace cyclamenspool::wire {

/**
 * @brief Decides how long a connection stays open for its peer to receive what was sent.
 *
 * A close over unread bytes resets the connection, and a reset discards what the peer has not acknowledged.
 */
class DeliveryWatch
{
public:
    /** @brief Counts bytes received from the peer as progress. @param now Current time. */
    void onReceived(core::MonotonicTime now) noexcept
    {
        lastProgressAt_ = now;
    }

    /**
     * @brief Returns whether to keep the connection open; called again and again until it need not be.
     * @param unacknowledgedBytes Bytes that the peer has not acknowledged, see unacknowledgedBytes().
     * @param now Current time.
     * @param maxPause Longest time without progress of the peer.
     * @return False once all bytes are acknowledged, or none was within the longest pause.
     */
    [[nodiscard]] bool isPending(std::size_t unacknowledgedBytes, core::MonotonicTime now, std::chrono::milliseconds maxPause) noexcept
    {
        if (lastProgressAt_ == core::MonotonicTime{} || unacknowledgedBytes < lastUnacknowledged_) {
            lastProgressAt_ = now;
            lastUnacknowledged_ = unacknowledgedBytes;
        }
        return unacknowledgedBytes > 0 && now - lastProgressAt_ < maxPause;
    }

private:
    std::size_t lastUnacknowledged_ = 0;
    core::MonotonicTime lastProgressAt_{};
};

} // namespace cyclamenspool::wire
