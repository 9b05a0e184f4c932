#pragma once

#include <cyclamenspool/core/now.h>

namespace cyclamenspool::gateway::scheduling {

/**
 * @brief Rate at which servers of a service process prompts, from first events of requests that had little ahead of them. Not thread safe.
 *
 * Requests behind others are left out: what was ahead of them is an estimate itself.
 */
class PromptRate
{
public:
    /** @brief Adds a request. @param ownTokens Tokens of its prompt that were not cached. @param tokensAhead Estimated tokens of the prompts ahead of it.
     * @param wait Time from sending it to its first event. */
    void add(double ownTokens, double tokensAhead, core::MonotonicTime::duration wait);

    /** @brief Returns whether enough requests were added. */
    [[nodiscard]] bool isKnown() const noexcept
    {
        return longPrompts_ >= minLongPrompts;
    }

    /** @brief Returns the expected time to the first event; zero if not known. @param tokens Tokens to process, including those of the prompt itself. */
    [[nodiscard]] core::Milliseconds expected(double tokens) const;

    /** @brief Returns the part of the expected time that grows with the tokens; zero if not known. */
    [[nodiscard]] core::Milliseconds processingTime(double tokens) const;

    /** @brief Returns the prompt tokens that a server processes in a millisecond; zero if not known. */
    [[nodiscard]] double tokensPerMs() const noexcept
    {
        return isKnown() ? 1 / meanMsPerToken_ : 0;
    }

private:
    static constexpr int minLongPrompts = 4; /* fewer give no rate */

    int longPrompts_ = 0; /* since the start */
    double fixedMs_ = 0; /* recent low mean of the wait of short prompts */
    double meanMsPerToken_ = 0; /* recent low mean over long prompts, after the fixed time */
};

} // namespace cyclamenspool::gateway::scheduling
