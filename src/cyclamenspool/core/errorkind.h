#pragma once

#include <chrono>
#include <stdexcept>
#include <string>
#include <string_view>

namespace cyclamenspool::core {

/** @brief Reasons for a failed request, as reported to callers and peers. ruleOf() describes each. */
enum class ErrorKind : int {
    BadRequest,
    BadKey, /**< The idempotency key's creation time is ahead of the clock, or the pool supports no keys. */
    BodyTooLarge,
    HeadersTooLarge,
    SlowCaller,
    UnknownPath,
    UnknownApiKey,
    UnknownWorkspace,
    UnknownPool,
    WrongMethod,
    WorkspaceLimit,
    Overloaded, /**< The backend server, or each one that was tried, is at its load limit. */
    PoolFull, /**< The load limit is reached and the pool's mean load is close to its capacity. */
    ColdStart, /**< The backend server has not loaded its model, or has not reached its warm capacity. */
    Leaving, /**< The backend server or its VM is leaving and accepts no new work. */
    ShuttingDown,
    StaleView, /**< The process has no current view of the fleet or no routing configuration. */
    NoCandidate, /**< No backend server accepts the request. */
    RetryBudget, /**< A retry would exceed the retry budget. */
    ElsewhereWarm, /**< The chat's history is cached on another backend server; the router retries there. */
    WrongHome, /**< The agent is not the home of the idempotency key. */
    HomeDown, /**< The home of the idempotency key is unreachable. */
    HomeMoving, /**< The records of the idempotency key are being handed over to a new home. */
    DeadlineBeforeRun, /**< The deadline passed before the backend server got the request. */
    DeadlineUnsent, /**< The deadline passed before the gateway could send the request to a backend server. */
    BackendDown, /**< The backend server does not respond, and the request was not sent to it. */
    KeyConflict, /**< The idempotency key was used with a different request. */
    AlreadyRun, /**< The request of the idempotency key has finished; its response is no longer stored. */
    MayHaveRun, /**< The request of the idempotency key may have run before; it was not sent now. */
    OutcomeUnknown, /**< The request was sent, but no response to it was received. */
    DeadlineAfterSend, /**< The deadline passed after the request was sent. */
    AnswerCut, /**< The backend server's response ended before it was complete. */
    BackendFailed, /**< The response was unusable, or the last attempt failed unsent after one that may have run. */
    Internal,
    PromptQuarantined, /**< Backend servers crashed under the request or a part of its prompt; it is not sent. */
    Count /**< Number of error kinds. */
};

/** @brief Whether the backend server executed a failed request. */
enum class RunState : int {
    NotRun, /**< Not executed; a retry cannot execute it twice. */
    Unknown, /**< Possibly executed, in full or in part. */
    Ran /**< Executed. */
};

/** @brief Response to a request that failed with an error kind. */
struct ErrorRule {
    ErrorKind kind;
    std::string_view name; /**< Name on the wire, in logs and in metrics. */
    int status; /**< HTTP status code. */
    RunState runState;
    std::chrono::milliseconds retryAfter; /**< Recommended delay before the caller retries; zero: a retry is not recommended. */
    std::string_view message; /**< Description for the caller. */
};

/**
 * @brief Returns the response rule of an error kind.
 * @param kind Error kind; values outside the enumeration are handled as Internal.
 */
[[nodiscard]] const ErrorRule &ruleOf(ErrorKind kind) noexcept;

/** @brief Exception for a failed request. */
class Error : public std::runtime_error
{
public:
    /** @brief Creates the exception. @param detail What was wrong and where; returned by what(). */
    Error(ErrorKind kind, const std::string &detail)
        : std::runtime_error(detail)
        , kind_(kind)
    {
    }

    /** @brief Returns the error kind. */
    [[nodiscard]] ErrorKind kind() const noexcept
    {
        return kind_;
    }

private:
    ErrorKind kind_;
};

} // namespace cyclamenspool::core
