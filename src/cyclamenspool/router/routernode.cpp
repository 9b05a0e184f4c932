#include <cyclamenspool/router/routernode.h>

#include <cyclamenspool/http/refusal.h>
#include <cyclamenspool/router/requestreader.h>
#include <cyclamenspool/telemetry/log.h>

#include <boost/asio/this_coro.hpp>

#include <random>

namespace cyclamenspool::router {

namespace asio = boost::asio;

namespace internal {

constexpr std::uint64_t okStatus = 200;

RouterLimits limitsOf(const config::Settings &settings)
{
    RouterLimits limits;
    limits.maxOpenRequests = static_cast<std::size_t>(settings.maxOpenRequests);
    limits.viewLease = settings.viewLease;
    return limits;
}

http::Refusal refusalOf(const ResponseFailure &failure)
{
    return {failure.requestId, failure.kind, failure.detail, failure.retryAfter, failure.runState};
}

http::Headers headersOf(const CallerRequest &request, const ResponseHead &head)
{
    http::Headers headers{{"X-Request-Id", request.id}, {"X-Location-Hint", head.server}};
    if (!head.contentType.empty()) {
        headers.emplace_back("Content-Type", head.contentType);
    }
    return headers;
}

} // namespace internal

RouterNode::RouterNode(node::Node &node)
    : node_(node)
    , core_(node.settings().vm, internal::limitsOf(node.settings()), std::random_device{}())
{
}

void RouterNode::onView(std::shared_ptr<const member::FleetView> view)
{
    {
        const std::lock_guard lock(mutex_);
        view_ = view;
    }
    execute(core_.onView(std::move(view), core::Now::read()));
}

void RouterNode::onTick(core::Milliseconds timeSinceServiceContact)
{
    static_cast<void>(timeSinceServiceContact);
    execute(core_.onTick(core::Now::read()));
}

void RouterNode::onMessage(const std::shared_ptr<wire::ServerStream> &stream, const std::string &path, std::string message)
{
    static_cast<void>(message);
    telemetry::logEvent("unknown_message", path);
    stream->send("", true);
}

void RouterNode::beginShutdown()
{
    core_.beginShutdown();
}

std::size_t RouterNode::openRequests() const
{
    const std::lock_guard lock(mutex_);
    return channels_.size();
}

void RouterNode::execute(const Actions &actions)
{
    for (const auto &action : actions) {
        if (const auto *decision = std::get_if<core::Decision>(&action)) {
            telemetry::logDecision(*decision);
        } else if (const auto *attempt = std::get_if<SendAttempt>(&action)) {
            send(*attempt);
        } else if (const auto *cancelled = std::get_if<CancelAttempt>(&action)) {
            cancel(cancelled->attemptId);
        } else if (const auto *head = std::get_if<ResponseHead>(&action)) {
            push(head->requestId, *head);
        } else if (const auto *chunk = std::get_if<ResponseChunk>(&action)) {
            push(chunk->requestId, *chunk);
        } else if (const auto *end = std::get_if<ResponseEnd>(&action)) {
            push(end->requestId, *end);
        } else if (const auto *failure = std::get_if<ResponseFailure>(&action)) {
            push(failure->requestId, *failure);
        } else if (std::holds_alternative<RefreshView>(action) && !refreshing_.exchange(true)) {
            node_.refresh([this] {
                refreshing_ = false;
                execute(core_.confirmView(core::Now::read()));
            });
        }
    }
}

void RouterNode::send(const SendAttempt &action)
{
    const auto attemptId = action.attemptId;
    wire::StreamCallbacks callbacks;
    callbacks.onMessage = [this, attemptId](const std::string &message) {
        wire::Reply reply;
        if (reply.ParseFromString(message)) {
            execute(core_.onReply(attemptId, reply, core::Now::read()));
            return;
        }
        telemetry::logEvent("malformed_message", "submit reply");
        execute(core_.onAttemptLost(attemptId, true, "the agent's reply cannot be read", core::Now::read()));
        cancel(attemptId);
    };
    callbacks.onEnd = [this, attemptId](const wire::StreamEnd &end) {
        streams_.remove(attemptId);
        execute(core_.onAttemptLost(attemptId, end.maybeProcessed, end.reason, core::Now::read()));
    };
    streams_.announce(attemptId);
    auto stream = node_.peers().submit(action.address, "/submit", action.message.SerializeAsString(), std::move(callbacks));
    if (!streams_.store(attemptId, stream)) {
        stream->cancel();
    }
}

void RouterNode::cancel(std::uint64_t attemptId)
{
    const auto stream = streams_.remove(attemptId);
    if (stream != nullptr) {
        stream->cancel();
    }
}

void RouterNode::push(const std::string &requestId, ResponseEvent event)
{
    std::shared_ptr<CallerChannel> channel;
    {
        const std::lock_guard lock(mutex_);
        const auto found = channels_.find(requestId);
        if (found == channels_.end()) {
            return;
        }
        channel = found->second;
    }
    if (!channel->push(std::move(event))) {
        execute(core_.onCallerDisconnected(requestId, core::Now::read()));
        channel->push(ResponseFailure{
            requestId, core::ErrorKind::SlowCaller, "the caller reads the response too slowly", core::Milliseconds(0), core::RunState::Unknown});
    }
}

asio::awaitable<void> RouterNode::onHttp(const http::Request &request, http::Responder &responder)
{
    const auto id = http::makeRequestId();
    responder.setRequestId(id);
    const auto startedAt = std::chrono::steady_clock::now();
    std::shared_ptr<const member::FleetView> view;
    {
        const std::lock_guard lock(mutex_);
        view = view_;
    }
    CallerRequest callerRequest;
    std::optional<http::Refusal> refusal;
    try {
        callerRequest = readRequest(request, id, node_.settings(), view.get());
    } catch (const core::Error &error) {
        refusal = http::makeRefusal(id, error.kind(), error.what());
    }
    if (refusal) {
        co_await http::sendRefusal(*refusal, responder);
        co_return;
    }
    const auto channel = std::make_shared<CallerChannel>(co_await asio::this_coro::executor);
    {
        const std::lock_guard lock(mutex_);
        channels_[id] = channel;
    }
    std::exception_ptr relayError;
    try {
        execute(core_.onRequest(callerRequest, core::Now::read()));
        callerRequest.body.clear();
        co_await relay(callerRequest, *channel, responder);
    } catch (const std::exception &) {
        relayError = std::current_exception();
        execute(core_.onCallerDisconnected(id, core::Now::read()));
    }
    {
        const std::lock_guard lock(mutex_);
        channels_.erase(id);
    }
    node_.metrics().observe("cyclamenspool_request_seconds", std::chrono::steady_clock::now() - startedAt);
    if (relayError) {
        std::rethrow_exception(relayError);
    }
}

asio::awaitable<void> RouterNode::relay(const CallerRequest &request, CallerChannel &channel, http::Responder &responder)
{
    const auto firstEvent = co_await channel.next();
    if (const auto *failure = std::get_if<ResponseFailure>(&firstEvent)) {
        co_await http::sendRefusal(internal::refusalOf(*failure), responder);
        co_return;
    }
    const auto &head = std::get<ResponseHead>(firstEvent);
    if (request.isStreaming && head.status == internal::okStatus) {
        co_await relayStreaming(request, head, channel, responder);
    } else {
        co_await relayBuffered(request, head, channel, responder);
    }
}

asio::awaitable<void> RouterNode::relayStreaming(const CallerRequest &request, const ResponseHead &head, CallerChannel &channel, http::Responder &responder)
{
    co_await responder.beginChunked(head.status, internal::headersOf(request, head));
    while (true) {
        const auto event = co_await channel.next();
        if (const auto *chunk = std::get_if<ResponseChunk>(&event)) {
            co_await responder.writeChunk(chunk->data);
        } else if (const auto *failure = std::get_if<ResponseFailure>(&event)) {
            co_await responder.writeChunk("event: error\ndata: " + internal::refusalOf(*failure).json() + "\n\n");
            co_await responder.endChunked();
            co_return;
        } else if (std::holds_alternative<ResponseEnd>(event)) {
            co_await responder.endChunked();
            co_return;
        }
    }
}

asio::awaitable<void> RouterNode::relayBuffered(const CallerRequest &request, const ResponseHead &head, CallerChannel &channel, http::Responder &responder)
{
    std::string body;
    while (true) {
        auto event = co_await channel.next();
        if (auto *chunk = std::get_if<ResponseChunk>(&event)) {
            body += chunk->data;
        } else if (const auto *failure = std::get_if<ResponseFailure>(&event)) {
            co_await http::sendRefusal(internal::refusalOf(*failure), responder);
            co_return;
        } else if (std::holds_alternative<ResponseEnd>(event)) {
            co_await responder.send(head.status, internal::headersOf(request, head), body);
            co_return;
        }
    }
}

void RouterNode::addStatus(boost::json::object &status) const
{
    const auto counts = core_.counts();
    status["role"] = "router";
    status["requests"] = counts.requests;
    status["whole_answers"] = counts.completed;
    status["attempts"] = counts.attempts;
    status["redirects"] = counts.redirects;
    status["retries"] = counts.retries;
    status["dropped_replies"] = counts.droppedReplies;
    boost::json::object failures;
    for (const auto &[kind, count] : counts.failures) {
        failures[std::string(core::ruleOf(kind).name)] = count;
    }
    status["failures"] = std::move(failures);
}

std::vector<std::string> RouterNode::openPeerRequests() const
{
    return {};
}

void RouterNode::addMetrics(telemetry::Metrics &metrics) const
{
    const auto counts = core_.counts();
    metrics.set("cyclamenspool_router_requests_total", static_cast<double>(counts.requests));
    metrics.set("cyclamenspool_router_whole_answers_total", static_cast<double>(counts.completed));
    metrics.set("cyclamenspool_router_attempts_total", static_cast<double>(counts.attempts));
    metrics.set("cyclamenspool_router_redirects_total", static_cast<double>(counts.redirects));
    metrics.set("cyclamenspool_router_retries_total", static_cast<double>(counts.retries));
    metrics.set("cyclamenspool_router_dropped_replies_total", static_cast<double>(counts.droppedReplies));
    for (const auto &[kind, count] : counts.failures) {
        metrics.set("cyclamenspool_router_failures_total{kind=\"" + std::string(core::ruleOf(kind).name) + "\"}", static_cast<double>(count));
    }
}

} // namespace cyclamenspool::router
