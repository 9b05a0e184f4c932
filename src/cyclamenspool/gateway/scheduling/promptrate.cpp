#include <cyclamenspool/gateway/scheduling/promptrate.h>

#include <cyclamenspool/gateway/scheduling/floatmilliseconds.h>

#include <algorithm>

namespace cyclamenspool::gateway::scheduling {

namespace internal {

constexpr double slowerWeight = 1.0 / 64; /* of a request that took longer than the mean: others may have been ahead that are not known */
constexpr double fasterWeight = 1.0 / 16; /* of one that did not */
constexpr double maxShortTokens = 400; /* a prompt of up to this size shows the time that does not depend on the tokens */
constexpr double minLongTokens = 1000; /* a prompt of at least this size shows the rate */
constexpr double maxAheadShare = 0.25; /* of its own tokens, that may be ahead of it */
constexpr double minMsPerToken = 1.0 / 1000;
constexpr double maxMsPerToken = 1.0 / 2;

/** @brief Moves a mean towards a value, faster downwards than upwards; zero: no mean yet. */
void follow(double &mean, double value)
{
    const double weight = value < mean ? fasterWeight : slowerWeight;
    mean = mean == 0 ? value : mean + (value - mean) * weight;
}

} // namespace internal

void PromptRate::add(double ownTokens, double tokensAhead, core::MonotonicTime::duration wait)
{
    const double waitMs = FloatMilliseconds(wait).count();
    const double tokens = ownTokens + tokensAhead;
    if (tokens <= internal::maxShortTokens) {
        internal::follow(fixedMs_, waitMs);
        return;
    }
    if (ownTokens < internal::minLongTokens || tokensAhead > ownTokens * internal::maxAheadShare) {
        return;
    }
    const double msPerToken = std::clamp((waitMs - fixedMs_) / tokens, internal::minMsPerToken, internal::maxMsPerToken);
    internal::follow(meanMsPerToken_, msPerToken);
    ++longPrompts_;
}

core::Milliseconds PromptRate::expected(double tokens) const
{
    return isKnown() ? toMilliseconds(fixedMs_ + meanMsPerToken_ * tokens) : core::Milliseconds(0);
}

core::Milliseconds PromptRate::processingTime(double tokens) const
{
    return toMilliseconds(meanMsPerToken_ * tokens);
}

} // namespace cyclamenspool::gateway::scheduling
