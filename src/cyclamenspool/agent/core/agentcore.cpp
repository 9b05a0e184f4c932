#include <cyclamenspool/agent/core/agentcore.h>

#include <cyclamenspool/policy/loadbound.h>
#include <cyclamenspool/policy/loadslot.h>
#include <cyclamenspool/policy/rendezvous.h>

#include <algorithm>

namespace cyclamenspool::agent {

using core::Error;
using core::ErrorKind;

namespace internal {

constexpr std::chrono::milliseconds orderPeriod{5000}; /* between two orders for the same model */
constexpr double largestRequestDecay = 0.999; /* per tick */
constexpr double shortestExchangePart = 0.5; /* of the exchange period; the longest is 1.5 */
constexpr double fullPart = 0.95; /* of the capacity; a pool with this mean load is full */
constexpr std::size_t keptAnswerLimit = 64 * 1024; /* bytes of one stored answer */
constexpr double historyTokens = 64.0; /* prompts shorter than this have no history worth a redirect */

ErrorKind kindOf(policy::KeyVerdict verdict)
{
    switch (verdict) {
    case policy::KeyVerdict::AlreadyRun:
        return ErrorKind::AlreadyRun;
    case policy::KeyVerdict::Conflict:
        return ErrorKind::KeyConflict;
    case policy::KeyVerdict::FromFuture:
        return ErrorKind::BadKey;
    default:
        return ErrorKind::MayHaveRun;
    }
}

const char *detailOf(policy::KeyVerdict verdict)
{
    switch (verdict) {
    case policy::KeyVerdict::AlreadyRun:
        return "the key has finished and its answer is no longer kept";
    case policy::KeyVerdict::Conflict:
        return "the key was used with another body";
    case policy::KeyVerdict::FromFuture:
        return "the key's time is ahead of the clock";
    case policy::KeyVerdict::Expired:
        return "the key is older than the retention window";
    default:
        return "the key is in use or was created before this agent kept its records";
    }
}

wire::Reply replyFor(const wire::Submit &request)
{
    wire::Reply reply;
    reply.set_request_id(request.request_id());
    reply.set_attempt(request.attempt());
    return reply;
}

} // namespace internal

AgentCore::AgentCore(AgentOptions options, std::uint64_t seed, core::Now now)
    : options_(std::move(options))
    , start_(now)
    , random_(seed)
    , lease_(options_.viewLease)
    , ramp_(now.monotonic)
    , chats_(options_.chats)
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
    const auto mark = view_->table().leaving().find(options_.server);
    const bool marked = mark != view_->table().leaving().end() && mark->second.kind == "server";
    return marked || view_->isLeaving(options_.vm, options_.zone);
}

double AgentCore::capacity(core::Now now) const
{
    const auto *own = pool();
    return ramp_.capacity(now.monotonic, own->coldTokens, own->maxTokens, own->warmUp);
}

double AgentCore::loadLimit(const Cost &cost, const std::vector<double> &seenLoads, core::Now now) const
{
    const auto *own = pool();
    policy::LoadPicture picture;
    picture.cost = cost.total() / weight();
    picture.coldCost = (cost.total() + cost.warm) / weight();
    picture.poolMean = estimator_->estimate(now);
    picture.seenLoads = seenLoads;
    const auto &members = view_->members(own->name);
    picture.poolSize = static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [](const member::Member &member) {
        return member.accepting;
    }));
    picture.largestRequest = largestRequest_ / weight();
    picture.capacity = capacity(now);
    picture.coldCapacity = own->coldTokens;
    return policy::LoadBound(own->loadBound).limit(picture) * weight();
}

void AgentCore::checkAvailable(const wire::Submit &request, core::Now now) const
{
    if (shuttingDown_) {
        throw Error(ErrorKind::ShuttingDown, "the agent of '" + options_.server + "' is shutting down");
    }
    if (view_ == nullptr || !lease_.holds(now.monotonic)) {
        throw Error(ErrorKind::StaleView, "the agent of '" + options_.server + "' has no fresh view");
    }
    const auto *own = pool();
    if (own == nullptr || own->name != request.pool()) {
        throw Error(ErrorKind::UnknownPool, "'" + options_.server + "' does not serve pool '" + request.pool() + "'");
    }
    if (isLeaving()) {
        throw Error(ErrorKind::Leaving, "'" + options_.server + "' is leaving");
    }
    if (request.remaining_ms() <= 0) {
        throw Error(ErrorKind::DeadlineBeforeRun, "no time was left when the request reached '" + options_.server + "'");
    }
    if (!engine_) {
        throw Error(ErrorKind::BackendDown, "'" + options_.server + "' does not answer its agent");
    }
    const auto &models = engine_->models;
    const bool loaded = own->model.empty() || std::find(models.begin(), models.end(), own->model) != models.end();
    if (!loaded) {
        throw Error(ErrorKind::ColdStart, "'" + options_.server + "' has not loaded model '" + own->model + "'");
    }
}

AgentCore::Cost AgentCore::costOf(const wire::Submit &request, core::Now now)
{
    if (pool()->isService()) {
        return {0.0, 1.0, 0.0};
    }
    double warm = 0.0;
    if (!request.chat().empty()) {
        const auto *place = chats_.find(request.chat(), now.monotonic);
        const bool here = place != nullptr && place->server.empty();
        warm = here ? static_cast<double>(place->warmTokens) : 0.0;
    }
    const auto prompt = static_cast<double>(request.prompt_tokens());
    const auto decode = static_cast<double>(std::max<std::uint64_t>(request.decode_tokens(), 1));
    return {std::max(prompt - warm, 0.0), decode, std::min(warm, prompt)};
}

std::string AgentCore::warmElsewhere(const wire::Submit &request, core::Now now)
{
    if (request.chat().empty() || request.located() || pool()->isService()) {
        return "";
    }
    const auto *place = chats_.find(request.chat(), now.monotonic);
    if (place != nullptr) {
        const auto *other = place->server.empty() ? nullptr : view_->find(request.pool(), place->server);
        return other != nullptr && other->accepting ? place->server : "";
    }
    const bool hasHistory = static_cast<double>(request.prompt_tokens()) >= internal::historyTokens;
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

bool AgentCore::admitsLoad(const wire::Submit &request, const Cost &cost, core::Now now) const
{
    const double total = cost.total();
    if (pool()->isService()) {
        return tokens_ + total <= capacity(now) * weight();
    }
    const bool idle = runs_.empty();
    const std::vector<double> seen(request.seen_loads().begin(), request.seen_loads().end());
    return idle || tokens_ + total <= loadLimit(cost, seen, now);
}

bool AgentCore::isPoolFull(core::Now now) const
{
    const auto mean = estimator_->estimate(now);
    return mean && *mean >= internal::fullPart * pool()->maxTokens;
}

std::string AgentCore::spillTarget(const wire::Submit &request, const Cost &cost, core::Now now)
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

core::Decision AgentCore::decide(const char *kind, const wire::Submit &request) const
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
    auto decision = decide("admit", request);
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
    failed->set_load(view_ == nullptr ? 0.0 : tokens_ / weight());
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
    const auto elsewhere = warmElsewhere(request, now);
    if (!elsewhere.empty()) {
        refuse(stream, request, ErrorKind::ElsewhereWarm, "the chat is warm on '" + elsewhere + "'", elsewhere, actions);
        return;
    }
    const auto cost = costOf(request, now);
    const bool isRepeat = !request.key().empty() && keys_->find(request) != nullptr;
    if (!isRepeat && !admitsLoad(request, cost, now)) {
        const bool cold = ramp_.isCold(now.monotonic, pool()->warmUp);
        const auto target = spillTarget(request, cost, now);
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
    if (verdict == policy::KeyVerdict::Run) {
        return true;
    }
    if (verdict == policy::KeyVerdict::StoredAnswer) {
        replyStored(stream, request, *keys_->find(request), actions);
        return false;
    }
    refuse(stream, request, internal::kindOf(verdict), internal::detailOf(verdict), "", actions);
    return false;
}

void AgentCore::replyStored(std::uint64_t stream, const wire::Submit &request, const policy::KeyRecord &record, Actions &actions)
{
    ++counts_.storedAnswers;
    auto decision = decide("admit", request);
    decision.choice = options_.server;
    decision.reason = "stored answer of a finished key";
    actions.emplace_back(std::move(decision));
    auto begin = internal::replyFor(request);
    begin.mutable_begin()->set_status(record.answer.status);
    begin.mutable_begin()->set_content_type(record.answer.contentType);
    begin.mutable_begin()->set_backend_server(options_.server);
    actions.emplace_back(SendReply{stream, std::move(begin), false});
    auto chunk = internal::replyFor(request);
    chunk.mutable_chunk()->set_data(record.answer.body);
    actions.emplace_back(SendReply{stream, std::move(chunk), false});
    auto end = internal::replyFor(request);
    end.mutable_end()->set_total(record.answer.body.size());
    actions.emplace_back(SendReply{stream, std::move(end), true});
}

void AgentCore::start(std::uint64_t stream, const wire::Submit &request, const Cost &cost, core::Now now, Actions &actions)
{
    auto decision = decide("admit", request);
    decision.choice = options_.server;
    decision.reason = request.located() ? "sent here by the home or a hint" : "within the load limit";
    actions.emplace_back(std::move(decision));
    const auto id = nextRun_++;
    Run run;
    run.stream = stream;
    run.request = request;
    run.deadline = now.monotonic + core::Milliseconds(request.remaining_ms());
    run.prefill = cost.prefill;
    run.decode = cost.decode;
    largestRequest_ = std::max(largestRequest_, cost.prefill + cost.decode);
    addTokens(cost.prefill + cost.decode, now);
    ++counts_.admitted;
    counts_.promptTokens += request.prompt_tokens();
    streams_[stream] = id;
    actions.emplace_back(StartRun{id, request, core::Milliseconds(request.remaining_ms())});
    run.request.clear_body();
    runs_.emplace(id, std::move(run));
}

void AgentCore::addTokens(double change, core::Now now)
{
    tokens_ = std::max(0.0, tokens_ + change);
    if (view_ != nullptr) {
        estimator_->setLoad(tokens_, weight(), now);
    }
}

void AgentCore::eraseRun(std::uint64_t id, core::Now now)
{
    const auto found = runs_.find(id);
    if (found == runs_.end()) {
        return;
    }
    const double change = -(found->second.prefill + found->second.decode);
    if (found->second.streamOpen) {
        streams_.erase(found->second.stream);
    }
    runs_.erase(found);
    if (runs_.empty()) {
        tokens_ = 0.0;
    }
    addTokens(runs_.empty() ? 0.0 : change, now);
}

void AgentCore::replyOn(const Run &run, wire::Reply reply, bool last, Actions &actions) const
{
    if (run.streamOpen) {
        actions.emplace_back(SendReply{run.stream, std::move(reply), last});
    }
}

bool AgentCore::mayStart(std::uint64_t run, core::Now now) const
{
    const std::lock_guard lock(mutex_);
    return runs_.count(run) > 0 && lease_.holds(now.monotonic);
}

bool AgentCore::mayOrder(const OrderModel &order, core::Now now) const
{
    const std::lock_guard lock(mutex_);
    return lease_.holds(now.monotonic) && view_->revision() == order.fenceRevision && !isLeaving();
}

Actions AgentCore::onStreamClosed(std::uint64_t stream, core::Now now)
{
    const std::lock_guard lock(mutex_);
    Actions actions;
    const auto found = streams_.find(stream);
    if (found == streams_.end()) {
        return actions;
    }
    const auto id = found->second;
    streams_.erase(found);
    auto &run = runs_.at(id);
    run.streamOpen = false;
    const bool mustFinish = !run.request.key().empty();
    if (!mustFinish) {
        actions.emplace_back(CancelRun{id, run.request.request_id()});
        eraseRun(id, now);
    }
    return actions;
}

Actions AgentCore::onBackendBegin(std::uint64_t id, const BackendBegin &begin, core::Now now)
{
    const std::lock_guard lock(mutex_);
    Actions actions;
    const auto found = runs_.find(id);
    if (found == runs_.end() || found->second.began) {
        return actions;
    }
    auto &run = found->second;
    if (!begin.requestId.empty() && begin.requestId != run.request.request_id()) {
        ++counts_.droppedAnswers;
        actions.emplace_back(CancelRun{id, run.request.request_id()});
        failRun(id, ErrorKind::OutcomeUnknown, "the backend server answered another request", actions);
        eraseRun(id, now);
        return actions;
    }
    run.began = true;
    run.status = begin.status;
    run.contentType = begin.contentType;
    counts_.warmTokens += begin.cachedTokens;
    addTokens(-run.prefill, now);
    run.prefill = 0.0;
    const auto *known = run.request.chat().empty() ? nullptr : chats_.find(run.request.chat(), now.monotonic);
    const bool wasWarm = known != nullptr && known->server.empty() && known->warmTokens > 0;
    if (wasWarm && begin.cachedTokens == 0 && !pool()->isService()) {
        chats_.erase(run.request.chat());
    }
    auto reply = internal::replyFor(run.request);
    reply.mutable_begin()->set_status(begin.status);
    reply.mutable_begin()->set_content_type(begin.contentType);
    reply.mutable_begin()->set_backend_server(options_.server);
    replyOn(run, std::move(reply), false, actions);
    return actions;
}

Actions AgentCore::onBackendChunk(std::uint64_t id, const std::string &data, core::Now now)
{
    static_cast<void>(now);
    const std::lock_guard lock(mutex_);
    Actions actions;
    const auto found = runs_.find(id);
    if (found == runs_.end()) {
        return actions;
    }
    auto &run = found->second;
    auto reply = internal::replyFor(run.request);
    reply.mutable_chunk()->set_offset(run.offset);
    reply.mutable_chunk()->set_data(data);
    run.offset += data.size();
    if (!run.request.key().empty() && run.kept.size() + data.size() <= internal::keptAnswerLimit) {
        run.kept += data;
    }
    replyOn(run, std::move(reply), false, actions);
    return actions;
}

Actions AgentCore::onBackendEnd(std::uint64_t id, core::Now now)
{
    const std::lock_guard lock(mutex_);
    Actions actions;
    const auto found = runs_.find(id);
    if (found == runs_.end()) {
        return actions;
    }
    auto &run = found->second;
    ++counts_.whole;
    if (!run.request.key().empty()) {
        const bool isWhole = run.kept.size() == run.offset;
        keys_->finish(run.request, isWhole ? policy::StoredAnswer{run.status, run.contentType, run.kept} : policy::StoredAnswer{});
    }
    auto reply = internal::replyFor(run.request);
    reply.mutable_end()->set_total(run.offset);
    replyOn(run, std::move(reply), true, actions);
    notePlace(run, now, actions);
    eraseRun(id, now);
    return actions;
}

std::string AgentCore::homeOfChat(const std::string &chat) const
{
    const auto ranked = policy::rankByRendezvous(chat, view_->members(pool()->name), 1);
    return ranked.empty() ? "" : ranked.front()->server;
}

void AgentCore::notePlace(const Run &run, core::Now now, Actions &actions)
{
    const auto &chat = run.request.chat();
    const bool succeeded = run.status >= 200 && run.status < 300;
    if (chat.empty() || !succeeded || pool() == nullptr || pool()->isService()) {
        return;
    }
    const auto warm = run.request.prompt_tokens() + run.request.decode_tokens();
    chats_.put(chat, {"", warm, now.monotonic});
    const auto home = homeOfChat(chat);
    const auto *member = view_->find(pool()->name, home);
    if (home == options_.server || member == nullptr) {
        return;
    }
    SendPlaced placed{member->address, {}};
    placed.message.set_pool(pool()->name);
    placed.message.set_chat(chat);
    placed.message.set_backend_server(options_.server);
    placed.message.set_warm_tokens(warm);
    actions.emplace_back(std::move(placed));
}

void AgentCore::failRun(std::uint64_t id, ErrorKind kind, const std::string &detail, Actions &actions)
{
    const auto &run = runs_.at(id);
    auto decision = decide("admit", run.request);
    decision.choice = std::string(core::ruleOf(kind).name);
    decision.reason = detail;
    actions.emplace_back(std::move(decision));
    auto reply = internal::replyFor(run.request);
    reply.mutable_failed()->set_kind(static_cast<int>(kind));
    reply.mutable_failed()->set_detail(detail);
    reply.mutable_failed()->set_retry_after_ms(core::ruleOf(kind).retryAfter.count());
    replyOn(run, std::move(reply), true, actions);
}

Actions AgentCore::onBackendLost(std::uint64_t id, bool sent, const std::string &reason, core::Now now)
{
    const std::lock_guard lock(mutex_);
    Actions actions;
    const auto found = runs_.find(id);
    if (found == runs_.end()) {
        return actions;
    }
    auto &run = found->second;
    const bool isKeyed = !run.request.key().empty();
    if (!sent) {
        if (isKeyed) {
            keys_->forgetNotSent(run.request);
        }
        failRun(id, ErrorKind::BackendDown, reason, actions);
        eraseRun(id, now);
        return actions;
    }
    const bool canResume = run.began && !isKeyed && !pool()->isService() && run.resumes < options_.resumes;
    if (canResume) {
        ++run.resumes;
        actions.emplace_back(ResumeRun{id, run.request.request_id(), run.offset});
        return actions;
    }
    const bool late = run.deadline <= now.monotonic;
    const auto kind = run.began ? ErrorKind::AnswerCut : late ? ErrorKind::DeadlineAfterSend : ErrorKind::OutcomeUnknown;
    failRun(id, kind, reason, actions);
    eraseRun(id, now);
    return actions;
}

void AgentCore::goCold(const std::string &reason, core::Now now, Actions &actions)
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
        goCold("the engine answers for the first time or again", now, actions);
    } else if (previous->incarnation != state->incarnation) {
        goCold("the engine restarted", now, actions);
    } else if (previous->cacheEpoch != state->cacheEpoch) {
        goCold("the engine lost its cache", now, actions);
    }
    for (const auto &chat : state->evictedChats) {
        const auto *place = chats_.find(chat, now.monotonic);
        if (place != nullptr && place->server.empty()) {
            chats_.erase(chat);
        }
    }
    orderModels(*state, now, actions);
    return actions;
}

void AgentCore::orderModels(const EngineState &state, core::Now now, Actions &actions)
{
    const auto *own = pool();
    if (own == nullptr || own->model.empty() || !lease_.holds(now.monotonic) || isLeaving() || shuttingDown_) {
        return;
    }
    if (std::find(state.models.begin(), state.models.end(), own->model) != state.models.end()) {
        return;
    }
    const auto &group = view_->table().groups().at(options_.group);
    const bool waitsOutLease = !group.checksFencing && now.monotonic - start_.monotonic < options_.viewLease;
    const bool recent = lastOrder_ != core::MonotonicTime{} && now.monotonic - lastOrder_ < internal::orderPeriod;
    const auto &vms = view_->table().vms();
    const auto rank = std::distance(vms.begin(), vms.lower_bound(options_.vm));
    const policy::LoadSlot slot(static_cast<std::size_t>(rank), vms.size(), options_.weightStoreRate);
    if (waitsOutLease || recent || slot.wait(now.wall) > core::Milliseconds(0)) {
        return;
    }
    lastOrder_ = now.monotonic;
    ++counts_.orders;
    core::Decision decision;
    decision.kind = "order";
    decision.pool = own->name;
    decision.choice = own->model;
    decision.candidates = {options_.server};
    decision.reason = "the engine has not loaded the pool's model";
    decision.revision = view_->revision();
    actions.emplace_back(std::move(decision));
    const auto startMillis = std::chrono::duration_cast<core::Milliseconds>(start_.wall.time_since_epoch()).count();
    actions.emplace_back(OrderModel{own->model, view_->revision(), startMillis});
}

Actions AgentCore::onView(std::shared_ptr<const member::FleetView> view, core::Now now)
{
    const std::lock_guard lock(mutex_);
    Actions actions;
    const bool slept = view_ != nullptr && !lease_.holds(now.monotonic);
    const bool missed = std::exchange(outOfTouch_, false);
    if ((slept || missed) && keys_ != nullptr) {
        keys_->onGap(now);
    }
    view_ = std::move(view);
    lease_.renew(now.monotonic);
    core::Decision decision;
    decision.kind = "view";
    decision.reason = "new view in force";
    decision.revision = view_->revision();
    actions.emplace_back(std::move(decision));
    const auto *own = pool();
    if (own == nullptr) {
        return actions;
    }
    if (keys_ == nullptr) {
        const KeyKeeperBounds bounds{{own->retention, options_.clockBound}, options_.takeOver};
        keys_ = std::make_unique<KeyKeeper>(options_.server, own->name, bounds, now);
    }
    keys_->onView(view_, now);
    addTokens(0.0, now);
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
    const auto *own = pool();
    if (own == nullptr || own->isService() || now.monotonic < nextExchange_) {
        return;
    }
    // The jitter keeps agents from starting together and finding each other busy.
    const double factor = internal::shortestExchangePart + random_.unit();
    nextExchange_ = now.monotonic + std::chrono::duration_cast<core::MonotonicTime::duration>(options_.exchangePeriod * factor);
    const auto &members = view_->members(own->name);
    if (members.size() == 1) {
        return;
    }
    const auto &peer = members[random_.index(members.size())];
    if (peer.server == options_.server || !peer.accepting) {
        return;
    }
    SendExchange send{peer.address, estimator_->startExchange(now)};
    send.message.set_pool(own->name);
    send.message.set_backend_server(options_.server);
    send.message.set_accepting(!isLeaving() && !shuttingDown_ && engine_.has_value());
    actions.emplace_back(std::move(send));
}

void AgentCore::cancelLate(core::Now now, Actions &actions)
{
    std::vector<std::uint64_t> late;
    for (const auto &[id, run] : runs_) {
        if (run.deadline <= now.monotonic && run.request.key().empty()) {
            late.push_back(id);
        }
    }
    for (const auto id : late) {
        failRun(id, ErrorKind::DeadlineAfterSend, "the deadline passed", actions);
        actions.emplace_back(CancelRun{id, runs_.at(id).request.request_id()});
        eraseRun(id, now);
    }
}

Actions AgentCore::onTick(core::Now now, core::Milliseconds newsAge)
{
    const std::lock_guard lock(mutex_);
    Actions actions;
    outOfTouch_ = newsAge > options_.takeOver / 2;
    if (view_ == nullptr) {
        return actions;
    }
    if (lease_.holds(now.monotonic)) {
        lease_.renew(now.monotonic);
    } else {
        if (keys_ != nullptr) {
            keys_->onGap(now);
        }
        actions.emplace_back(RefreshView{});
        return actions;
    }
    largestRequest_ *= internal::largestRequestDecay;
    if (keys_ != nullptr) {
        keys_->onTick(now, actions);
    }
    startExchange(now, actions);
    cancelLate(now, actions);
    return actions;
}

wire::Exchange AgentCore::onExchange(const wire::Exchange &request, core::Now now)
{
    const std::lock_guard lock(mutex_);
    const auto *own = pool();
    if (own == nullptr || own->name != request.pool()) {
        wire::Exchange refused;
        refused.set_busy(true);
        refused.set_sequence(request.sequence());
        return refused;
    }
    peers_.note(request, now.monotonic);
    auto reply = estimator_->answer(request, now);
    reply.set_pool(own->name);
    reply.set_backend_server(options_.server);
    reply.set_accepting(!isLeaving() && !shuttingDown_ && engine_.has_value());
    return reply;
}

void AgentCore::onExchangeReply(const wire::Exchange &reply, core::Now now)
{
    const std::lock_guard lock(mutex_);
    peers_.note(reply, now.monotonic);
    estimator_->finishExchange(reply, now);
}

void AgentCore::onPlaced(const wire::Placed &placed, core::Now now)
{
    const std::lock_guard lock(mutex_);
    const auto *own = pool();
    if (own != nullptr && own->name == placed.pool()) {
        chats_.put(placed.chat(), {placed.backend_server(), placed.warm_tokens(), now.monotonic});
    }
}

wire::HandOverReply AgentCore::onHandOverRequest(const wire::HandOverRequest &request, core::Now now)
{
    const std::lock_guard lock(mutex_);
    const bool fresh = lease_.holds(now.monotonic);
    return keys_ != nullptr && fresh ? keys_->handOver(request) : wire::HandOverReply();
}

void AgentCore::onHandOverReply(const std::string &server, const wire::HandOverReply &reply, core::Now now)
{
    const std::lock_guard lock(mutex_);
    if (keys_ != nullptr) {
        keys_->onHandOver(server, reply, now);
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
    load.tokens = tokens_;
    load.runs = runs_.size();
    const auto *own = pool();
    if (own == nullptr) {
        return load;
    }
    load.limit = loadLimit({}, {}, now);
    load.poolMean = estimator_->estimate(now);
    load.leaving = isLeaving();
    load.cold = ramp_.isCold(now.monotonic, own->warmUp);
    return load;
}

AgentCounts AgentCore::counts() const
{
    const std::lock_guard lock(mutex_);
    return counts_;
}

} // namespace cyclamenspool::agent
