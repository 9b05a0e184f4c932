#include <cyclamenspool/router/core/routercore.h>

#include <algorithm>
#include <utility>

namespace cyclamenspool::router {

using core::ErrorKind;
using core::RunState;

namespace internal {

/** @brief Tells whether another candidate may succeed where this one refused. */
bool helpsElsewhere(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::Overloaded:
    case ErrorKind::ColdStart:
    case ErrorKind::Leaving:
    case ErrorKind::ShuttingDown:
    case ErrorKind::StaleView:
    case ErrorKind::ElsewhereWarm:
    case ErrorKind::BackendDown:
    case ErrorKind::WrongHome:
    case ErrorKind::UnknownPool:
        return true;
    default:
        return false;
    }
}

} // namespace internal

Actions RouterCore::onReply(std::uint64_t attempt, const wire::Reply &reply, core::Now now)
{
    const std::lock_guard lock(mutex_);
    Actions actions;
    auto *flight = findAttempt(attempt);
    if (flight == nullptr || reply.attempt() != attempt || reply.request_id() != flight->request.id) {
        ++counts_.droppedReplies;
        return actions;
    }
    suspects_.noteAnswer(flight->target, now.monotonic);
    switch (reply.body_case()) {
    case wire::Reply::kBegin:
        if (!flight->began) {
            flight->began = true;
            actions.emplace_back(AnswerBegin{flight->request.id, reply.begin().status(), reply.begin().content_type(), reply.begin().backend_server()});
        }
        break;
    case wire::Reply::kChunk:
        onChunk(*flight, reply.chunk(), actions);
        break;
    case wire::Reply::kEnd:
        onEnd(*flight, reply.end(), actions);
        break;
    case wire::Reply::kFailed:
        onFailed(*flight, reply.failed(), now, actions);
        break;
    default:
        ++counts_.droppedReplies;
        break;
    }
    return actions;
}

void RouterCore::onChunk(Flight &flight, const wire::Chunk &chunk, Actions &actions)
{
    const bool gap = chunk.offset() > flight.received;
    if (!flight.began || gap) {
        const auto attempt = flight.attempt;
        fail(flight, ErrorKind::AnswerCut, "a part of the answer is missing", core::Milliseconds(0), actions);
        actions.emplace_back(CancelAttempt{attempt});
        return;
    }
    const auto known = flight.received - chunk.offset();
    if (known >= chunk.data().size()) {
        ++counts_.droppedReplies;
        return;
    }
    flight.received += chunk.data().size() - known;
    actions.emplace_back(AnswerChunk{flight.request.id, chunk.data().substr(known)});
}

void RouterCore::onEnd(Flight &flight, const wire::End &end, Actions &actions)
{
    if (!flight.began || end.total() != flight.received) {
        fail(flight, ErrorKind::AnswerCut, "the answer ended before its whole length", core::Milliseconds(0), actions);
        return;
    }
    ++counts_.whole;
    auto decision = decide(flight, "answer");
    decision.choice = flight.target;
    decision.reason = "whole";
    actions.emplace_back(std::move(decision));
    actions.emplace_back(AnswerEnd{flight.request.id});
    erase(flight);
}

void RouterCore::onFailed(Flight &flight, const wire::Failed &failed, core::Now now, Actions &actions)
{
    const auto kind = static_cast<ErrorKind>(failed.kind());
    const auto &rule = core::ruleOf(kind);
    const auto retryAfter = core::Milliseconds(failed.retry_after_ms());
    const bool canMove = rule.runState == RunState::NotRun && !flight.began && internal::helpsElsewhere(kind);
    if (!canMove) {
        fail(flight, kind, failed.detail(), retryAfter, actions);
        return;
    }
    attempts_.erase(flight.attempt);
    if (kind == ErrorKind::Overloaded || kind == ErrorKind::ColdStart || kind == ErrorKind::ElsewhereWarm) {
        flight.refusedLoads[flight.target] = failed.load();
    }
    const auto &candidate = failed.candidate();
    const bool redirect = flight.placement.binding == Binding::Chat && !candidate.empty() && flight.tried.count(candidate) == 0;
    if (redirect && flight.attempts < limits_.attempts) {
        ++counts_.redirects;
        sendTo(flight, candidate, "named by " + flight.target + ": " + std::string(rule.name), true, now, actions);
        return;
    }
    tryNext(flight, kind, failed.detail(), false, now, actions);
}

Actions RouterCore::onAttemptLost(std::uint64_t attempt, bool sent, const std::string &reason, core::Now now)
{
    const std::lock_guard lock(mutex_);
    Actions actions;
    auto *flight = findAttempt(attempt);
    if (flight == nullptr) {
        return actions;
    }
    attempts_.erase(attempt);
    suspects_.noteFailure(flight->target, now.monotonic);
    if (!sent) {
        tryNext(*flight, ErrorKind::BackendDown, flight->target + ": " + reason, true, now, actions);
        return actions;
    }
    flight->mayHaveRun = true;
    if (flight->began) {
        fail(*flight, ErrorKind::AnswerCut, reason, core::Milliseconds(0), actions);
    } else if (!flight->isRepeatable) {
        fail(*flight, ErrorKind::OutcomeUnknown, reason, core::Milliseconds(0), actions);
    } else {
        tryNext(*flight, ErrorKind::OutcomeUnknown, flight->target + ": " + reason, true, now, actions);
    }
    return actions;
}

} // namespace cyclamenspool::router
