#include <cyclamenspool/agent/core/agentcore.h>

#include <cyclamenspool/policy/loadbound.h>
#include <cyclamenspool/policy/modelloadslot.h>

#include <algorithm>

namespace cyclamenspool::agent {

using core::ErrorKind;

namespace internal {

constexpr std::chrono::milliseconds minOrderInterval{5000};
constexpr double largestRequestDecayPerTick = 0.999;
constexpr double minExchangeFactor = 0.5; /* of the exchange period; the largest is 1.5 */

} // namespace internal

AgentCore::AgentCore(AgentOptions options, std::uint64_t seed, core::Now now)
    : options_(std::move(options))
    , start_(now)
    , random_(seed)
    , lease_(options_.viewLease)
    , ramp_(now.monotonic)
    , chats_(options_.chatCapacity)
    , estimator_(member::makePairwiseEstimator({}))
{
}

const world::Pool *AgentCore::pool() const
{
    if (view_ == nullptr) {
        return nullptr;
    }
    const auto group = view_->table().groups().find(options_.group);
    if (group == view_->table().groups().end()) {
        return nullptr;
    }
    const auto pool = view_->table().pools().find(group->second.pool);
    return pool == view_->table().pools().end() ? nullptr : &pool->second;
}

double AgentCore::weight() const
{
    const auto group = view_->table().groups().find(options_.group);
    return group == view_->table().groups().end() ? 1.0 : group->second.weight;
}

bool AgentCore::isLeaving() const
{
    const auto found = view_->table().leavingMarks().find(options_.server);
    const bool marked = found != view_->table().leavingMarks().end() && found->second.kind == "server";
    return marked || view_->isLeaving(options_.vm, options_.zone);
}

double AgentCore::capacity(core::Now now) const
{
    const auto *ownPool = pool();
    return ramp_.capacity(now.monotonic, ownPool->coldTokens, ownPool->maxTokens, ownPool->warmUp);
}

double AgentCore::loadLimit(const Cost &cost, const std::vector<double> &seenLoads, core::Now now) const
{
    const auto *ownPool = pool();
    policy::AdmissionInput input;
    input.cost = cost.total() / weight();
    input.coldCost = (cost.total() + cost.warm) / weight();
    input.poolMean = estimator_->estimate(now);
    input.seenLoads = seenLoads;
    const auto &members = view_->members(ownPool->name);
    input.poolSize = static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [](const member::Member &member) {
        return member.accepting;
    }));
    input.largestRequest = largestRequest_ / weight();
    input.capacity = capacity(now);
    input.coldCapacity = ownPool->coldTokens;
    return policy::LoadBound(ownPool->loadFactor).limit(input) * weight();
}

void AgentCore::beginColdStart(const std::string &reason, core::Now now, Actions &actions)
{
    ramp_.restart(now.monotonic);
    chats_.eraseServer("");
    ++counts_.coldStarts;
    core::Decision decision;
    decision.kind = "admit";
    decision.candidates = {options_.server};
    decision.choice = "cold_start";
    decision.reason = reason;
    actions.emplace_back(std::move(decision));
}

Actions AgentCore::onEngineState(const std::optional<EngineState> &state, core::Now now)
{
    const std::lock_guard lock(mutex_);
    Actions actions;
    const auto previous = std::exchange(engine_, state);
    if (!state) {
        return actions;
    }
    if (!previous) {
        beginColdStart("the engine responded for the first time, or again after not responding", now, actions);
    } else if (previous->incarnation != state->incarnation) {
        beginColdStart("the engine restarted", now, actions);
    } else if (previous->cacheEpoch != state->cacheEpoch) {
        beginColdStart("the engine lost its cache", now, actions);
    }
    if (state->eventGap) {
        // Evictions may have been missed, so no history counts as cached here until its chat has run here again.
        chats_.eraseServer("");
    }
    for (const auto &chat : state->evictedChats) {
        const auto *placement = chats_.find(chat, now.monotonic);
        if (placement != nullptr && placement->server.empty()) {
            chats_.erase(chat);
        }
    }
    orderModelLoad(*state, now, actions);
    return actions;
}

void AgentCore::orderModelLoad(const EngineState &state, core::Now now, Actions &actions)
{
    const auto *ownPool = pool();
    if (ownPool == nullptr || ownPool->model.empty() || !lease_.holds(now.monotonic) || isLeaving() || shuttingDown_) {
        return;
    }
    if (std::find(state.models.begin(), state.models.end(), ownPool->model) != state.models.end()) {
        return;
    }
    const auto &group = view_->table().groups().at(options_.group);
    // An engine that ignores fencing numbers would obey a suspended former agent, so the first order waits until that agent's lease has run out.
    const bool waitsOutLease = !group.checksFencing && now.monotonic - start_.monotonic < options_.viewLease;
    const bool orderedRecently = lastOrder_ != core::MonotonicTime{} && now.monotonic - lastOrder_ < internal::minOrderInterval;
    const auto &vms = view_->table().vms();
    const auto rank = std::distance(vms.begin(), vms.lower_bound(options_.vm));
    const policy::ModelLoadSlot slot(static_cast<std::size_t>(rank), vms.size(), options_.weightStoreLoadsPerSecond);
    if (waitsOutLease || orderedRecently || slot.waitTime(now.wall) > core::Milliseconds(0)) {
        return;
    }
    lastOrder_ = now.monotonic;
    ++counts_.orders;
    core::Decision decision;
    decision.kind = "order";
    decision.pool = ownPool->name;
    decision.choice = ownPool->model;
    decision.candidates = {options_.server};
    decision.reason = "the engine has not loaded the pool's model";
    decision.revision = view_->revision();
    actions.emplace_back(std::move(decision));
    const auto startMillis = std::chrono::duration_cast<core::Milliseconds>(start_.wall.time_since_epoch()).count();
    actions.emplace_back(OrderModelLoad{ownPool->model, view_->revision(), startMillis});
}

Actions AgentCore::onView(std::shared_ptr<const member::FleetView> view, core::Now now)
{
    const std::lock_guard lock(mutex_);
    Actions actions;
    const bool suspended = view_ != nullptr && !lease_.holds(now.monotonic);
    const bool isolated = std::exchange(isolated_, false);
    if ((suspended || isolated) && keys_ != nullptr) {
        keys_->resetAfterGap(now);
    }
    view_ = std::move(view);
    lease_.renew(now.monotonic);
    core::Decision decision;
    decision.kind = "view";
    decision.reason = "new fleet view applied";
    decision.revision = view_->revision();
    actions.emplace_back(std::move(decision));
    const auto *ownPool = pool();
    if (ownPool == nullptr) {
        return actions;
    }
    if (keys_ == nullptr) {
        const KeyOwnerOptions ownerOptions{{ownPool->retention, options_.maxClockSkew}, options_.takeOverDelay};
        keys_ = std::make_unique<KeyOwner>(options_.server, ownPool->name, ownerOptions, now);
    }
    keys_->onView(view_, now);
    adjustLoad(0.0, now);
    return actions;
}

void AgentCore::confirmView(core::Now now)
{
    const std::lock_guard lock(mutex_);
    if (view_ != nullptr) {
        lease_.renew(now.monotonic);
    }
}

void AgentCore::startExchange(core::Now now, Actions &actions)
{
    const auto *ownPool = pool();
    if (ownPool == nullptr || ownPool->isService() || now.monotonic < nextExchange_) {
        return;
    }
    // The jitter keeps agents from starting exchanges at the same time, which would find each other busy.
    const double factor = internal::minExchangeFactor + random_.uniform();
    nextExchange_ = now.monotonic + std::chrono::duration_cast<core::MonotonicTime::duration>(options_.exchangePeriod * factor);
    const auto &members = view_->members(ownPool->name);
    if (members.size() == 1) {
        return;
    }
    const auto &peer = members[random_.index(members.size())];
    if (peer.server == options_.server || !peer.accepting) {
        return;
    }
    SendExchange send{peer.address, estimator_->startExchange(now)};
    send.message.set_pool(ownPool->name);
    send.message.set_backend_server(options_.server);
    send.message.set_accepting(!isLeaving() && !shuttingDown_ && engine_.has_value());
    actions.emplace_back(std::move(send));
}

void AgentCore::cancelExpired(core::Now now, Actions &actions)
{
    std::vector<std::uint64_t> expired;
    for (const auto &[id, run] : runs_) {
        if (run.deadline <= now.monotonic && run.request.key().empty()) {
            expired.push_back(id);
        }
    }
    for (const auto id : expired) {
        failRun(id, ErrorKind::DeadlineAfterSend, "the deadline passed", actions);
        actions.emplace_back(CancelRun{id, runs_.at(id).request.request_id()});
        eraseRun(id, now);
    }
}

Actions AgentCore::onTick(core::Now now, core::Milliseconds timeSinceServiceContact)
{
    const std::lock_guard lock(mutex_);
    Actions actions;
    isolated_ = timeSinceServiceContact > options_.takeOverDelay / 2;
    if (view_ == nullptr) {
        return actions;
    }
    if (lease_.holds(now.monotonic)) {
        lease_.renew(now.monotonic);
    } else {
        if (keys_ != nullptr) {
            keys_->resetAfterGap(now);
        }
        actions.emplace_back(RefreshView{});
        return actions;
    }
    largestRequest_ *= internal::largestRequestDecayPerTick;
    if (keys_ != nullptr) {
        keys_->onTick(now, actions);
    }
    startExchange(now, actions);
    cancelExpired(now, actions);
    return actions;
}

wire::Exchange AgentCore::onExchange(const wire::Exchange &request, core::Now now)
{
    const std::lock_guard lock(mutex_);
    const auto *ownPool = pool();
    if (ownPool == nullptr || ownPool->name != request.pool()) {
        wire::Exchange refused;
        refused.set_busy(true);
        refused.set_sequence(request.sequence());
        return refused;
    }
    peers_.update(request, now.monotonic);
    auto reply = estimator_->answer(request, now);
    reply.set_pool(ownPool->name);
    reply.set_backend_server(options_.server);
    reply.set_accepting(!isLeaving() && !shuttingDown_ && engine_.has_value());
    return reply;
}

void AgentCore::onExchangeReply(const wire::Exchange &reply, core::Now now)
{
    const std::lock_guard lock(mutex_);
    peers_.update(reply, now.monotonic);
    estimator_->finishExchange(reply, now);
}

void AgentCore::onChatPlacement(const wire::Placed &placed, core::Now now)
{
    const std::lock_guard lock(mutex_);
    const auto *ownPool = pool();
    if (ownPool != nullptr && ownPool->name == placed.pool()) {
        chats_.put(placed.chat(), {placed.backend_server(), placed.warm_tokens(), now.monotonic});
    }
}

wire::HandOverReply AgentCore::onHandOverRequest(const wire::HandOverRequest &request, core::Now now)
{
    const std::lock_guard lock(mutex_);
    const bool fresh = lease_.holds(now.monotonic);
    return keys_ != nullptr && fresh ? keys_->onHandOverRequest(request) : wire::HandOverReply();
}

void AgentCore::onHandOverReply(const std::string &server, const wire::HandOverReply &reply, core::Now now)
{
    const std::lock_guard lock(mutex_);
    if (keys_ != nullptr) {
        keys_->onHandOverReply(server, reply, now);
    }
}

void AgentCore::beginShutdown()
{
    const std::lock_guard lock(mutex_);
    shuttingDown_ = true;
}

AgentLoad AgentCore::load(core::Now now) const
{
    const std::lock_guard lock(mutex_);
    AgentLoad load;
    load.tokens = outstandingTokens_;
    load.runs = runs_.size();
    const auto *ownPool = pool();
    if (ownPool == nullptr) {
        return load;
    }
    load.limit = loadLimit({}, {}, now);
    load.poolMean = estimator_->estimate(now);
    load.leaving = isLeaving();
    load.cold = ramp_.isCold(now.monotonic, ownPool->warmUp);
    return load;
}

std::vector<std::string> AgentCore::openRequests() const
{
    const std::lock_guard lock(mutex_);
    std::vector<std::string> ids;
    for (const auto &[id, run] : runs_) {
        if (run.streamOpen) {
            ids.push_back(run.request.request_id());
        }
    }
    return ids;
}

AgentCounts AgentCore::counts() const
{
    const std::lock_guard lock(mutex_);
    return counts_;
}

} // namespace cyclamenspool::agent
