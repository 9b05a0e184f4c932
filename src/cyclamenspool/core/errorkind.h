#pragma once

#include <chrono>
#include <stdexcept>
#include <string>
#include <string_view>

namespace cyclamenspool::core {

/** @brief Closed list of everything that can be told to a caller or a peer when a request fails. */
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

/** @brief What a failure says about the request's execution at the backend server. */
enum class RunState : int { NotRun, Unknown, Ran };

/** @brief Row of the table from error kind to answer. */
struct ErrorRule {
    ErrorKind kind;
    std::string_view name;
    int status;
    RunState runState;
    std::chrono::milliseconds retryAfter; /**< Zero: a retry does not help. */
    std::string_view sentence;
};

/**
 * @brief Returns the answer rule of an error kind.
 * @param kind Error kind; a value outside the list is taken as Internal.
 * @return Row of the table.
 */
[[nodiscard]] const ErrorRule &ruleOf(ErrorKind kind) noexcept;

/** @brief Failure of a request, carried as an exception within a process. */
class Error : public std::runtime_error
{
public:
    /**
     * @brief Creates a failure.
     * @param kind Error kind.
     * @param detail What was wrong and where.
     */
    Error(ErrorKind kind, const std::string &detail)
        : std::runtime_error(detail)
        , kind_(kind)
    {
    }

    /** @brief Returns the error kind. @return Error kind. */
    [[nodiscard]] ErrorKind kind() const noexcept
    {
        return kind_;
    }

private:
    ErrorKind kind_;
};

} // namespace cyclamenspool::core
