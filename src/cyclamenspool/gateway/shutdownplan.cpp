#include <cyclamenspool/gateway/shutdownplan.h>

#include <algorithm>

namespace cyclamenspool::gateway {

namespace internal {

constexpr core::Milliseconds balancerDetectionTime{2300}; /* the balancer probes once a second and removes the process after the second failure */
constexpr core::Milliseconds acceptanceTime{2850}; /* for connections on their way when the balancer stops sending */
constexpr core::Milliseconds answerMargin{800}; /* before the end of the grace period, for the responses that end the requests in progress */
constexpr core::Milliseconds exitMargin{400}; /* before that end */

} // namespace internal

ShutdownPlan planShutdown(core::MonotonicTime start, std::chrono::duration<double> gracePeriod) noexcept
{
    const auto end = start + std::chrono::duration_cast<core::MonotonicTime::duration>(gracePeriod);
    ShutdownPlan plan;
    plan.endRequests = std::max(start, end - internal::answerMargin);
    plan.closeAfterResponse = std::min(start + internal::balancerDetectionTime, plan.endRequests);
    plan.refuse = std::min(start + internal::acceptanceTime, plan.endRequests);
    plan.exit = std::max(start, end - internal::exitMargin);
    return plan;
}

} // namespace cyclamenspool::gateway
