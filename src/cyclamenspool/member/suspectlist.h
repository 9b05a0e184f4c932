#pragma once

#include <cyclamenspool/core/now.h>

#include <map>
#include <string>

namespace cyclamenspool::member {

/** @brief Durations of a suspicion. */
struct SuspicionPeriods {
    core::Milliseconds initial{500}; /**< Duration after a first failure. */
    core::Milliseconds maximum{8000}; /**< Upper bound of the duration after repeated failures. */
    core::Milliseconds resetAfter{30000}; /**< Time without failures after which the duration is reset. */
};

/**
 * @brief Members suspected to be down because recent connections to them failed; complements the platform's list, which may be outdated.
 *
 * A suspected member is tried after all others. The duration of the suspicion doubles with each failure, so that a flapping member
 * is not used again after every short recovery.
 */
class SuspectList
{
public:
    /** @brief Creates an empty list. */
    explicit SuspectList(const SuspicionPeriods &periods = {})
        : periods_(periods)
    {
    }

    /** @brief Records that a member could not be reached; ignored while the member is already suspected. */
    void recordFailure(const std::string &member, core::MonotonicTime at);

    /** @brief Records that a member responded, which ends its suspicion; the duration stays until SuspicionPeriods::resetAfter has passed. */
    void recordSuccess(const std::string &member, core::MonotonicTime at);

    /** @brief Returns whether a member is suspected at the given time. */
    [[nodiscard]] bool isSuspect(const std::string &member, core::MonotonicTime at) const;

private:
    struct Suspicion {
        core::MonotonicTime until{}; /* exclusive */
        core::MonotonicTime lastFailure{};
        core::Milliseconds duration{0};
    };

    SuspicionPeriods periods_;
    std::map<std::string, Suspicion> suspicions_;
};

} // namespace cyclamenspool::member
