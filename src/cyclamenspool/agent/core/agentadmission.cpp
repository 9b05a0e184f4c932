#include <cyclamenspool/agent/core/agentcore.h>
#include <cyclamenspool/agent/core/replies.h>

#include <cyclamenspool/policy/rendezvous.h>

#include <algorithm>

namespace cyclamenspool::agent {

using core::Error;
using core::ErrorKind;

namespace internal {

constexpr double minHistoryTokens = 64.0; /* shorter prompts have no history worth a redirect */
constexpr double poolFullFraction = 0.95; /* of the capacity; a pool with this mean load counts as full */

ErrorKind errorKindOf(policy::IdempotencyVerdict verdict)
{
    switch (verdict) {
    case policy::IdempotencyVerdict::AlreadyRun:
        return ErrorKind::AlreadyRun;
    case policy::IdempotencyVerdict::Conflict:
        return ErrorKind::KeyConflict;
    case policy::IdempotencyVerdict::FromFuture:
        return ErrorKind::BadKey;
    default:
        return ErrorKind::MayHaveRun;
    }
}

const char *detailOf(policy::IdempotencyVerdict verdict)
{
    switch (verdict) {
    case policy::IdempotencyVerdict::AlreadyRun:
        return "the request with this key has completed and its response is no longer stored";
    case policy::IdempotencyVerdict::Conflict:
        return "the key was already used with another body";
    case policy::IdempotencyVerdict::FromFuture:
        return "the key's timestamp is ahead of the clock";
    case policy::IdempotencyVerdict::Expired:
        return "the key is older than the retention window";
    default:
        return "a request with this key is running or was interrupted, or the key was created before this agent became its home";
    }
}

} // namespace internal

void AgentCore::checkAvailable(const wire::Submit &request, core::Now now) const
{
    if (shuttingDown_) {
        throw Error(ErrorKind::ShuttingDown, "the agent of '" + options_.server + "' is shutting down");
    }
    if (view_ == nullptr || !lease_.holds(now.monotonic)) {
        throw Error(ErrorKind::StaleView, "the agent of '" + options_.server + "' has no current view of the fleet");
    }
    const auto *ownPool = pool();
    if (ownPool == nullptr || ownPool->name != request.pool()) {
        throw Error(ErrorKind::UnknownPool, "'" + options_.server + "' does not serve pool '" + request.pool() + "'");
    }
    if (isLeaving()) {
        throw Error(ErrorKind::Leaving, "'" + options_.server + "' is leaving");
    }
    if (request.remaining_ms() <= 0) {
        throw Error(ErrorKind::DeadlineBeforeRun, "the deadline had passed when the request reached '" + options_.server + "'");
    }
    if (!engine_) {
        throw Error(ErrorKind::BackendDown, "'" + options_.server + "' does not respond to its agent");
    }
    const auto &models = engine_->models;
    const bool loaded = ownPool->model.empty() || std::find(models.begin(), models.end(), ownPool->model) != models.end();
    if (!loaded) {
        throw Error(ErrorKind::ColdStart, "'" + options_.server + "' has not loaded model '" + ownPool->model + "'");
    }
}

AgentCore::Cost AgentCore::costOf(const wire::Submit &request, core::Now now)
{
    if (pool()->isService()) {
        return {0.0, 1.0, 0.0};
    }
    double warm = 0.0;
    if (!request.chat().empty()) {
        const auto *placement = chats_.find(request.chat(), now.monotonic);
        const bool here = placement != nullptr && placement->server.empty();
        warm = here ? static_cast<double>(placement->warmTokens) : 0.0;
    }
    const auto prompt = static_cast<double>(request.prompt_tokens());
    const auto decode = static_cast<double>(std::max<std::uint64_t>(request.decode_tokens(), 1));
    return {std::max(prompt - warm, 0.0), decode, std::min(warm, prompt)};
}

std::string AgentCore::findWarmPeer(const wire::Submit &request, core::Now now)
{
    if (request.chat().empty() || request.located() || pool()->isService()) {
        return "";
    }
    const auto *placement = chats_.find(request.chat(), now.monotonic);
    if (placement != nullptr) {
        const auto *other = placement->server.empty() ? nullptr : view_->find(request.pool(), placement->server);
        return other != nullptr && other->accepting ? placement->server : "";
    }
    const bool hasHistory = static_cast<double>(request.prompt_tokens()) >= internal::minHistoryTokens;
    if (!hasHistory || !ramp_.isCold(now.monotonic, pool()->warmUp)) {
        return "";
    }
    const auto ranked = policy::rankByRendezvous(request.chat(), view_->members(request.pool()), 2);
    const bool isHome = ranked.size() == 2 && ranked[0]->server == options_.server;
    if (!isHome) {
        return "";
    }
    chats_.put(request.chat(), {ranked[1]->server, 0, now.monotonic});
    return ranked[1]->server;
}

bool AgentCore::hasCapacityFor(const wire::Submit &request, const Cost &cost, core::Now now) const
{
    const double total = cost.total();
    if (pool()->isService()) {
        return outstandingTokens_ + total <= capacity(now) * weight();
    }
    const bool idle = runs_.empty();
    const std::vector<double> seen(request.seen_loads().begin(), request.seen_loads().end());
    return idle || outstandingTokens_ + total <= loadLimit(cost, seen, now);
}

bool AgentCore::isPoolFull(core::Now now) const
{
    const auto mean = estimator_->estimate(now);
    return mean && *mean >= internal::poolFullFraction * pool()->maxTokens;
}

std::string AgentCore::spilloverCandidate(const wire::Submit &request, const Cost &cost, core::Now now)
{
    const auto mean = estimator_->estimate(now);
    const double limit = mean ? std::max(*mean, largestRequest_ / weight()) : pool()->maxTokens;
    auto target = peers_.pick(limit, now.monotonic, random_);
    const auto *member = view_->find(request.pool(), target);
    if (member == nullptr || !member->accepting || target == options_.server) {
        return "";
    }
    peers_.addLoad(target, cost.prefill + cost.decode);
    return target;
}

core::Decision AgentCore::makeDecision(const char *kind, const wire::Submit &request) const
{
    core::Decision decision;
    decision.kind = kind;
    decision.request = request.request_id();
    decision.chat = request.chat();
    decision.workspace = request.workspace();
    decision.pool = request.pool();
    decision.candidates = {options_.server};
    decision.revision = view_ == nullptr ? 0 : view_->revision();
    return decision;
}

void AgentCore::refuse(std::uint64_t stream,
                       const wire::Submit &request,
                       ErrorKind kind,
                       const std::string &detail,
                       const std::string &candidate,
                       Actions &actions)
{
    auto decision = makeDecision("admit", request);
    decision.choice = std::string(core::ruleOf(kind).name);
    decision.reason = detail;
    if (!candidate.empty()) {
        decision.candidates.push_back(candidate);
    }
    actions.emplace_back(std::move(decision));
    auto reply = internal::replyFor(request);
    auto *failed = reply.mutable_failed();
    failed->set_kind(static_cast<int>(kind));
    failed->set_detail(detail);
    failed->set_retry_after_ms(core::ruleOf(kind).retryAfter.count());
    failed->set_candidate(candidate);
    failed->set_load(view_ == nullptr ? 0.0 : outstandingTokens_ / weight());
    actions.emplace_back(SendReply{stream, std::move(reply), true});
    ++counts_.refusals[kind];
}

Actions AgentCore::onSubmit(std::uint64_t stream, const wire::Submit &request, core::Now now)
{
    const std::lock_guard lock(mutex_);
    Actions actions;
    try {
        checkAvailable(request, now);
        admit(stream, request, now, actions);
    } catch (const Error &error) {
        refuse(stream, request, error.kind(), error.what(), "", actions);
    }
    return actions;
}

void AgentCore::admit(std::uint64_t stream, const wire::Submit &request, core::Now now, Actions &actions)
{
    if (!request.key().empty()) {
        keys_->checkHome(request, now);
    }
    const auto warmPeer = findWarmPeer(request, now);
    if (!warmPeer.empty()) {
        refuse(stream, request, ErrorKind::ElsewhereWarm, "the chat's history is cached on '" + warmPeer + "'", warmPeer, actions);
        return;
    }
    const auto cost = costOf(request, now);
    const bool isRepeat = !request.key().empty() && keys_->find(request) != nullptr;
    if (!isRepeat && !hasCapacityFor(request, cost, now)) {
        const bool cold = ramp_.isCold(now.monotonic, pool()->warmUp);
        const auto target = spilloverCandidate(request, cost, now);
        if (!target.empty() && !request.chat().empty() && homeOfChat(request.chat()) == options_.server) {
            chats_.put(request.chat(), {target, 0, now.monotonic});
        }
        const auto kind = isPoolFull(now) ? ErrorKind::PoolFull : cold ? ErrorKind::ColdStart : ErrorKind::Overloaded;
        refuse(stream, request, kind, "'" + options_.server + "' is at its load limit", target, actions);
        return;
    }
    if (!request.key().empty() && !admitKey(stream, request, now, actions)) {
        return;
    }
    start(stream, request, cost, now, actions);
}

bool AgentCore::admitKey(std::uint64_t stream, const wire::Submit &request, core::Now now, Actions &actions)
{
    const auto verdict = keys_->admit(request, now);
    if (verdict == policy::IdempotencyVerdict::Run) {
        return true;
    }
    if (verdict == policy::IdempotencyVerdict::Replay) {
        replayStoredResponse(stream, request, *keys_->find(request), actions);
        return false;
    }
    refuse(stream, request, internal::errorKindOf(verdict), internal::detailOf(verdict), "", actions);
    return false;
}

void AgentCore::replayStoredResponse(std::uint64_t stream, const wire::Submit &request, const policy::IdempotencyRecord &record, Actions &actions)
{
    ++counts_.replayedResponses;
    auto decision = makeDecision("admit", request);
    decision.choice = options_.server;
    decision.reason = "replayed the stored response of a completed key";
    actions.emplace_back(std::move(decision));
    auto begin = internal::replyFor(request);
    begin.mutable_begin()->set_status(record.response.status);
    begin.mutable_begin()->set_content_type(record.response.contentType);
    begin.mutable_begin()->set_backend_server(options_.server);
    actions.emplace_back(SendReply{stream, std::move(begin), false});
    auto chunk = internal::replyFor(request);
    chunk.mutable_chunk()->set_data(record.response.body);
    actions.emplace_back(SendReply{stream, std::move(chunk), false});
    auto end = internal::replyFor(request);
    end.mutable_end()->set_total(record.response.body.size());
    actions.emplace_back(SendReply{stream, std::move(end), true});
}

void AgentCore::start(std::uint64_t stream, const wire::Submit &request, const Cost &cost, core::Now now, Actions &actions)
{
    auto decision = makeDecision("admit", request);
    decision.choice = options_.server;
    decision.reason = request.located() ? "routed here by a redirect, a location hint or a retry round" : "within the load limit";
    actions.emplace_back(std::move(decision));
    const auto id = nextRun_++;
    Run run;
    run.stream = stream;
    run.request = request;
    run.deadline = now.monotonic + core::Milliseconds(request.remaining_ms());
    run.prefill = cost.prefill;
    run.decode = cost.decode;
    largestRequest_ = std::max(largestRequest_, cost.prefill + cost.decode);
    adjustLoad(cost.prefill + cost.decode, now);
    ++counts_.admitted;
    counts_.promptTokens += request.prompt_tokens();
    counts_.estimatedWarmTokens += static_cast<std::uint64_t>(cost.warm);
    runByStream_[stream] = id;
    actions.emplace_back(StartRun{id, request, core::Milliseconds(request.remaining_ms())});
    run.request.clear_body();
    runs_.emplace(id, std::move(run));
}

} // namespace cyclamenspool::agent
