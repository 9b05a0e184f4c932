#include <cyclamenspool/agent/core/agentcore.h>
#include <cyclamenspool/agent/core/replies.h>

#include <cyclamenspool/core/runpromise.h>
#include <cyclamenspool/policy/rendezvous.h>

namespace cyclamenspool::agent {

using core::ErrorKind;

namespace internal {

constexpr std::size_t maxStoredBodyBytes = 64 * 1024;

} // namespace internal

void AgentCore::adjustLoad(double change, core::Now now)
{
    outstandingTokens_ = std::max(0.0, outstandingTokens_ + change);
    if (view_ != nullptr) {
        estimator_->setLoad(outstandingTokens_, weight(), now);
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
        runByStream_.erase(found->second.stream);
    }
    runs_.erase(found);
    if (runs_.empty()) {
        outstandingTokens_ = 0.0;
    }
    adjustLoad(runs_.empty() ? 0.0 : change, now);
}

void AgentCore::addReply(const Run &run, wire::Reply reply, bool last, Actions &actions) const
{
    if (run.streamOpen) {
        actions.emplace_back(SendReply{run.stream, std::move(reply), last});
    }
}

bool AgentCore::isStartAllowed(std::uint64_t run, core::Now now) const
{
    const std::lock_guard lock(mutex_);
    return runs_.count(run) > 0 && lease_.holds(now.monotonic);
}

bool AgentCore::isOrderAllowed(const OrderModelLoad &order, core::Now now) const
{
    const std::lock_guard lock(mutex_);
    return lease_.holds(now.monotonic) && view_->revision() == order.fenceRevision && !isLeaving();
}

Actions AgentCore::onStreamClosed(std::uint64_t stream, core::Now now)
{
    const std::lock_guard lock(mutex_);
    Actions actions;
    const auto found = runByStream_.find(stream);
    if (found == runByStream_.end()) {
        return actions;
    }
    const auto id = found->second;
    runByStream_.erase(found);
    auto &run = runs_.at(id);
    run.streamOpen = false;
    const bool mustFinish = !run.request.key().empty();
    if (!mustFinish) {
        actions.emplace_back(CancelRun{id, run.request.request_id()});
        eraseRun(id, now);
    }
    return actions;
}

Actions AgentCore::onBackendResponseHead(std::uint64_t id, const BackendResponseHead &head, core::Now now)
{
    const std::lock_guard lock(mutex_);
    Actions actions;
    const auto found = runs_.find(id);
    if (found == runs_.end() || found->second.responseStarted) {
        return actions;
    }
    auto &run = found->second;
    if (!head.requestId.empty() && head.requestId != run.request.request_id()) {
        dropResponse(id, ErrorKind::OutcomeUnknown, "the backend server responded with another request's id", now, actions);
        return actions;
    }
    if (!core::canRelayStatus(head.status, run.request.key().empty())) {
        const auto status = std::to_string(head.status);
        dropResponse(id, ErrorKind::BackendFailed, "backend response with status " + status + ", which does not say whether the request ran", now, actions);
        return actions;
    }
    run.responseStarted = true;
    run.status = head.status;
    run.contentType = head.contentType;
    counts_.warmTokens += head.cachedTokens;
    adjustLoad(-run.prefill, now);
    run.prefill = 0.0;
    const auto *placement = run.request.chat().empty() ? nullptr : chats_.find(run.request.chat(), now.monotonic);
    const bool wasWarm = placement != nullptr && placement->server.empty() && placement->warmTokens > 0;
    if (wasWarm && head.cachedTokens == 0 && !pool()->isService()) {
        chats_.erase(run.request.chat());
    }
    auto reply = internal::replyFor(run.request);
    reply.mutable_begin()->set_status(head.status);
    reply.mutable_begin()->set_content_type(head.contentType);
    reply.mutable_begin()->set_backend_server(options_.server);
    addReply(run, std::move(reply), false, actions);
    return actions;
}

void AgentCore::dropResponse(std::uint64_t id, ErrorKind kind, const std::string &detail, core::Now now, Actions &actions)
{
    ++counts_.droppedResponses;
    actions.emplace_back(CancelRun{id, runs_.at(id).request.request_id()});
    failRun(id, kind, detail, actions);
    eraseRun(id, now);
}

Actions AgentCore::onBackendResponseData(std::uint64_t id, const std::string &data, core::Now now)
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
    if (!run.request.key().empty() && run.storedBody.size() + data.size() <= internal::maxStoredBodyBytes) {
        run.storedBody += data;
    }
    addReply(run, std::move(reply), false, actions);
    return actions;
}

Actions AgentCore::onBackendResponseEnd(std::uint64_t id, core::Now now)
{
    const std::lock_guard lock(mutex_);
    Actions actions;
    const auto found = runs_.find(id);
    if (found == runs_.end()) {
        return actions;
    }
    auto &run = found->second;
    ++counts_.completed;
    if (!run.request.key().empty()) {
        const bool isComplete = run.storedBody.size() == run.offset;
        keys_->finish(run.request, isComplete ? std::optional(policy::StoredResponse{run.status, run.contentType, run.storedBody}) : std::nullopt);
    }
    auto reply = internal::replyFor(run.request);
    reply.mutable_end()->set_total(run.offset);
    addReply(run, std::move(reply), true, actions);
    recordChatPlacement(run, now, actions);
    eraseRun(id, now);
    return actions;
}

std::string AgentCore::homeOfChat(const std::string &chat) const
{
    const auto ranked = policy::rankByRendezvous(chat, view_->members(pool()->name), 1);
    return ranked.empty() ? "" : ranked.front()->server;
}

void AgentCore::recordChatPlacement(const Run &run, core::Now now, Actions &actions)
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
    SendChatPlacement report{member->address, {}};
    report.message.set_pool(pool()->name);
    report.message.set_chat(chat);
    report.message.set_backend_server(options_.server);
    report.message.set_warm_tokens(warm);
    actions.emplace_back(std::move(report));
}

void AgentCore::failRun(std::uint64_t id, ErrorKind kind, const std::string &detail, Actions &actions)
{
    const auto &run = runs_.at(id);
    auto decision = makeDecision("admit", run.request);
    decision.choice = std::string(core::ruleOf(kind).name);
    decision.reason = detail;
    actions.emplace_back(std::move(decision));
    auto reply = internal::replyFor(run.request);
    reply.mutable_failed()->set_kind(static_cast<int>(kind));
    reply.mutable_failed()->set_detail(detail);
    reply.mutable_failed()->set_retry_after_ms(core::ruleOf(kind).retryAfter.count());
    addReply(run, std::move(reply), true, actions);
}

Actions AgentCore::onBackendConnectionLost(std::uint64_t id, bool mayHaveBeenSent, const std::string &reason, core::Now now)
{
    const std::lock_guard lock(mutex_);
    Actions actions;
    const auto found = runs_.find(id);
    if (found == runs_.end()) {
        return actions;
    }
    auto &run = found->second;
    const bool isKeyed = !run.request.key().empty();
    if (!mayHaveBeenSent) {
        if (isKeyed) {
            keys_->forgetNotSent(run.request);
        }
        failRun(id, ErrorKind::BackendDown, reason, actions);
        eraseRun(id, now);
        return actions;
    }
    const bool isResumable = run.responseStarted && !isKeyed && !pool()->isService() && run.resumes < options_.maxResumes;
    if (isResumable) {
        ++run.resumes;
        actions.emplace_back(ResumeRun{id, run.request.request_id(), run.offset});
        return actions;
    }
    const bool isExpired = run.deadline <= now.monotonic;
    const auto kind = run.responseStarted ? ErrorKind::AnswerCut : isExpired ? ErrorKind::DeadlineAfterSend : ErrorKind::OutcomeUnknown;
    failRun(id, kind, reason, actions);
    eraseRun(id, now);
    return actions;
}

} // namespace cyclamenspool::agent
