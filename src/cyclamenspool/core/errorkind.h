#pragma once

#include <chrono>
#include <stdexcept>
#include <string>
#include <string_view>

namespace cyclamenspool::core {

/** @brief Reasons for a failed request, as reported to callers and peers. ruleOf() describes each. */
enum class ErrorKind : int {
    BadRequest,
    BadKey,
    BodyTooLarge,
    HeadersTooLarge,
    SlowCaller,
    UnknownPath,
    UnknownApiKey,
    UnknownWorkspace,
    UnknownPool,
    WrongMethod,
    WorkspaceLimit,
    Overloaded,
    PoolFull,
    ColdStart,
    Leaving,
    ShuttingDown,
    StaleView,
    NoCandidate,
    RetryBudget,
    ElsewhereWarm,
    WrongHome,
    HomeDown,
    HomeMoving,
    DeadlineBeforeRun,
    BackendDown,
    KeyConflict,
    AlreadyRun,
    MayHaveRun,
    OutcomeUnknown,
    DeadlineAfterSend,
    AnswerCut,
    BackendFailed,
    Internal,
    Count
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
    std::chrono::milliseconds retryAfter; /**< Recommended delay before a retry; zero: a retry does not help. */
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
    /** @brief Creates the exception. @param kind Error kind. @param detail What was wrong and where; returned by what(). */
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
