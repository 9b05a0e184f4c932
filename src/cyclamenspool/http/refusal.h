#pragma once

#include <cyclamenspool/core/errorkind.h>
#include <cyclamenspool/core/now.h>
#include <cyclamenspool/http/server.h>

#include <boost/json/object.hpp>

#include <string>

namespace cyclamenspool::http {

/** @brief Error response to a caller. */
struct Refusal {
    std::string requestId;
    core::ErrorKind kind;
    std::string detail;
    core::Milliseconds retryAfter{0}; /**< Time after which a retry may succeed; 0 if a retry does not help. */
    core::RunState runState = core::RunState::Unknown;

    /** @brief Returns the response body: a JSON object on one line. */
    [[nodiscard]] std::string json() const;

    /** @brief Returns the response headers, with Retry-After in whole seconds if a retry can help. */
    [[nodiscard]] Headers headers() const;
};

/**
 * @brief Returns the JSON description of an error: its kind, a message, the detail, and whether the request was certainly not run.
 * @param kind Error kind; selects the name and the message.
 * @param detail What was wrong and where.
 * @param runState Whether the backend server has run the request.
 */
[[nodiscard]] boost::json::object describeError(core::ErrorKind kind, const std::string &detail, core::RunState runState);

/**
 * @brief Creates an error response with the retry delay and run state that core::ruleOf() gives for a kind.
 * @param requestId Id of the request.
 * @param kind Error kind.
 * @param detail What was wrong and where.
 */
[[nodiscard]] Refusal makeRefusal(const std::string &requestId, core::ErrorKind kind, const std::string &detail);

/**
 * @brief Sends a complete error response.
 * @param refusal Error to send.
 * @param responder Responder of the request.
 * @throws boost::system::system_error The caller disconnected or the write timed out.
 */
[[nodiscard]] boost::asio::awaitable<void> sendRefusal(Refusal refusal, Responder &responder);

/**
 * @brief Sends an error response to a request whose id is not known, for example because it could not be parsed; creates an id for it.
 * @param kind Error kind.
 * @param detail What was wrong and where.
 * @param responder Responder of the request.
 * @throws boost::system::system_error The caller disconnected or the write timed out.
 */
[[nodiscard]] boost::asio::awaitable<void> refuseWithNewId(core::ErrorKind kind, const std::string &detail, Responder &responder);

/** @brief Creates a request id that is unique in the fleet: a version 7 UUID. Thread safe. */
[[nodiscard]] std::string makeRequestId();

} // namespace cyclamenspool::http
