#include <cyclamenspool/router/core/routercore.h>

#include <cyclamenspool/core/uuid.h>

#include <algorithm>
#include <utility>

namespace cyclamenspool::router {

using core::Error;
using core::ErrorKind;
using core::RunState;

namespace internal {

bool isNonIdempotent(const CallerRequest &request, const world::Pool &pool)
{
    const auto &methods = pool.nonIdempotent;
    return std::find(methods.begin(), methods.end(), request.method) != methods.end();
}

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

RouterCore::RouterCore(std::string name, const RouterLimits &limits, std::uint64_t seed)
    : name_(std::move(name))
    , limits_(limits)
    , random_(seed)
    , lease_(limits.viewLease)
    , retryBudget_(limits.retryRatio, limits.retryReserve)
{
}

void RouterCore::check(const CallerRequest &request, core::Now now)
{
    if (shuttingDown_) {
        throw Error(ErrorKind::ShuttingDown, "router " + name_ + " is shutting down");
    }
    if (view_ == nullptr || !lease_.holds(now.monotonic)) {
        throw Error(ErrorKind::StaleView, "router " + name_ + " has no fresh view of the fleet");
    }
    const auto &table = view_->table();
    const auto workspace = table.workspaces().find(request.workspace);
    if (workspace == table.workspaces().end()) {
        throw Error(ErrorKind::UnknownWorkspace, "workspace '" + request.workspace + "' is not in the table");
    }
    if (table.pools().count(request.pool) == 0) {
        throw Error(ErrorKind::UnknownPool, "pool '" + request.pool + "' is not in the table");
    }
    const auto &allowed = workspace->second.pools;
    if (!allowed.empty() && std::find(allowed.begin(), allowed.end(), request.pool) == allowed.end()) {
        throw Error(ErrorKind::UnknownPool, "workspace '" + request.workspace + "' may not use pool '" + request.pool + "'");
    }
    if (!request.key.empty() && view_->keyHomes(request.pool).empty()) {
        throw Error(ErrorKind::BadKey, "pool '" + request.pool + "' keeps no idempotency keys: none of its groups takes them now");
    }
    if (flights_.size() >= limits_.openRequests) {
        throw Error(ErrorKind::Overloaded, "router " + name_ + " holds as many requests as it may");
    }
}

RouterCore::Flight RouterCore::makeFlight(CallerRequest request, core::Now now)
{
    Flight flight;
    const auto &pool = view_->table().pools().at(request.pool);
    const bool isKeyed = !request.key.empty();
    flight.keyFromRouter = !isKeyed && internal::isNonIdempotent(request, pool);
    flight.isRepeatable = !isKeyed && !flight.keyFromRouter;
    if (isKeyed) {
        flight.scopedKey = request.key;
    } else if (flight.keyFromRouter) {
        flight.scopedKey = core::makeUuid7(now.wall, random_);
    }
    flight.deadline = now.monotonic + request.deadline;
    flight.placement = place(request, isKeyed, *view_, random_);
    deferSuspects(flight.placement, now);
    flight.request = std::move(request);
    return flight;
}

Actions RouterCore::onRequest(CallerRequest request, core::Now now)
{
    const std::lock_guard lock(mutex_);
    Actions actions;
    ++counts_.requests;
    if (!park(request, now, actions)) {
        take(std::move(request), now, actions);
    }
    return actions;
}

bool RouterCore::park(CallerRequest &request, core::Now now, Actions &actions)
{
    const bool refreshing = view_ != nullptr && !lease_.holds(now.monotonic) && !shuttingDown_;
    if (!refreshing || parked_.size() >= limits_.openRequests) {
        return false;
    }
    parked_.push_back({std::move(request), now.monotonic});
    actions.emplace_back(RefreshView{});
    return true;
}

void RouterCore::takeParked(core::Now now, Actions &actions)
{
    for (auto &parked : std::exchange(parked_, {})) {
        parked.request.deadline -= std::chrono::duration_cast<core::Milliseconds>(now.monotonic - parked.since);
        take(std::move(parked.request), now, actions);
    }
}

void RouterCore::endParked(core::Now now, Actions &actions)
{
    const auto late = std::stable_partition(parked_.begin(), parked_.end(), [&now](const Parked &parked) {
        return parked.since + parked.request.deadline > now.monotonic;
    });
    for (auto parked = late; parked != parked_.end(); ++parked) {
        Flight flight;
        flight.request = std::move(parked->request);
        fail(flight, ErrorKind::DeadlineBeforeRun, "the caller's deadline passed", core::ruleOf(ErrorKind::DeadlineBeforeRun).retryAfter, actions);
    }
    parked_.erase(late, parked_.end());
}

void RouterCore::take(CallerRequest request, core::Now now, Actions &actions)
{
    Flight refused;
    refused.request.id = request.id;
    refused.request.pool = request.pool;
    refused.request.workspace = request.workspace;
    try {
        check(request, now);
        const auto &workspace = view_->table().workspaces().at(request.workspace);
        const auto wait = workspaceLimiter_.check(workspace, view_->routerCount(), now.monotonic);
        if (wait) {
            fail(refused, ErrorKind::WorkspaceLimit, "workspace '" + request.workspace + "' is over its requests per second", *wait, actions);
            return;
        }
        request.priority = std::max(request.priority, workspace.priority);
        retryBudget_.onFreshRequest();
        const auto id = request.id;
        auto &flight = flights_[id] = makeFlight(std::move(request), now);
        if (flight.placement.candidates.empty()) {
            const auto kind = flight.placement.binding == Binding::KeyHome ? ErrorKind::HomeDown : ErrorKind::NoCandidate;
            fail(flight, kind, "no backend server of pool '" + flight.request.pool + "' takes work", core::ruleOf(kind).retryAfter, actions);
            return;
        }
        const auto first = flight.placement.candidates.front();
        sendTo(flight, first, flight.placement.reason, flight.placement.hinted, now, actions);
    } catch (const Error &error) {
        fail(refused, error.kind(), error.what(), core::ruleOf(error.kind()).retryAfter, actions);
    }
}

void RouterCore::deferSuspects(Placement &placement, core::Now now) const
{
    const auto trusted = [&](const std::string &server) {
        return !suspects_.isSuspect(server, now.monotonic);
    };
    const auto before = placement.candidates.empty() ? "" : placement.candidates.front();
    std::stable_partition(placement.candidates.begin(), placement.candidates.end(), trusted);
    const bool changed = !placement.candidates.empty() && placement.candidates.front() != before;
    if (changed) {
        placement.reason = "next after '" + before + "', which could not be reached";
        placement.hinted = false;
    }
}

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

Actions RouterCore::onCallerGone(const std::string &request, core::Now now)
{
    static_cast<void>(now);
    const std::lock_guard lock(mutex_);
    Actions actions;
    parked_.erase(std::remove_if(parked_.begin(),
                                 parked_.end(),
                                 [&request](const Parked &parked) {
                                     return parked.request.id == request;
                                 }),
                  parked_.end());
    const auto found = flights_.find(request);
    if (found == flights_.end()) {
        return actions;
    }
    auto decision = decide(found->second, "answer");
    decision.reason = "the caller is gone";
    actions.emplace_back(std::move(decision));
    actions.emplace_back(CancelAttempt{found->second.attempt});
    erase(found->second);
    return actions;
}

Actions RouterCore::onTick(core::Now now)
{
    const std::lock_guard lock(mutex_);
    Actions actions;
    if (lease_.holds(now.monotonic)) {
        lease_.renew(now.monotonic);
    } else {
        actions.emplace_back(RefreshView{});
    }
    endParked(now, actions);
    endLate(now, actions);
    resumeWaiting(now, actions);
    return actions;
}

Actions RouterCore::onView(std::shared_ptr<const member::FleetView> view, core::Now now)
{
    const std::lock_guard lock(mutex_);
    Actions actions;
    view_ = std::move(view);
    lease_.renew(now.monotonic);
    takeParked(now, actions);
    core::Decision decision;
    decision.kind = "view";
    decision.reason = "new view in force";
    decision.revision = view_->revision();
    actions.emplace_back(std::move(decision));
    return actions;
}

Actions RouterCore::confirmView(core::Now now)
{
    const std::lock_guard lock(mutex_);
    Actions actions;
    if (view_ != nullptr) {
        lease_.renew(now.monotonic);
        takeParked(now, actions);
    }
    return actions;
}

void RouterCore::beginShutdown()
{
    const std::lock_guard lock(mutex_);
    shuttingDown_ = true;
}

std::size_t RouterCore::openRequests() const
{
    const std::lock_guard lock(mutex_);
    return flights_.size();
}

RouterCounts RouterCore::counts() const
{
    const std::lock_guard lock(mutex_);
    return counts_;
}

} // namespace cyclamenspool::router
