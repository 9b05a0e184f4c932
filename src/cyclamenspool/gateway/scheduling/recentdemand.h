#pragma once

#include <cyclamenspool/core/now.h>
#include <cyclamenspool/gateway/scheduling/pendingprompts.h>

#include <array>

namespace cyclamenspool::gateway::scheduling {

/** @brief Latest request to a service of each urgency, to tell which more urgent ones are present. Not thread safe. */
class RecentDemand
{
public:
    /** @brief Times of a request. */
    struct Request {
        core::Milliseconds objective{0}; /**< Target for the time to its response. */
        core::Milliseconds callerWait{0}; /**< Time after which its caller has left; zero: not used. */
    };

    /** @brief A request among the more urgent ones that are present. */
    struct Rank {
        Request least; /**< Smallest times of the request and of the more urgent ones. */
        int moreUrgent = 0; /**< Number of more urgent urgencies with a request within the last 2 s. */
    };

    /** @brief Records a request. @param urgency Its urgency. @param request Its times. @param now Current time. @return Its rank. */
    Rank add(int urgency, const Request &request, core::MonotonicTime now);

private:
    struct Latest {
        core::MonotonicTime at{};
        Request request;
    };

    std::array<Latest, urgencyCount> latest_; /* by urgency */
};

} // namespace cyclamenspool::gateway::scheduling
