#pragma once

#include <cyclamenspool/core/now.h>
#include <cyclamenspool/gateway/scheduling/pendingprompts.h>
#include <cyclamenspool/gateway/scheduling/promptrate.h>
#include <cyclamenspool/gateway/scheduling/recentdemand.h>
#include <cyclamenspool/gateway/scheduling/servercapacity.h>
#include <cyclamenspool/gateway/scheduling/verdict.h>

#include <array>
#include <optional>

namespace cyclamenspool::gateway::scheduling {

/** @brief Requests in flight at a backend server. */
struct ServerOccupancy {
    double own = 0; /**< Of this gateway. */
    double peers = 0; /**< Of the other gateways, including those that they have probably sent since their last updates. */
    int slots = 0; /**< Requests that the server can run at once; 0: not known. */
    core::Milliseconds peerUpdateAge{0}; /**< Mean age of what is known of the other gateways' requests. */
};

/** @brief Expected time to the first event of a request at a backend server, with what it is based on. */
struct FirstEventEstimate {
    core::Milliseconds expected{0}; /**< Zero: not known. */
    core::Milliseconds slotWait{0}; /**< Part of it until a slot is free. */
    core::Milliseconds behindOthers{0}; /**< Part of it that others cause, who are ahead of the request; includes slotWait. */
    core::Milliseconds ownProcessing{0}; /**< Part of it that the request's own prompt takes. */
    double tokensAhead = 0; /**< Prompt tokens of requests at least as urgent, of all gateways. */
    double ownTokens = 0; /**< Prompt tokens of the request that are not cached. */
    double tokensPerMs = 0; /**< Rate at which a server of the service processes prompts; 0: not known. */
    core::Milliseconds peerUpdateAge{0}; /**< Mean age of what is known of the other gateways' requests. */
    bool hasFreeSlots = false; /**< Half of the slots or more are free: the wait is for prompts only. */
};

/** @brief Request to be judged. */
struct FirstEventDemand {
    int urgency = 0; /**< 0 is the most urgent. */
    core::Milliseconds objective{0}; /**< Target for the time to the first event. */
    double shareFactor = 1.0; /**< Multiple of the limit on the expected time, for the share of the request's workspace. */
};

/** @brief Request that waits for its first event, or has received it, at a backend server. */
struct SentPrompt {
    PromptWork work;
    FirstEventEstimate estimate; /**< When it was sent. */
    core::MonotonicTime sentAt{};
    std::optional<core::MonotonicTime> firstEventAt;
};

/**
 * @brief Capacity of a service whose requests carry prompts: what its servers have still to process, and how long a request waits for it. Not thread safe.
 *
 * Peers report requests in flight only. The work that theirs stand for is estimated from this gateway's own: its mean waiting prompt for a request in flight.
 */
class ServiceCapacity
{
public:
    /** @brief Records that a request was sent. */
    void onSent(ServerCapacity &server, const SentPrompt &prompt);

    /** @brief Records the first event of a request. @param server Its backend server. @param prompt Request, which had none so far. @param now Current time. */
    void onFirstEvent(ServerCapacity &server, SentPrompt &prompt, core::MonotonicTime now);

    /** @brief Records the end of a request. @param server Its backend server. @param prompt Request. @param isAnswered Whether the response was complete.
     * @param now Current time. */
    void onEnded(ServerCapacity &server, const SentPrompt &prompt, bool isAnswered, core::MonotonicTime now);

    /** @brief Estimates the time to the first event of a request. */
    [[nodiscard]] FirstEventEstimate estimate(const ServerCapacity &server, const ServerOccupancy &occupancy, const PromptWork &work, core::MonotonicTime now);

    /**
     * @brief Returns the longest expected time to the first event with which a request is sent.
     *
     * The most urgent requests of the last seconds get most of their objective. Each further urgency gets half as much, so that the capacity that the more
     * urgent ones need is not taken by the time they arrive.
     */
    [[nodiscard]] core::Milliseconds limitOf(const FirstEventDemand &demand, core::MonotonicTime now);

    /** @brief Returns whether a request with this estimate is sent. @param limit Result of limitOf(). */
    [[nodiscard]] static bool isWithin(const FirstEventEstimate &estimate, core::Milliseconds limit);

    /** @brief Decides on a request. @param estimate At the best server. @param limit Result of limitOf(). */
    [[nodiscard]] static Decision decide(const FirstEventDemand &demand, const FirstEventEstimate &estimate, core::Milliseconds limit);

    /** @brief Returns the sum of this gateway's prompts that wait for their first event. */
    [[nodiscard]] PromptSum pending() const noexcept
    {
        return pending_.upTo(static_cast<int>(urgencyCount));
    }

private:
    void advance(core::MonotonicTime now);

    PendingPrompts pending_; /* at all servers */
    double inFlight_ = 0;
    std::array<PromptSum, urgencyCount> waitingPerRequest_; /* by urgency: recent mean of what waits of it and of more urgent ones, for a request in flight */
    core::MonotonicTime advancedAt_{};
    PromptRate rate_;
    double streamMs_ = 0; /* recent mean from the first event to the end; 0: not known */
    RecentDemand demand_;
};

} // namespace cyclamenspool::gateway::scheduling
