#include <cyclamenspool/router/core/routercore.h>

#include <cyclamenspool/core/uuid.h>

#include <algorithm>
#include <utility>

namespace cyclamenspool::router {

using core::Error;
using core::ErrorKind;

namespace internal {

bool isNonIdempotent(const CallerRequest &request, const world::Pool &pool)
{
    const auto &methods = pool.nonIdempotent;
    return std::find(methods.begin(), methods.end(), request.method) != methods.end();
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

void RouterCore::checkAdmission(const CallerRequest &request, core::Now now)
{
    if (shuttingDown_) {
        throw Error(ErrorKind::ShuttingDown, "router " + name_ + " is shutting down");
    }
    if (view_ == nullptr || !lease_.holds(now.monotonic)) {
        throw Error(ErrorKind::StaleView, "router " + name_ + " has no up-to-date view of the fleet");
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
        throw Error(ErrorKind::UnknownPool, "workspace '" + request.workspace + "' is not allowed to use pool '" + request.pool + "'");
    }
    if (!request.idempotencyKey.empty() && view_->keyHomes(request.pool).empty()) {
        throw Error(ErrorKind::BadKey, "pool '" + request.pool + "' does not support idempotency keys: none of its groups currently accepts them");
    }
    if (pendingRequests_.size() >= limits_.maxOpenRequests) {
        throw Error(ErrorKind::Overloaded, "router " + name_ + " has reached its limit of open requests");
    }
}

RouterCore::PendingRequest RouterCore::makePending(CallerRequest request, core::Now now)
{
    PendingRequest pending;
    const auto &pool = view_->table().pools().at(request.pool);
    const bool isKeyed = !request.idempotencyKey.empty();
    pending.keyFromRouter = !isKeyed && internal::isNonIdempotent(request, pool);
    pending.isRetryable = !isKeyed && !pending.keyFromRouter;
    if (isKeyed) {
        pending.effectiveKey = request.idempotencyKey;
    } else if (pending.keyFromRouter) {
        pending.effectiveKey = core::makeUuid7(now.wall, random_);
    }
    pending.deadline = now.monotonic + request.timeout;
    pending.placement = choosePlacement(request, isKeyed, *view_, random_);
    moveSuspectsLast(pending.placement, now);
    pending.request = std::move(request);
    return pending;
}

Actions RouterCore::onRequest(CallerRequest request, core::Now now)
{
    const std::lock_guard lock(mutex_);
    Actions actions;
    ++counts_.requests;
    if (!enqueueIfStale(request, now, actions)) {
        admit(std::move(request), now, actions);
    }
    return actions;
}

bool RouterCore::enqueueIfStale(CallerRequest &request, core::Now now, Actions &actions)
{
    const bool isRefreshing = view_ != nullptr && !lease_.holds(now.monotonic) && !shuttingDown_;
    if (!isRefreshing || queuedRequests_.size() >= limits_.maxOpenRequests) {
        return false;
    }
    queuedRequests_.push_back({std::move(request), now.monotonic});
    actions.emplace_back(RefreshView{});
    return true;
}

void RouterCore::admitQueued(core::Now now, Actions &actions)
{
    for (auto &queued : std::exchange(queuedRequests_, {})) {
        queued.request.timeout -= std::chrono::duration_cast<core::Milliseconds>(now.monotonic - queued.queuedAt);
        admit(std::move(queued.request), now, actions);
    }
}

void RouterCore::expireQueued(core::Now now, Actions &actions)
{
    const auto firstExpired = std::stable_partition(queuedRequests_.begin(), queuedRequests_.end(), [&now](const QueuedRequest &queued) {
        return queued.queuedAt + queued.request.timeout > now.monotonic;
    });
    for (auto queued = firstExpired; queued != queuedRequests_.end(); ++queued) {
        PendingRequest pending;
        pending.request = std::move(queued->request);
        fail(pending, ErrorKind::DeadlineBeforeRun, "the caller's deadline passed", core::ruleOf(ErrorKind::DeadlineBeforeRun).retryAfter, actions);
    }
    queuedRequests_.erase(firstExpired, queuedRequests_.end());
}

void RouterCore::admit(CallerRequest request, core::Now now, Actions &actions)
{
    PendingRequest rejected;
    rejected.request.id = request.id;
    rejected.request.pool = request.pool;
    rejected.request.workspace = request.workspace;
    try {
        checkAdmission(request, now);
        const auto &workspace = view_->table().workspaces().at(request.workspace);
        const auto retryAfter = workspaceLimiter_.check(workspace, view_->routerCount(), now.monotonic);
        if (retryAfter) {
            fail(rejected, ErrorKind::WorkspaceLimit, "workspace '" + request.workspace + "' exceeded its limit of requests per second", *retryAfter, actions);
            return;
        }
        request.priority = std::max(request.priority, workspace.priority);
        retryBudget_.onFirstAttempt();
        const auto id = request.id;
        auto &pending = pendingRequests_[id] = makePending(std::move(request), now);
        if (pending.placement.candidates.empty()) {
            const auto kind = pending.placement.affinity == Affinity::IdempotencyKey ? ErrorKind::HomeDown : ErrorKind::NoCandidate;
            fail(pending, kind, "no backend server of pool '" + pending.request.pool + "' accepts new requests", core::ruleOf(kind).retryAfter, actions);
            return;
        }
        const auto firstServer = pending.placement.candidates.front();
        sendTo(pending, firstServer, pending.placement.reason, pending.placement.isHinted, now, actions);
    } catch (const Error &error) {
        fail(rejected, error.kind(), error.what(), core::ruleOf(error.kind()).retryAfter, actions);
    }
}

void RouterCore::moveSuspectsLast(Placement &placement, core::Now now) const
{
    const auto isNotSuspect = [&](const std::string &server) {
        return !suspects_.isSuspect(server, now.monotonic);
    };
    const auto previousFirst = placement.candidates.empty() ? "" : placement.candidates.front();
    std::stable_partition(placement.candidates.begin(), placement.candidates.end(), isNotSuspect);
    const bool firstChanged = !placement.candidates.empty() && placement.candidates.front() != previousFirst;
    if (firstChanged) {
        placement.reason = "next candidate after '" + previousFirst + "', which was recently unreachable";
        placement.isHinted = false;
    }
}

Actions RouterCore::onCallerDisconnected(const std::string &requestId, core::Now now)
{
    static_cast<void>(now);
    const std::lock_guard lock(mutex_);
    Actions actions;
    queuedRequests_.erase(std::remove_if(queuedRequests_.begin(),
                                         queuedRequests_.end(),
                                         [&requestId](const QueuedRequest &queued) {
                                             return queued.request.id == requestId;
                                         }),
                          queuedRequests_.end());
    const auto found = pendingRequests_.find(requestId);
    if (found == pendingRequests_.end()) {
        return actions;
    }
    auto decision = makeDecision(found->second, "answer");
    decision.reason = "the caller disconnected";
    actions.emplace_back(std::move(decision));
    actions.emplace_back(CancelAttempt{found->second.attemptId});
    remove(found->second);
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
    expireQueued(now, actions);
    expirePending(now, actions);
    startDueRounds(now, actions);
    return actions;
}

Actions RouterCore::onView(std::shared_ptr<const member::FleetView> view, core::Now now)
{
    const std::lock_guard lock(mutex_);
    Actions actions;
    view_ = std::move(view);
    lease_.renew(now.monotonic);
    admitQueued(now, actions);
    core::Decision decision;
    decision.kind = "view";
    decision.reason = "new fleet view applied";
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
        admitQueued(now, actions);
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
    return pendingRequests_.size();
}

RouterCounts RouterCore::counts() const
{
    const std::lock_guard lock(mutex_);
    return counts_;
}

} // namespace cyclamenspool::router
