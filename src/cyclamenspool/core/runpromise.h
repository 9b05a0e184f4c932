#pragma once

namespace cyclamenspool::core {

/** @brief Returns whether an HTTP status tells a caller that its request has not run and never will: 408, 421, 429 and 503. */
[[nodiscard]] constexpr bool promisesNotRun(int status) noexcept
{
    constexpr int requestTimeout = 408;
    constexpr int misdirectedRequest = 421;
    constexpr int tooManyRequests = 429;
    constexpr int serviceUnavailable = 503;
    return status == requestTimeout || status == misdirectedRequest || status == tooManyRequests || status == serviceUnavailable;
}

/**
 * @brief Returns whether a backend server's final status may be passed on although the server does not say that it did not run the request.
 *
 * Without that statement the request may have run, so a caller must not take the status for a promise. A request that may be repeated comes to no harm by it,
 * and its caller gets the server's own answer.
 * @param status HTTP status.
 * @param isRepeatable Whether the request may run more than once.
 */
[[nodiscard]] constexpr bool canRelayStatus(int status, bool isRepeatable) noexcept
{
    return isRepeatable || !promisesNotRun(status);
}

} // namespace cyclamenspool::core
