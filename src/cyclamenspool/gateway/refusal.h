#pragma once

#include <cyclamenspool/core/errorkind.h>
#include <cyclamenspool/core/random.h>

#include <chrono>
#include <string>

namespace cyclamenspool::gateway {

/** @brief Error response that the gateway generates itself when it has no backend response to relay. */
struct GatewayRefusal {
    std::string requestId; /**< Empty: unknown. */
    core::ErrorKind kind = core::ErrorKind::Internal;
    std::string detail; /**< Human-readable cause. */
    std::chrono::milliseconds retryAfter{0}; /**< Zero: no Retry-After header, since a retry does not help. */
    bool keepAlive = false; /**< False: the connection closes after the response. */
    bool isHeadRequest = false; /**< Method HEAD: the body is omitted. */
};

/** @brief Formats a refusal as an HTTP/1.1 response. @param refusal Refusal. @return Status line, headers and JSON body. */
[[nodiscard]] std::string formatRefusal(const GatewayRefusal &refusal);

/**
 * @brief Returns the retry delay for a caller: randomised to spread the retries, and short enough to leave time for one before the caller's deadline.
 * @param kind Error kind.
 * @param remainingTime Time until the caller's deadline.
 * @param random Random source.
 * @param availableIn Time until a backend server may get a request again; zero: not known.
 * @return Delay of at least 1 ms; zero if a retry does not help or the request may have run.
 */
[[nodiscard]] std::chrono::milliseconds chooseRetryAfter(core::ErrorKind kind,
                                                         std::chrono::milliseconds remainingTime,
                                                         core::RandomSource &random,
                                                         std::chrono::milliseconds availableIn = std::chrono::milliseconds(0));

} // namespace cyclamenspool::gateway
