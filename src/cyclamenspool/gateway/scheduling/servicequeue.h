#pragma once

#include <cyclamenspool/gateway/scheduling/concurrencylimit.h>
#include <cyclamenspool/gateway/scheduling/verdict.h>
#include <cyclamenspool/gateway/scheduling/waitingroom.h>
#include <cyclamenspool/gateway/scheduling/workspaceusage.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace cyclamenspool::gateway::scheduling {

/** @brief Times that a request can wait for, from its arrival at this gateway. */
struct WaitLimits {
    core::Milliseconds objective{0}; /**< Target for the response headers. */
    core::Milliseconds spentBefore{0}; /**< Part of the objective that its caller had spent before the request arrived. */
    core::Milliseconds callerWait{0}; /**< Time after which the caller has left or the deadline has passed. */
};

/** @brief Verdict on a request with the estimate that decided it. */
struct QueueVerdict {
    Decision decision;
    std::size_t position = 0; /**< Waiting requests that come before it. */
    core::Milliseconds predictedWait{0}; /**< Until it would be sent. */
    core::Milliseconds recheckIn{0}; /**< Of a held request: time after which it is decided anew. */
    int limit = 0; /**< Requests of this gateway in flight at the service; 0: none. */
};

/**
 * @brief Requests of this gateway to one service: how many may be in flight, who waits and who is next. Not thread safe.
 *
 * A request that can't be sent now is held only if it is expected to get its response headers within its objective; otherwise it is rejected at once.
 */
class ServiceQueue
{
public:
    /**
     * @brief Decides on a request to a service without prompts. Verdict::Send counts it as sent; for Verdict::Hold, hold() follows.
     * @param request Request.
     * @param limits Times that it can wait for.
     * @param ticket Ticket of an earlier hold(), which ends; 0: none.
     * @param load Load of the service.
     * @param now Current time.
     */
    [[nodiscard]] QueueVerdict decide(const QueuedRequest &request, const WaitLimits &limits, Ticket ticket, const ServiceLoad &load, core::MonotonicTime now);

    /** @brief Holds a request. @param wake Called, by the caller of takeNext() or takeAll(), when it may be sent. @return Ticket; 0 if too many wait. */
    [[nodiscard]] Ticket hold(QueuedRequest request, Wake wake);

    /** @brief Ends a hold; unknown tickets are ignored. */
    void release(Ticket ticket);

    /** @brief Chooses the waiting requests that there is room for under the limit, most urgent first; all of them without a limit. */
    [[nodiscard]] std::vector<Wake> takeNext(const ServiceLoad &load, core::MonotonicTime now);

    /** @brief Chooses one waiting request, whatever the limit. @return Its function; empty if none waits. */
    [[nodiscard]] Wake takeOne(core::MonotonicTime now);

    /** @brief Returns the functions of all waiting requests, which are to be decided anew. */
    [[nodiscard]] std::vector<Wake> takeAll() const;

    /** @brief Counts a request that is sent without decide(). */
    void onSent(const std::string &workspace, core::MonotonicTime now);

    /** @copydoc ConcurrencyLimit::onResponse() */
    void onResponse(core::MonotonicTime::duration time, core::Milliseconds objective, const ServiceLoad &load, core::MonotonicTime now);

    /** @copydoc ConcurrencyLimit::onRejected() */
    void onRejected(const ServiceLoad &load, core::MonotonicTime now);

    /** @brief Returns the number of requests that wait. */
    [[nodiscard]] std::size_t waiting() const noexcept
    {
        return room_.waiting();
    }

    /** @brief Returns the limit of requests in flight; empty: none. */
    [[nodiscard]] std::optional<int> limit() const noexcept
    {
        return limit_.limit();
    }

private:
    [[nodiscard]] bool hasRoom(const ServiceLoad &load) const noexcept;
    [[nodiscard]] core::Milliseconds timeToSend(std::size_t position, core::Milliseconds objective) const;

    ConcurrencyLimit limit_;
    WaitingRoom room_;
    WorkspaceUsage usage_;
};

} // namespace cyclamenspool::gateway::scheduling
