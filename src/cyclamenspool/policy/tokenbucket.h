#pragma once

#include <cyclamenspool/core/now.h>

#include <algorithm>
#include <chrono>

namespace cyclamenspool::policy {

/** @brief Token bucket whose rate and depth can be changed at run time. */
class TokenBucket
{
public:
    /** @brief Creates a full bucket. @param rate Tokens per second. @param depth Maximum number of tokens, the largest burst. */
    TokenBucket(double rate, double depth, core::MonotonicTime at) noexcept
        : rate_(rate)
        , depth_(depth)
        , tokens_(depth)
        , updated_(at)
    {
    }

    /** @brief Creates a bucket that is not full. @param tokens Tokens in it. */
    TokenBucket(double rate, double depth, core::MonotonicTime at, double tokens) noexcept
        : rate_(rate)
        , depth_(depth)
        , tokens_(std::min(tokens, depth))
        , updated_(at)
    {
    }

    /** @brief Refills the bucket at the old rate, then changes rate and depth. @param rate Tokens per second. @param depth Maximum number of tokens. */
    void configure(double rate, double depth, core::MonotonicTime at) noexcept
    {
        refill(at);
        rate_ = rate;
        depth_ = depth;
        tokens_ = std::min(tokens_, depth_);
    }

    /** @brief Takes one token if there is one. @return Whether a token was taken. */
    [[nodiscard]] bool take(core::MonotonicTime at) noexcept
    {
        refill(at);
        if (tokens_ < 1.0) {
            return false;
        }
        tokens_ -= 1.0;
        return true;
    }

    /** @brief Returns the time until a token is available; zero if there is one or if the rate is zero. */
    [[nodiscard]] core::Milliseconds waitTime(core::MonotonicTime at) noexcept
    {
        refill(at);
        if (tokens_ >= 1.0 || rate_ <= 0.0) {
            return core::Milliseconds(0);
        }
        constexpr double millisPerSecond = 1000.0;
        return core::Milliseconds(static_cast<long>((1.0 - tokens_) / rate_ * millisPerSecond) + 1);
    }

    /** @brief Returns the rate in tokens per second. */
    [[nodiscard]] double rate() const noexcept
    {
        return rate_;
    }

private:
    void refill(core::MonotonicTime at) noexcept
    {
        const std::chrono::duration<double> elapsed = at - updated_;
        tokens_ = std::min(depth_, tokens_ + std::max(0.0, elapsed.count()) * rate_);
        updated_ = at;
    }

    double rate_;
    double depth_;
    double tokens_;
    core::MonotonicTime updated_;
};

} // namespace cyclamenspool::policy
