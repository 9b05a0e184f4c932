#include <cyclamenspool/router/core/routercore.h>

#include <cyclamenspool/core/uuid.h>

#include <algorithm>
#include <utility>

namespace cyclamenspool::router {

using core::ErrorKind;
using core::RunState;

core::Decision RouterCore::decide(const Flight &flight, const char *kind) const
{
    core::Decision decision;
    decision.kind = kind;
    decision.request = flight.request.id;
    decision.chat = flight.request.chat;
    decision.workspace = flight.request.workspace;
    decision.pool = flight.request.pool;
    decision.candidates = flight.placement.candidates;
    decision.revision = view_ == nullptr ? 0 : view_->revision();
    return decision;
}

void RouterCore::sendTo(Flight &flight, const std::string &server, const std::string &reason, bool located, core::Now now, Actions &actions)
{
    auto decision = decide(flight, "route");
    decision.choice = server;
    decision.reason = reason;
    actions.emplace_back(std::move(decision));
    flight.tried.insert(server);
    flight.target = server;
    ++flight.attempts;
    ++counts_.attempts;
    const auto *member = view_->find(flight.request.pool, server);
    if (member == nullptr || !member->accepting) {
        tryNext(flight, ErrorKind::Leaving, "backend server '" + server + "' is not listed as taking work", false, now, actions);
        return;
    }
    flight.attempt = nextAttempt_++;
    attempts_[flight.attempt] = flight.request.id;
    const auto &request = flight.request;
    SendAttempt send{flight.attempt, member->address, {}};
    auto &message = send.message;
    message.set_request_id(request.id);
    message.set_attempt(flight.attempt);
    message.set_router(name_);
    message.set_table_revision(view_->revision());
    message.set_workspace(request.workspace);
    message.set_pool(request.pool);
    message.set_chat(request.chat);
    message.set_key(flight.scopedKey);
    message.set_key_from_router(flight.keyFromRouter);
    message.set_method(request.method);
    message.set_path(request.path);
    message.set_content_type(request.contentType);
    message.set_body(request.body);
    message.set_prompt_tokens(request.promptTokens);
    message.set_decode_tokens(request.decodeTokens);
    message.set_priority(request.priority);
    message.set_stream(request.stream);
    message.set_located(located);
    for (const auto &[refuser, load] : flight.refusedLoads) {
        message.add_seen_loads(load);
    }
    const auto left = std::chrono::duration_cast<core::Milliseconds>(flight.deadline - now.monotonic);
    message.set_remaining_ms(std::max<long>(left.count(), 0));
    actions.emplace_back(std::move(send));
}

std::string RouterCore::nextCandidate(const Flight &flight) const
{
    for (const auto &server : flight.placement.candidates) {
        if (flight.tried.count(server) == 0) {
            return server;
        }
    }
    return "";
}

void RouterCore::tryNext(Flight &flight, ErrorKind cause, const std::string &detail, bool takesBudget, core::Now now, Actions &actions)
{
    const auto retryAfter = core::ruleOf(cause).retryAfter;
    if (flight.placement.binding == Binding::KeyHome) {
        const bool homeGone = cause == ErrorKind::Leaving || cause == ErrorKind::BackendDown || cause == ErrorKind::ShuttingDown;
        const auto kind = homeGone ? ErrorKind::HomeDown : cause;
        fail(flight, kind, detail, core::ruleOf(kind).retryAfter, actions);
        return;
    }
    const auto next = nextCandidate(flight);
    if (next.empty() || flight.attempts >= limits_.attempts) {
        if (!sweepAgain(flight, now, actions)) {
            fail(flight, cause, detail, retryAfter, actions);
        }
        return;
    }
    if (takesBudget && !retryBudget_.take()) {
        fail(flight, ErrorKind::RetryBudget, detail, core::ruleOf(ErrorKind::RetryBudget).retryAfter, actions);
        return;
    }
    ++counts_.retries;
    sendTo(flight, next, "next candidate after " + std::string(core::ruleOf(cause).name), false, now, actions);
}

bool RouterCore::sweepAgain(Flight &flight, core::Now now, Actions &actions)
{
    if (flight.refusedLoads.empty()) {
        return false;
    }
    const bool goesOn = flight.sweeps > 0 && flight.asked <= flight.refusedLoads.size();
    if (goesOn) {
        sendToLeastLoaded(flight, now, actions);
        return true;
    }
    if (flight.sweeps >= limits_.sweeps) {
        return false;
    }
    flight.asked = 0;
    if (++flight.sweeps == 1) {
        sendToLeastLoaded(flight, now, actions);
    } else {
        flight.waitsUntil = now.monotonic + limits_.sweepPause;
    }
    return true;
}

void RouterCore::sendToLeastLoaded(Flight &flight, core::Now now, Actions &actions)
{
    const auto &loads = flight.refusedLoads;
    const auto lighter = [](const auto &a, const auto &b) {
        return a.second < b.second;
    };
    ++flight.asked;
    const auto least = std::min_element(loads.begin(), loads.end(), lighter);
    sendTo(flight, least->first, "least loaded of those that refused", true, now, actions);
}

void RouterCore::resumeWaiting(core::Now now, Actions &actions)
{
    std::vector<std::string> due;
    for (const auto &[id, flight] : flights_) {
        if (flight.waitsUntil && *flight.waitsUntil <= now.monotonic) {
            due.push_back(id);
        }
    }
    for (const auto &id : due) {
        auto &flight = flights_.at(id);
        flight.waitsUntil.reset();
        sendToLeastLoaded(flight, now, actions);
    }
}

void RouterCore::endLate(core::Now now, Actions &actions)
{
    std::vector<std::string> late;
    for (const auto &[id, flight] : flights_) {
        if (flight.deadline <= now.monotonic) {
            late.push_back(id);
        }
    }
    for (const auto &id : late) {
        auto &flight = flights_.at(id);
        const auto kind = flight.waitsUntil ? ErrorKind::DeadlineBeforeRun : ErrorKind::DeadlineAfterSend;
        const auto attempt = flight.attempt;
        fail(flight, kind, "the caller's deadline passed", core::ruleOf(kind).retryAfter, actions);
        actions.emplace_back(CancelAttempt{attempt});
    }
}

void RouterCore::fail(Flight &flight, ErrorKind kind, const std::string &detail, core::Milliseconds retryAfter, Actions &actions)
{
    auto runState = core::ruleOf(kind).runState;
    if (runState == RunState::NotRun && (flight.mayHaveRun || flight.began)) {
        runState = RunState::Unknown;
    }
    auto decision = decide(flight, "answer");
    decision.choice = std::string(core::ruleOf(kind).name);
    decision.reason = detail;
    actions.emplace_back(std::move(decision));
    actions.emplace_back(AnswerFailure{flight.request.id, kind, detail, retryAfter, runState});
    ++counts_.failures[kind];
    erase(flight);
}

void RouterCore::erase(const Flight &flight)
{
    attempts_.erase(flight.attempt);
    const auto id = flight.request.id;
    flights_.erase(id);
}

RouterCore::Flight *RouterCore::findAttempt(std::uint64_t attempt)
{
    const auto id = attempts_.find(attempt);
    if (id == attempts_.end()) {
        return nullptr;
    }
    const auto flight = flights_.find(id->second);
    const bool current = flight != flights_.end() && flight->second.attempt == attempt;
    return current ? &flight->second : nullptr;
}

} // namespace cyclamenspool::router
