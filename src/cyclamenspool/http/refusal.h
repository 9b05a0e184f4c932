#pragma once

#include <cyclamenspool/core/errorkind.h>
#include <cyclamenspool/core/now.h>
#include <cyclamenspool/http/server.h>

#include <boost/json/object.hpp>

#include <string>

namespace cyclamenspool::http {

/** @brief A failure as it is told to a caller. */
struct Refusal {
    std::string requestId;
    core::ErrorKind kind;
    std::string detail;
    core::Milliseconds retryAfter{0};
    core::RunState runState = core::RunState::Unknown;

    /** @brief Formats the failure. @return JSON object on one line. */
    [[nodiscard]] std::string json() const;

    /** @brief Lists the headers of the answer. @return Headers, with Retry-After where a retry helps. */
    [[nodiscard]] Headers headers() const;
};

/** @brief Describes a failure as callers read it. @param kind Kind. @param detail Detail. @param runState What is known of its execution. @return JSON object.
 */
[[nodiscard]] boost::json::object describeError(core::ErrorKind kind, const std::string &detail, core::RunState runState);

/** @brief Creates a refusal by the table of error kinds. @param requestId Request. @param kind Kind. @param detail Detail. @return Refusal. */
[[nodiscard]] Refusal makeRefusal(const std::string &requestId, core::ErrorKind kind, const std::string &detail);

/** @brief Writes a failure as a whole answer. @param refusal Failure. @param responder Responder. @return Completion. */
[[nodiscard]] boost::asio::awaitable<void> sendRefusal(Refusal refusal, Responder &responder);

/** @brief Answers a request that could not be read. @param kind Kind. @param detail Detail. @param responder Responder. @return Completion. */
[[nodiscard]] boost::asio::awaitable<void> refuseUnread(core::ErrorKind kind, const std::string &detail, Responder &responder);

/** @brief Creates a request id. @return Text that is unique in the fleet. */
[[nodiscard]] std::string makeRequestId();

} // namespace cyclamenspool::http
