#include <cyclamenspool/router/core/routercore.h>

#include <cyclamenspool/core/uuid.h>

#include <algorithm>
#include <utility>

namespace cyclamenspool::router {

using core::ErrorKind;
using core::RunState;

core::Decision RouterCore::makeDecision(const PendingRequest &pending, const char *kind) const
{
    core::Decision decision;
    decision.kind = kind;
    decision.request = pending.request.id;
    decision.chat = pending.request.chat;
    decision.workspace = pending.request.workspace;
    decision.pool = pending.request.pool;
    decision.candidates = pending.placement.candidates;
    decision.revision = view_ == nullptr ? 0 : view_->revision();
    return decision;
}

void RouterCore::sendTo(PendingRequest &pending, const std::string &server, const std::string &reason, bool located, core::Now now, Actions &actions)
{
    auto decision = makeDecision(pending, "route");
    decision.choice = server;
    decision.reason = reason;
    actions.emplace_back(std::move(decision));
    pending.triedServers.insert(server);
    pending.server = server;
    const auto *member = view_->find(pending.request.pool, server);
    if (member == nullptr || !member->accepting) {
        tryNextCandidate(pending, ErrorKind::Leaving, "backend server '" + server + "' is not listed as accepting new requests", false, now, actions);
        return;
    }
    ++pending.attemptCount;
    ++counts_.attempts;
    pending.attemptId = nextAttemptId_++;
    requestIdsByAttempt_[pending.attemptId] = pending.request.id;
    const auto &request = pending.request;
    SendAttempt send{pending.attemptId, member->address, {}};
    auto &message = send.message;
    message.set_request_id(request.id);
    message.set_attempt(pending.attemptId);
    message.set_router(name_);
    message.set_table_revision(view_->revision());
    message.set_workspace(request.workspace);
    message.set_pool(request.pool);
    message.set_chat(request.chat);
    message.set_key(pending.effectiveKey);
    message.set_key_from_router(pending.keyFromRouter);
    message.set_method(request.method);
    message.set_path(request.path);
    message.set_content_type(request.contentType);
    message.set_body(request.body);
    message.set_prompt_tokens(request.promptTokens);
    message.set_decode_tokens(request.decodeTokens);
    message.set_priority(request.priority);
    message.set_stream(request.isStreaming);
    message.set_located(located);
    for (const auto &[rejectingServer, load] : pending.rejectedBy) {
        message.add_seen_loads(load);
    }
    const auto remaining = std::chrono::duration_cast<core::Milliseconds>(pending.deadline - now.monotonic);
    message.set_remaining_ms(std::max<long>(remaining.count(), 0));
    actions.emplace_back(std::move(send));
}

std::string RouterCore::nextCandidate(const PendingRequest &pending) const
{
    for (const auto &server : pending.placement.candidates) {
        if (pending.triedServers.count(server) == 0) {
            return server;
        }
    }
    return "";
}

void RouterCore::tryNextCandidate(PendingRequest &pending, ErrorKind cause, const std::string &detail, bool usesRetryBudget, core::Now now, Actions &actions)
{
    const auto retryAfter = core::ruleOf(cause).retryAfter;
    if (pending.placement.affinity == Affinity::IdempotencyKey) {
        const bool isHomeUnavailable = cause == ErrorKind::Leaving || cause == ErrorKind::BackendDown || cause == ErrorKind::ShuttingDown;
        const auto kind = isHomeUnavailable ? ErrorKind::HomeDown : cause;
        fail(pending, kind, detail, core::ruleOf(kind).retryAfter, actions);
        return;
    }
    const auto next = nextCandidate(pending);
    if (next.empty() || pending.attemptCount >= limits_.maxAttempts) {
        if (!continueRetryRounds(pending, now, actions)) {
            fail(pending, cause, detail, retryAfter, actions);
        }
        return;
    }
    if (usesRetryBudget && !retryBudget_.take()) {
        fail(pending, ErrorKind::RetryBudget, detail, core::ruleOf(ErrorKind::RetryBudget).retryAfter, actions);
        return;
    }
    ++counts_.retries;
    sendTo(pending, next, "next candidate after " + std::string(core::ruleOf(cause).name), false, now, actions);
}

bool RouterCore::continueRetryRounds(PendingRequest &pending, core::Now now, Actions &actions)
{
    if (pending.rejectedBy.empty()) {
        return false;
    }
    const bool isRoundUnfinished = pending.retryRounds > 0 && pending.attemptsInRound < pending.rejectedBy.size();
    if (isRoundUnfinished) {
        sendToLeastLoaded(pending, now, actions);
        return true;
    }
    if (pending.retryRounds >= limits_.maxRetryRounds) {
        return false;
    }
    pending.attemptsInRound = 0;
    if (++pending.retryRounds == 1) {
        sendToLeastLoaded(pending, now, actions);
    } else {
        pending.nextRoundAt = now.monotonic + limits_.retryRoundDelay;
    }
    return true;
}

void RouterCore::sendToLeastLoaded(PendingRequest &pending, core::Now now, Actions &actions)
{
    const auto &loads = pending.rejectedBy;
    const auto isLessLoaded = [](const auto &a, const auto &b) {
        return a.second < b.second;
    };
    ++pending.attemptsInRound;
    const auto leastLoaded = std::min_element(loads.begin(), loads.end(), isLessLoaded);
    sendTo(pending, leastLoaded->first, "least loaded of the backend servers that rejected the request", true, now, actions);
}

void RouterCore::startDueRounds(core::Now now, Actions &actions)
{
    std::vector<std::string> due;
    for (const auto &[id, pending] : pendingRequests_) {
        if (pending.nextRoundAt && *pending.nextRoundAt <= now.monotonic) {
            due.push_back(id);
        }
    }
    for (const auto &id : due) {
        auto &pending = pendingRequests_.at(id);
        pending.nextRoundAt.reset();
        sendToLeastLoaded(pending, now, actions);
    }
}

void RouterCore::expirePending(core::Now now, Actions &actions)
{
    std::vector<std::string> expired;
    for (const auto &[id, pending] : pendingRequests_) {
        if (pending.deadline <= now.monotonic) {
            expired.push_back(id);
        }
    }
    for (const auto &id : expired) {
        auto &pending = pendingRequests_.at(id);
        const auto kind = pending.nextRoundAt ? ErrorKind::DeadlineBeforeRun : ErrorKind::DeadlineAfterSend;
        const auto attemptId = pending.attemptId;
        fail(pending, kind, "the caller's deadline passed", core::ruleOf(kind).retryAfter, actions);
        actions.emplace_back(CancelAttempt{attemptId});
    }
}

void RouterCore::fail(PendingRequest &pending, ErrorKind kind, const std::string &detail, core::Milliseconds retryAfter, Actions &actions)
{
    auto runState = core::ruleOf(kind).runState;
    if (runState == RunState::NotRun && (pending.mayHaveRun || pending.responseStarted)) {
        runState = RunState::Unknown;
    }
    auto decision = makeDecision(pending, "answer");
    decision.choice = std::string(core::ruleOf(kind).name);
    decision.reason = detail;
    actions.emplace_back(std::move(decision));
    actions.emplace_back(ResponseFailure{pending.request.id, kind, detail, retryAfter, runState});
    ++counts_.failures[kind];
    remove(pending);
}

void RouterCore::remove(const PendingRequest &pending)
{
    requestIdsByAttempt_.erase(pending.attemptId);
    const auto id = pending.request.id;
    pendingRequests_.erase(id);
}

RouterCore::PendingRequest *RouterCore::findByAttempt(std::uint64_t attemptId)
{
    const auto id = requestIdsByAttempt_.find(attemptId);
    if (id == requestIdsByAttempt_.end()) {
        return nullptr;
    }
    const auto pending = pendingRequests_.find(id->second);
    const bool isCurrent = pending != pendingRequests_.end() && pending->second.attemptId == attemptId;
    return isCurrent ? &pending->second : nullptr;
}

} // namespace cyclamenspool::router
