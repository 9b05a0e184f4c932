#include <cyclamenspool/core/errorkind.h>

#include <array>
#include <cstddef>

namespace cyclamenspool::core {

namespace internal {

using namespace std::chrono_literals;
using Kind = ErrorKind;
using Run = RunState;

constexpr std::size_t kindCount = static_cast<std::size_t>(Kind::Count);

constexpr std::array<ErrorRule, kindCount> rules{{
    {Kind::BadRequest, "bad_request", 400, Run::NotRun, 0ms, "The request is malformed."},
    {Kind::BadKey, "bad_key", 400, Run::NotRun, 0ms, "The idempotency key is invalid."},
    {Kind::BodyTooLarge, "body_too_large", 413, Run::NotRun, 0ms, "The body exceeds the size limit."},
    {Kind::HeadersTooLarge, "headers_too_large", 431, Run::NotRun, 0ms, "The headers exceed the size limit."},
    {Kind::SlowCaller, "slow_caller", 408, Run::NotRun, 0ms, "The request did not arrive in time."},
    {Kind::UnknownPath, "unknown_path", 404, Run::NotRun, 0ms, "The path does not exist."},
    {Kind::UnknownApiKey, "unknown_api_key", 401, Run::NotRun, 0ms, "The API key is missing or unknown."},
    {Kind::UnknownWorkspace, "unknown_workspace", 403, Run::NotRun, 0ms, "The workspace is not configured."},
    {Kind::UnknownPool, "unknown_pool", 404, Run::NotRun, 0ms, "The pool is not configured."},
    {Kind::WrongMethod, "wrong_method", 405, Run::NotRun, 0ms, "The method is not allowed on this path."},
    {Kind::WorkspaceLimit, "workspace_limit", 429, Run::NotRun, 1000ms, "The workspace exceeded its request limit."},
    {Kind::Overloaded, "overloaded", 503, Run::NotRun, 1000ms, "Every backend server tried is at its load limit."},
    {Kind::PoolFull, "pool_full", 503, Run::NotRun, 2000ms, "The pool is at capacity."},
    {Kind::ColdStart, "cold_start", 503, Run::NotRun, 2000ms, "The backend server is in its cold start."},
    {Kind::Leaving, "leaving", 503, Run::NotRun, 1000ms, "The backend server accepts no new work."},
    {Kind::ShuttingDown, "shutting_down", 503, Run::NotRun, 1000ms, "The process is shutting down."},
    {Kind::StaleView, "stale_view", 503, Run::NotRun, 1000ms, "The process is refreshing its view of the fleet."},
    {Kind::NoCandidate, "no_candidate", 503, Run::NotRun, 2000ms, "No backend server of the pool accepts work."},
    {Kind::RetryBudget, "retry_budget", 503, Run::NotRun, 2000ms, "The retry budget is exhausted."},
    {Kind::ElsewhereWarm, "elsewhere_warm", 503, Run::NotRun, 0ms, "The chat's history is cached on another backend server."},
    {Kind::WrongHome, "wrong_home", 503, Run::NotRun, 1000ms, "The key belongs to another backend server."},
    {Kind::HomeDown, "home_down", 503, Run::NotRun, 5000ms, "The key's backend server is unreachable."},
    {Kind::HomeMoving, "home_moving", 503, Run::NotRun, 1000ms, "The key's records are moving to another backend server."},
    {Kind::DeadlineBeforeRun, "deadline_before_run", 504, Run::NotRun, 1000ms, "The deadline passed before the request was run."},
    {Kind::DeadlineUnsent, "deadline_unsent", 503, Run::NotRun, 1000ms, "The deadline passed before the request was sent."},
    {Kind::BackendDown, "backend_down", 503, Run::NotRun, 2000ms, "The backend server does not respond."},
    {Kind::KeyConflict, "key_conflict", 422, Run::NotRun, 0ms, "The idempotency key was used with a different request."},
    {Kind::AlreadyRun, "already_run", 409, Run::Ran, 0ms, "The request has already run; its response is no longer stored."},
    {Kind::MayHaveRun, "may_have_run", 409, Run::Unknown, 0ms, "The request may have run before; it was not run now."},
    {Kind::OutcomeUnknown, "outcome_unknown", 502, Run::Unknown, 0ms, "The connection was lost after the request was sent."},
    {Kind::DeadlineAfterSend, "deadline_after_send", 504, Run::Unknown, 0ms, "The deadline passed after the request was sent."},
    {Kind::AnswerCut, "answer_cut", 502, Run::Unknown, 0ms, "The response ended before it was complete."},
    {Kind::BackendFailed, "backend_failed", 502, Run::Unknown, 0ms, "The backend server failed during the request."},
    {Kind::Internal, "internal", 500, Run::Unknown, 0ms, "Internal error."},
    {Kind::PromptQuarantined, "prompt_quarantined", 503, Run::NotRun, 0ms, "Backend servers crashed under the request or a part of its prompt."},
}};

constexpr bool isOrdered()
{
    for (std::size_t i = 0; i < kindCount; ++i) {
        if (static_cast<std::size_t>(rules[i].kind) != i) {
            return false;
        }
    }
    return true;
}
static_assert(isOrdered(), "rules must follow the order of ErrorKind");

} // namespace internal

const ErrorRule &ruleOf(ErrorKind kind) noexcept
{
    const auto index = static_cast<std::size_t>(kind);
    const auto unknown = static_cast<std::size_t>(ErrorKind::Internal);
    return internal::rules[index < internal::kindCount ? index : unknown];
}

} // namespace cyclamenspool::core
