#pragma once

#include <cyclamenspool/core/now.h>

#include <algorithm>
#include <chrono>

namespace cyclamenspool::policy {

/** @brief Token bucket whose rate and depth may change while it runs. */
class TokenBucket
{
public:
    /** @brief Creates a full bucket. @param rate Tokens a second. @param depth Largest content. @param at Time. */
    TokenBucket(double rate, double depth, core::MonotonicTime at) noexcept
        : rate_(rate)
        , depth_(depth)
        , content_(depth)
        , updated_(at)
    {
    }

    /** @brief Changes rate and depth. @param rate Tokens a second. @param depth Largest content. @param at Time. */
    void configure(double rate, double depth, core::MonotonicTime at) noexcept
    {
        refill(at);
        rate_ = rate;
        depth_ = depth;
        content_ = std::min(content_, depth_);
    }

    /** @brief Takes a token. @param at Time. @return True if there was one. */
    [[nodiscard]] bool take(core::MonotonicTime at) noexcept
    {
        refill(at);
        if (content_ < 1.0) {
            return false;
        }
        content_ -= 1.0;
        return true;
    }

    /** @brief Returns the wait for a token. @param at Time. @return Time until one token is there. */
    [[nodiscard]] core::Milliseconds wait(core::MonotonicTime at) noexcept
    {
        refill(at);
        if (content_ >= 1.0 || rate_ <= 0.0) {
            return core::Milliseconds(0);
        }
        constexpr double millisPerSecond = 1000.0;
        return core::Milliseconds(static_cast<long>((1.0 - content_) / rate_ * millisPerSecond) + 1);
    }

    /** @brief Returns the rate. @return Tokens a second. */
    [[nodiscard]] double rate() const noexcept
    {
        return rate_;
    }

private:
    void refill(core::MonotonicTime at) noexcept
    {
        const std::chrono::duration<double> elapsed = at - updated_;
        content_ = std::min(depth_, content_ + std::max(0.0, elapsed.count()) * rate_);
        updated_ = at;
    }

    double rate_;
    double depth_;
    double content_;
    core::MonotonicTime updated_;
};

} // namespace cyclamenspool::policy
