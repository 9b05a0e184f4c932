#pragma once

#include <cyclamenspool/core/now.h>
#include <cyclamenspool/gateway/scheduling/serviceload.h>

#include <deque>
#include <optional>

namespace cyclamenspool::gateway::scheduling {

/**
 * @brief Adaptive limit on the requests that this gateway has in flight at one service. Not thread safe.
 *
 * It answers a service without prompts that gets more requests than it has slots. The limit takes effect when requests queue at the backend servers and the
 * response times use up too much of the callers' objective, or when a server rejects a request. It falls by a factor, and rises with each arrival that finds
 * it reached while responses are in time: the limits of the gateways tend to the ratio of their demands, without any message between them. Without an overload
 * there is no limit.
 */
class ConcurrencyLimit
{
public:
    /**
     * @brief Handles the response headers of a request.
     * @param time Time since the request was sent.
     * @param objective Target for it; above 0.
     * @param load Load of the service, this request included.
     * @param now Current time.
     */
    void onResponse(core::MonotonicTime::duration time, core::Milliseconds objective, const ServiceLoad &load, core::MonotonicTime now);

    /** @brief Handles a request that a backend server rejected without running it. @param load Load of the service, this request included. @param now Current
     * time. */
    void onRejected(const ServiceLoad &load, core::MonotonicTime now);

    /** @brief Handles a request that is to be sent: so many in flight that responses will be slow bring the limit into effect; it ends when it has not been
     * reached for 2 s. @param load Load of the service. @param isNew False: it was handled before and waited. @param now Current time. */
    void onDemand(const ServiceLoad &load, bool isNew, core::MonotonicTime now);

    /** @brief Returns the limit, at least 1; empty: none. */
    [[nodiscard]] std::optional<int> limit() const noexcept;

    /** @brief Returns the expected time from sending a request to its response headers; a part of the objective before the first response. @param objective
     * Target for it. */
    [[nodiscard]] core::Milliseconds responseTime(core::Milliseconds objective) const;

private:
    /** @brief Response time as a multiple of the request's objective. */
    struct Sample {
        core::MonotonicTime at;
        double ratio;
    };

    [[nodiscard]] bool record(double ratio, core::MonotonicTime now); /* true if the median is up to date */
    void decrease(double factor, const ServiceLoad &load, core::MonotonicTime now);
    void followSlots(int slots);
    [[nodiscard]] double targetRatio() const noexcept;
    [[nodiscard]] bool isQueueLong(const ServiceLoad &load) const noexcept; /* long enough for the responses to be slow by it */
    [[nodiscard]] bool isOverloadExpected(const ServiceLoad &load) const noexcept; /* from the requests in flight, before responses are slow */

    std::deque<Sample> samples_; /* latest last */
    std::optional<double> median_; /* of the latest samples that were enough */
    std::optional<double> expected_; /* moving average of all responses */
    std::optional<double> unloaded_; /* lowest median while there was no limit */
    std::optional<double> limit_;
    int slots_ = 0; /* as of limit_ */
    core::MonotonicTime reachedAt_{}; /* last time at which the limit was reached */
    core::MonotonicTime nextDecreaseAt_{};
    core::MonotonicTime risesUntil_{}; /* responses are in time until then */
};

} // namespace cyclamenspool::gateway::scheduling
