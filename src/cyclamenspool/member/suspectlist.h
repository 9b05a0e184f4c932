#pragma once

#include <cyclamenspool/core/now.h>

#include <map>
#include <string>

namespace cyclamenspool::member {

/** @brief Times of suspicion. */
struct SuspicionPeriods {
    core::Milliseconds shortest{500}; /**< After a first failure. */
    core::Milliseconds longest{8000}; /**< After repeated failures; a flapping member is damped by this. */
    core::Milliseconds forgetAfter{30000}; /**< A member without failures for this long starts afresh. */
};

/**
 * @brief Members that could not be reached lately. The platform's list is a hint; failed connections are evidence.
 *
 * A suspect is tried after all others. The time of suspicion doubles with each failure, so that a member which flaps is not
 * trusted at each return.
 */
class SuspectList
{
public:
    /** @brief Creates an empty list. @param periods Times. */
    explicit SuspectList(const SuspicionPeriods &periods = {})
        : periods_(periods)
    {
    }

    /** @brief Notes that a member could not be reached. @param member Member. @param at Time. */
    void noteFailure(const std::string &member, core::MonotonicTime at);

    /** @brief Notes that a member answered. @param member Member. @param at Time. */
    void noteAnswer(const std::string &member, core::MonotonicTime at);

    /** @brief Tells whether a member is suspected. @param member Member. @param at Time. @return True if so. */
    [[nodiscard]] bool isSuspect(const std::string &member, core::MonotonicTime at) const;

private:
    struct Suspicion {
        core::MonotonicTime until{};
        core::MonotonicTime lastFailure{};
        core::Milliseconds length{0};
    };

    SuspicionPeriods periods_;
    std::map<std::string, Suspicion> suspicions_;
};

} // namespace cyclamenspool::member
