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
