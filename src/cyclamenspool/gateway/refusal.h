#pragma once

#include <cyclamenspool/core/errorkind.h>
#include <cyclamenspool/core/random.h>

#include <chrono>
#include <string>

namespace cyclamenspool::gateway {

/** @brief The system's own answer to a request that has no answer of a backend server. */
struct GatewayRefusal {
    std::string requestId;
    core::ErrorKind kind = core::ErrorKind::Internal;
    std::string detail;
    std::chrono::milliseconds retryAfter{0}; /**< Zero: a retry does not help. */
    bool keepAlive = false;
    bool isHead = false; /**< The body is left out. */
};

/** @brief Formats a refusal. @param refusal Refusal. @return Head and body. */
[[nodiscard]] std::string formatRefusal(const GatewayRefusal &refusal);

/**
 * @brief Chooses when a caller may come back: spread, and early enough that the time it has left is of use.
 * @param kind Kind of the refusal.
 * @param timeLeft Time that the caller still waits.
 * @param random Random source.
 * @return Time; zero if a retry does not help.
 */
[[nodiscard]] std::chrono::milliseconds retryAfterOf(core::ErrorKind kind, std::chrono::milliseconds timeLeft, core::RandomSource &random);

} // namespace cyclamenspool::gateway
