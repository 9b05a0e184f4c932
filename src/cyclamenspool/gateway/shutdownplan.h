#pragma once

#include <cyclamenspool/core/now.h>

#include <chrono>

namespace cyclamenspool::gateway {

/** @brief Times at which a planned stop goes on to its next step. */
struct ShutdownPlan {
    core::MonotonicTime closeAfterResponse{}; /**< Responses announce that their connection closes. */
    core::MonotonicTime refuse{}; /**< Requests are refused, and idle connections are closed. */
    core::MonotonicTime endRequests{}; /**< Requests in progress are ended. */
    core::MonotonicTime exit{}; /**< The process exits with the connections that are still open. */
};

/** @brief Plans a stop. @param start Time of the signal. @param gracePeriod Time from the signal until the process is killed. */
[[nodiscard]] ShutdownPlan planShutdown(core::MonotonicTime start, std::chrono::duration<double> gracePeriod) noexcept;

} // namespace cyclamenspool::gateway
