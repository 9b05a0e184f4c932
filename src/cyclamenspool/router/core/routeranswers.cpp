#include <cyclamenspool/router/core/routercore.h>

#include <algorithm>
#include <utility>

namespace cyclamenspool::router {

using core::ErrorKind;
using core::RunState;

namespace internal {

/** @brief Returns whether another backend server may accept a request that one rejected with this error. */
bool isRetryableElsewhere(ErrorKind kind)
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

Actions RouterCore::onReply(std::uint64_t attemptId, const wire::Reply &reply, core::Now now)
{
    const std::lock_guard lock(mutex_);
    Actions actions;
    auto *pending = findByAttempt(attemptId);
    if (pending == nullptr || reply.attempt() != attemptId || reply.request_id() != pending->request.id) {
        ++counts_.droppedReplies;
        return actions;
    }
    suspects_.recordSuccess(pending->server, now.monotonic);
    switch (reply.body_case()) {
    case wire::Reply::kBegin:
        if (!pending->responseStarted) {
            pending->responseStarted = true;
            actions.emplace_back(ResponseHead{pending->request.id, reply.begin().status(), reply.begin().content_type(), reply.begin().backend_server()});
        }
        break;
    case wire::Reply::kChunk:
        onResponseChunk(*pending, reply.chunk(), actions);
        break;
    case wire::Reply::kEnd:
        onResponseEnd(*pending, reply.end(), actions);
        break;
    case wire::Reply::kFailed:
        onFailureReply(*pending, reply.failed(), now, actions);
        break;
    default:
        ++counts_.droppedReplies;
        break;
    }
    return actions;
}

void RouterCore::onResponseChunk(PendingRequest &pending, const wire::Chunk &chunk, Actions &actions)
{
    const bool hasGap = chunk.offset() > pending.receivedBytes;
    if (!pending.responseStarted || hasGap) {
        const auto attemptId = pending.attemptId;
        fail(pending,
             ErrorKind::AnswerCut,
             "a response chunk arrived before the response headers, or bytes before it are missing",
             core::Milliseconds(0),
             actions);
        actions.emplace_back(CancelAttempt{attemptId});
        return;
    }
    // A chunk may repeat bytes that were already relayed; only the rest is new.
    const auto duplicateBytes = pending.receivedBytes - chunk.offset();
    if (duplicateBytes >= chunk.data().size()) {
        ++counts_.droppedReplies;
        return;
    }
    pending.receivedBytes += chunk.data().size() - duplicateBytes;
    actions.emplace_back(ResponseChunk{pending.request.id, chunk.data().substr(duplicateBytes)});
}

void RouterCore::onResponseEnd(PendingRequest &pending, const wire::End &end, Actions &actions)
{
    if (!pending.responseStarted || end.total() != pending.receivedBytes) {
        fail(pending,
             ErrorKind::AnswerCut,
             "the response ended before its headers or its total length differs from the bytes received",
             core::Milliseconds(0),
             actions);
        return;
    }
    ++counts_.completed;
    auto decision = makeDecision(pending, "answer");
    decision.choice = pending.server;
    decision.reason = "whole";
    actions.emplace_back(std::move(decision));
    actions.emplace_back(ResponseEnd{pending.request.id});
    remove(pending);
}

void RouterCore::onFailureReply(PendingRequest &pending, const wire::Failed &failed, core::Now now, Actions &actions)
{
    const auto kind = static_cast<ErrorKind>(failed.kind());
    const auto &rule = core::ruleOf(kind);
    const auto retryAfter = core::Milliseconds(failed.retry_after_ms());
    const bool canRetryElsewhere = rule.runState == RunState::NotRun && !pending.responseStarted && internal::isRetryableElsewhere(kind);
    if (!canRetryElsewhere) {
        fail(pending, kind, failed.detail(), retryAfter, actions);
        return;
    }
    requestIdsByAttempt_.erase(pending.attemptId);
    if (kind == ErrorKind::Overloaded || kind == ErrorKind::ColdStart || kind == ErrorKind::ElsewhereWarm) {
        pending.rejectedBy[pending.server] = failed.load();
    }
    const auto &candidate = failed.candidate();
    const bool isRedirect = pending.placement.affinity == Affinity::Chat && !candidate.empty() && pending.triedServers.count(candidate) == 0;
    if (isRedirect && pending.attemptCount < limits_.maxAttempts) {
        ++counts_.redirects;
        sendTo(pending, candidate, "redirected by " + pending.server + ": " + std::string(rule.name), true, now, actions);
        return;
    }
    tryNextCandidate(pending, kind, failed.detail(), false, now, actions);
}

Actions RouterCore::onAttemptLost(std::uint64_t attemptId, bool mayHaveBeenSent, const std::string &reason, core::Now now)
{
    const std::lock_guard lock(mutex_);
    Actions actions;
    auto *pending = findByAttempt(attemptId);
    if (pending == nullptr) {
        return actions;
    }
    requestIdsByAttempt_.erase(attemptId);
    suspects_.recordFailure(pending->server, now.monotonic);
    if (!mayHaveBeenSent) {
        tryNextCandidate(*pending, ErrorKind::BackendDown, pending->server + ": " + reason, true, now, actions);
        return actions;
    }
    pending->mayHaveRun = true;
    if (pending->responseStarted) {
        fail(*pending, ErrorKind::AnswerCut, reason, core::Milliseconds(0), actions);
    } else if (!pending->isRetryable) {
        fail(*pending, ErrorKind::OutcomeUnknown, reason, core::Milliseconds(0), actions);
    } else {
        tryNextCandidate(*pending, ErrorKind::OutcomeUnknown, pending->server + ": " + reason, true, now, actions);
    }
    return actions;
}

} // namespace cyclamenspool::router
