#include <cyclamenspool/gateway/exchange.h>

#include <cyclamenspool/gateway/refusal.h>
#include <cyclamenspool/gateway/requestfingerprint.h>
#include <cyclamenspool/platform/streamcallerwait.h>
#include <cyclamenspool/telemetry/log.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace cyclamenspool::gateway {

namespace bhttp = boost::beast::http;

namespace internal {

constexpr std::chrono::milliseconds minAttemptTime{5}; /* an attempt that has less time until the deadline is not sent */
constexpr std::chrono::milliseconds maxIdleRetryable{10000}; /* of a reused connection, for a request that can be retried */
constexpr std::chrono::milliseconds maxIdleNonRetryable{1500}; /* shorter: the server may close an idle connection just as the request is sent */
constexpr std::chrono::milliseconds stallCheckPeriod{100}; /* also the stall limit before the relay to the caller starts */
constexpr int stallFactor = 2; /* times the route's pause objective: a relayed stream without data for so long has missed it and is stalled */
constexpr int progressFactor = 4; /* times the route's pause objective: bytes without a complete event for so long are no progress */
constexpr std::chrono::milliseconds minProgressTime{1000}; /* lower bound of that time */
constexpr std::chrono::milliseconds assumedCallerTimeout{1000}; /* for the retry delay if the caller's timeout is unknown */
constexpr int leastUrgent = 9; /* 0 is the most urgent */

std::chrono::milliseconds elapsedSince(core::MonotonicTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - time);
}

/** @brief Returns an estimate for the log. @param server Id of its backend server. */
boost::json::object describe(const scheduling::FirstEventEstimate &estimate, const std::string &server)
{
    return {{"server", server},
            {"expected_ms", estimate.expected.count()},
            {"slot_wait_ms", estimate.slotWait.count()},
            {"tokens_ahead", std::llround(estimate.tokensAhead)},
            {"own_tokens", std::llround(estimate.ownTokens)},
            {"tokens_per_ms", estimate.tokensPerMs},
            {"peer_update_age_ms", estimate.peerUpdateAge.count()}};
}

/** @brief Returns a name of the backend server's process: its id, which a restarted one may keep, and its start time. */
std::string processOf(const world::BackendServer &server)
{
    return server.startedUnixMs == 0 ? server.id : server.id + "/" + std::to_string(server.startedUnixMs);
}

} // namespace internal

Exchange::Exchange(Worker &worker, CallerSession &session, CallerRequest request, BodyMemory::Reservation bodyMemory, core::MonotonicTime arrivedAt)
    : worker_(worker)
    , session_(&session)
    , request_(std::move(request))
    , body_(std::make_shared<const RequestBody>(RequestBody{std::exchange(request_.body(), {}), std::move(bodyMemory)}))
    , arrivedAt_(arrivedAt)
    , deadlineTimer_(worker.context())
    , stallTimer_(worker.context())
    , holdTimer_(worker.context())
{
}

Exchange::~Exchange()
{
    if (call_ != nullptr) {
        call_->cancel();
    }
}

void Exchange::start()
{
    try {
        requestHead_.id = platform::readRequestId(request_.base());
        requestHead_ = platform::readRequestHead(request_.base());
        if (isHeldAtStart()) {
            return;
        }
        admit();
    } catch (const core::Error &error) {
        refuse(error.kind(), error.what());
        return;
    }
    if (endIfCallerLeft()) {
        return;
    }
    armDeadlineTimer();
    tryNextServer();
    if (session_ != nullptr && admission_->route->isRetryable()) {
        armStallTimer();
    }
}

void Exchange::armDeadlineTimer()
{
    deadlineTimer_.expires_at(deadline_);
    auto self = shared_from_this();
    deadlineTimer_.async_wait([self](const boost::system::error_code &error) {
        if (!error && self->session_ != nullptr) {
            self->onDeadline();
        }
    });
}

bool Exchange::isHeldAtStart()
{
    if (startPlace_ != nullptr || !worker_.startQueue().isHolding() || worker_.isRefusingRequests()) {
        return false;
    }
    std::size_t bytes = body_->bytes.size();
    for (const auto &field : request_) {
        bytes += field.name_string().size() + field.value().size();
    }
    startPlace_ = worker_.startQueue().hold({arrivedAt_, requestHead_.callerTimeout, bytes}, [self = weak_from_this()] {
        const auto exchange = self.lock();
        if (exchange != nullptr && exchange->session_ != nullptr) {
            exchange->start();
        }
    });
    return startPlace_ != nullptr;
}

bool Exchange::endIfCallerLeft()
{
    if (!session_->hasCallerLeft()) {
        return false;
    }
    auto *session = session_;
    onCallerDisconnected();
    session->abort();
    return true;
}

bool Exchange::isStillWanted()
{
    return !endIfCallerLeft();
}

void Exchange::armStallTimer()
{
    stallTimer_.expires_after(internal::stallCheckPeriod);
    auto self = weak_from_this();
    stallTimer_.async_wait([self](const boost::system::error_code &error) {
        const auto exchange = self.lock();
        if (!error && exchange != nullptr && exchange->session_ != nullptr) {
            exchange->checkStall();
        }
    });
}

void Exchange::checkStall()
{
    const bool canContinueElsewhere = !isRelayStarted() || relayMode_ == RelayMode::EventStream;
    const auto &route = *admission_->route; /* may be another one than at the start, if the request waited */
    const bool canSwitchServer = canContinueElsewhere && call_ != nullptr && route.isRetryable() && sentAttempts_ < route.maxAttempts;
    if (canSwitchServer && isStalled()) {
        // The current attempt is cancelled only if another backend server accepts the request.
        auto placement = worker_.dispatcher().place(*admission_, triedServers_, callerWait());
        if (placement.inFlight != nullptr) {
            mayHaveRun_ = true;
            call_->cancel();
            finishAttempt(Outcome::TransportError);
            eventScanner_.discardPartialEvent();
            startAttempt(std::move(placement));
        }
    }
    armStallTimer();
}

bool Exchange::isStalled() const
{
    if (isWithoutProgress()) {
        return true;
    }
    const auto sinceLastActivity = std::chrono::steady_clock::now() - std::max(lastSentAt_, lastBodyAt_);
    const auto stallLimit = isRelayStarted() ? admission_->route->pauseObjective * internal::stallFactor : internal::stallCheckPeriod;
    return sinceLastActivity > stallLimit && !isReadingPaused_ && inFlight_->isServerUnresponsive();
}

bool Exchange::isWithoutProgress() const
{
    const auto limit = std::max(admission_->route->pauseObjective * internal::progressFactor, internal::minProgressTime);
    const auto lastProgress = std::max(lastSentAt_, lastEventAt_);
    const bool areBytesReceived = relayMode_ == RelayMode::EventStream && lastBodyAt_ > lastProgress;
    return areBytesReceived && !isReadingPaused_ && std::chrono::steady_clock::now() - lastProgress > limit;
}

void Exchange::admit()
{
    if (worker_.isRefusingRequests()) {
        throw core::Error(core::ErrorKind::ShuttingDown, "the gateway is shutting down and accepts no new requests");
    }
    const auto target = request_.target();
    admission_ = worker_.dispatcher().admit(requestHead_, {target.data(), target.size()});
    const auto method = request_.method_string();
    const RequestIdentity identity{{method.data(), method.size()}, requestHead_.host, {target.data(), target.size()}, requestHead_.apiKey, body_->bytes};
    admission_->quarantineKeys.push_back(fingerprintOf(identity));
    const auto &route = *admission_->route;
    const auto limit = requestHead_.callerTimeout ? std::min(*requestHead_.callerTimeout, route.timeout) : route.timeout;
    const bool isNonIdempotent = route.kind == world::RouteKind::NonIdempotent;
    const auto timeLeft = worker_.timeUntilRequestsEnd();
    if (isNonIdempotent && timeLeft < limit && timeLeft < worker_.dispatcher().meter().usualDuration(route)) {
        throw core::Error(core::ErrorKind::ShuttingDown, "the gateway is shutting down and has too little time left for a request that cannot be repeated");
    }
    deadline_ = arrivedAt_ + limit;
    eventScanner_ = EventScanner(requestHead_.lastEventId);
}

std::chrono::milliseconds Exchange::remainingTime() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - std::chrono::steady_clock::now());
}

std::chrono::milliseconds Exchange::callerWait() const
{
    const auto &route = *admission_->route;
    if (route.kind != world::RouteKind::Streaming) {
        return remainingTime();
    }
    const auto sinceLastBytes = internal::elapsedSince(std::max(arrivedAt_, lastBodyAt_));
    return std::min(remainingTime(), platform::streamCallerWait(route) - sinceLastBytes);
}

std::chrono::milliseconds Exchange::callerRemainingTime() const
{
    const auto timeout = requestHead_.callerTimeout.value_or(internal::assumedCallerTimeout);
    return timeout - internal::elapsedSince(arrivedAt_);
}

std::chrono::milliseconds Exchange::maxIdleTime() const
{
    if (requestHead_.id.empty()) {
        return std::chrono::milliseconds(0); // Nothing would tell its response from a late copy of the one before it on the connection.
    }
    return admission_->route->isRetryable() ? internal::maxIdleRetryable : internal::maxIdleNonRetryable;
}

void Exchange::tryNextServer()
{
    if (remainingTime() < internal::minAttemptTime) {
        const auto kind = mayHaveRun_ ? core::ErrorKind::DeadlineAfterSend : core::ErrorKind::DeadlineUnsent;
        retryOrFail(kind, "too little time left before the deadline to send the request", false);
        return;
    }
    auto placement = placeOrHold();
    availableIn_ = placement.availableIn;
    estimatedServer_ = placement.estimatedServer;
    estimate_ = placement.estimate;
    if (placement.held != nullptr) {
        hold(std::move(placement));
        return;
    }
    if (placement.inFlight == nullptr) {
        retryOrFail(placement.refusal, placement.reason, false);
        return;
    }
    startAttempt(std::move(placement));
}

void Exchange::startAttempt(PlacementResult placement)
{
    inFlight_ = std::move(placement.inFlight);
    historySource_ = placement.historySource;
    placementReason_ = placement.reason;
    firstBodyAt_ = {};
    isAnswerRecorded_ = false;
    const auto &server = inFlight_->server();
    triedServers_.push_back(server.id);
    sendRequest(server);
}

void Exchange::sendRequest(const world::BackendServer &server)
{
    BackendRequest out;
    out.serverId = server.id;
    out.address = server.address;
    out.requestId = requestHead_.id;
    out.isHeadRequest = request_.method() == bhttp::verb::head;
    out.maxIdleTime = maxIdleTime();
    constexpr std::size_t usualHeadBytes = 1024;
    out.bytes.reserve(usualHeadBytes);
    out.bytes.append(request_.method_string().data(), request_.method_string().size());
    out.bytes += ' ';
    out.bytes.append(request_.target().data(), request_.target().size());
    out.bytes += " HTTP/1.1\r\n";
    platform::AddedHeaders added;
    added.serverId = server.id;
    added.workspace = admission_->workspace;
    added.remainingTime = remainingTime();
    if (admission_->route->usesPromptCache) {
        added.urgency = std::clamp(admission_->urgency, 0, internal::leastUrgent);
    }
    added.lastEventId = eventScanner_.lastEventId();
    added.historySource = historySource_;
    platform::appendForwardedHeaders(out.bytes, request_.base(), added);
    const bool hasBody = !body_->bytes.empty() || request_.has_content_length() || request_.chunked();
    if (hasBody) {
        out.bytes += "Content-Length: " + std::to_string(body_->bytes.size()) + "\r\n";
    }
    out.bytes += "\r\n";
    out.body = body_;
    ++sentAttempts_;
    lastSentAt_ = std::chrono::steady_clock::now();
    call_ = std::make_shared<BackendCall>(worker_.connectionPool(), std::move(out), *this);
    call_->start();
}

void Exchange::releaseBodyIfUnneeded()
{
    const auto &route = *admission_->route;
    if (!route.isRetryable() || sentAttempts_ >= route.maxAttempts) {
        body_.reset();
    }
}

void Exchange::finishAttempt(Outcome outcome)
{
    call_.reset();
    if (presence_ != nullptr) {
        presence_->cancel();
        presence_.reset();
    }
    if (inFlight_ != nullptr) {
        inFlight_->finish(outcome);
        inFlight_.reset();
    }
}

void Exchange::recordServerLoss()
{
    const bool isLost = call_ != nullptr && call_->isClosedByServer() && !isAnswerRecorded_;
    if (!isLost) {
        return;
    }
    // Response headers tell when a prompt that waited begins to run; a request without one runs as soon as the server has read it.
    const bool hasPrompt = admission_->quarantineKeys.size() > 1;
    const bool isBegun = !hasPrompt || (call_->bodyEnd() != BodyEnd::None && firstBodyAt_ == core::MonotonicTime{});
    worker_.dispatcher().withQuarantine([this, isBegun](PromptQuarantine &quarantine, core::MonotonicTime now) {
        quarantine.onServerLost(internal::processOf(inFlight_->server()), {admission_->quarantineKeys, isBegun}, now);
    });
}

void Exchange::recordAnswer()
{
    if (isAnswerRecorded_) {
        return;
    }
    isAnswerRecorded_ = true;
    worker_.dispatcher().withQuarantine([this](PromptQuarantine &quarantine, core::MonotonicTime now) {
        quarantine.onAnswered(admission_->quarantineKeys, now);
    });
}

void Exchange::onConnectFailed(const std::string &reason)
{
    --sentAttempts_;
    finishAttempt(Outcome::Unreachable);
    retryOrFail(core::ErrorKind::BackendDown, reason, true);
}

void Exchange::onResponseError(const std::string &reason)
{
    mayHaveRun_ = true;
    recordServerLoss();
    finishAttempt(Outcome::TransportError);
    retryOrFail(isRelayStarted() ? core::ErrorKind::AnswerCut : core::ErrorKind::OutcomeUnknown, reason, admission_->route->isRetryable());
}

void Exchange::retryOrFail(core::ErrorKind kind, const std::string &reason, bool isRetryAllowed)
{
    const bool canContinueElsewhere = !isRelayStarted() || relayMode_ == RelayMode::EventStream;
    if (isRetryAllowed && canContinueElsewhere && sentAttempts_ < admission_->route->maxAttempts) {
        eventScanner_.discardPartialEvent();
        tryNextServer();
        return;
    }
    if (isEndPending_) {
        checkPresence(false);
        return;
    }
    if (isRelayStarted()) {
        abortResponse(kind, reason);
        return;
    }
    // After an attempt that may have run the request, the caller must not be told that it did not run.
    const bool kindMeansMayHaveRun = core::ruleOf(kind).runState != core::RunState::NotRun;
    refuse(mayHaveRun_ && !kindMeansMayHaveRun ? core::ErrorKind::BackendFailed : kind, reason);
}

void Exchange::refuse(core::ErrorKind kind, const std::string &detail)
{
    GatewayRefusal refusal;
    refusal.requestId = requestHead_.id;
    refusal.kind = kind;
    refusal.detail = detail;
    refusal.retryAfter = chooseRetryAfter(kind, callerRemainingTime(), worker_.random(), availableIn_);
    refusal.keepAlive = session_->decideKeepAlive();
    refusal.isHeadRequest = request_.method() == bhttp::verb::head;
    worker_.dispatcher().countRefusal(kind);
    session_->write(formatRefusal(refusal));
    finish(core::ruleOf(kind).name, detail);
}

void Exchange::abortResponse(core::ErrorKind kind, const std::string &detail)
{
    worker_.dispatcher().countRefusal(kind);
    worker_.tally().cut++;
    log(core::ruleOf(kind).name, detail);
    recordMetrics(false);
    deadlineTimer_.cancel();
    stallTimer_.cancel();
    endHold();
    auto *session = std::exchange(session_, nullptr);
    session->abort();
}

void Exchange::onDeadline()
{
    endNow(core::ErrorKind::DeadlineUnsent, core::ErrorKind::DeadlineAfterSend, "request deadline exceeded");
}

void Exchange::onShutdown()
{
    endNow(core::ErrorKind::ShuttingDown, core::ErrorKind::OutcomeUnknown, "the gateway's shutdown ended before the response");
}

void Exchange::endNow(core::ErrorKind kindIfUnsent, core::ErrorKind kindIfSent, const std::string &detail)
{
    const bool hasAttempt = call_ != nullptr;
    if (hasAttempt) {
        call_->cancel();
        finishAttempt(Outcome::Abandoned);
    }
    if (isRelayStarted()) {
        abortResponse(core::ErrorKind::AnswerCut, detail);
        return;
    }
    mayHaveRun_ = mayHaveRun_ || hasAttempt;
    refuse(mayHaveRun_ ? kindIfSent : kindIfUnsent, detail);
}

void Exchange::finish(std::string_view requestOutcome, const std::string &detail)
{
    const bool isAnswered = requestOutcome == answeredOutcome;
    (isAnswered ? worker_.tally().answered : worker_.tally().refused)++;
    log(requestOutcome, detail);
    recordMetrics(isAnswered);
    deadlineTimer_.cancel();
    stallTimer_.cancel();
    endHold();
    auto *session = std::exchange(session_, nullptr);
    session->finishResponse();
}

void Exchange::onCallerDisconnected()
{
    if (session_ == nullptr) {
        return;
    }
    worker_.tally().callerGone++;
    log("caller_gone", "");
    worker_.dispatcher().countCallerGone();
    session_ = nullptr;
    deadlineTimer_.cancel();
    stallTimer_.cancel();
    endHold();
    if (call_ != nullptr) {
        call_->cancel();
    }
    finishAttempt(Outcome::Abandoned);
}

void Exchange::onCallerWritesDrained()
{
    if (isReadingPaused_ && call_ != nullptr) {
        isReadingPaused_ = false;
        call_->resume();
    }
}

void Exchange::recordMetrics(bool isAnswered)
{
    if (!admission_) {
        return;
    }
    EndedRequest ended;
    ended.kind = admission_->route->kind;
    ended.route = admission_->route->name;
    ended.workspace = admission_->workspace;
    ended.isAnswered = isAnswered;
    ended.duration = std::chrono::steady_clock::now() - arrivedAt_;
    if (headersReceivedAt_ > arrivedAt_) {
        ended.timeToHeaders = headersReceivedAt_ - arrivedAt_;
    }
    worker_.dispatcher().meter().record(ended);
}

void Exchange::log(std::string_view requestOutcome, const std::string &detail) const
{
    boost::json::object line;
    line["request"] = requestHead_.id;
    line["outcome"] = requestOutcome;
    line["detail"] = detail;
    line["took_ms"] = internal::elapsedSince(arrivedAt_).count();
    if (admission_) {
        line["route"] = admission_->route->name;
        line["version"] = admission_->table->routing().version;
        line["service"] = admission_->service;
    }
    if (headersReceivedAt_ > arrivedAt_) {
        line["pause_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(maxBodyGap_).count();
        line["history"] = admission_->historyKey();
        line["body_end"] = nameOf(bodyEnd_);
        if (isEventStream_) {
            line["inside_event"] = isInsideEvent();
        }
    }
    const bool isUnanswered = !triedServers_.empty() && lastBodyAt_ == core::MonotonicTime{};
    if (isUnanswered && admission_) {
        line["fingerprint"] = admission_->quarantineKeys.back();
    }
    if (isUnanswered && !requestHead_.parts.empty()) {
        boost::json::array parts;
        for (const auto &part : requestHead_.parts) {
            parts.emplace_back(part.id);
        }
        line["prompt_parts"] = std::move(parts);
    }
    if (!historySource_.empty()) {
        line["history_source"] = historySource_;
    }
    if (estimate_) {
        line["estimate"] = internal::describe(*estimate_, estimatedServer_);
    }
    if (!triedServers_.empty()) {
        line["reason"] = placementReason_;
        line["servers"] = boost::json::array(triedServers_.begin(), triedServers_.end());
        line["head_ms"]
            = headersReceivedAt_ > arrivedAt_ ? internal::elapsedSince(arrivedAt_).count() - internal::elapsedSince(headersReceivedAt_).count() : -1;
    }
    telemetry::logRateLimited("request", std::move(line));
}

} // namespace cyclamenspool::gateway
