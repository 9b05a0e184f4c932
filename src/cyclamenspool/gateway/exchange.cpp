#include <cyclamenspool/gateway/exchange.h>

#include <cyclamenspool/gateway/refusal.h>
#include <cyclamenspool/telemetry/log.h>

#include <algorithm>

namespace cyclamenspool::gateway {

namespace bhttp = boost::beast::http;

namespace internal {

constexpr std::chrono::milliseconds leastTime{5}; /* an attempt with less time left is not worth sending */
constexpr std::chrono::milliseconds repeatableIdle{10000};
constexpr std::chrono::milliseconds onceIdle{1500}; /* a connection that was idle for long may be closed under a request that must not be repeated */
constexpr std::chrono::milliseconds silencePeriod{100}; /* between two looks at a backend server that may be silent */
constexpr int pauseFactor = 2; /* of the longest pause wanted: a stream that is silent for so long is late already */
constexpr std::chrono::milliseconds unknownTime{1000}; /* taken for a caller that does not say how long it waits */
constexpr int highestUrgency = 9;

std::chrono::milliseconds elapsedSince(core::MonotonicTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - time);
}

} // namespace internal

Exchange::Exchange(Worker &worker, CallerSession &session, CallerRequest request, core::MonotonicTime arrived)
    : worker_(worker)
    , session_(&session)
    , request_(std::move(request))
    , arrived_(arrived)
    , timer_(worker.context())
    , silenceTimer_(worker.context())
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
        admit();
    } catch (const core::Error &error) {
        refuse(error.kind(), error.what());
        return;
    }
    timer_.expires_at(deadline_);
    auto self = shared_from_this();
    timer_.async_wait([self](const boost::system::error_code &error) {
        if (!error && self->session_ != nullptr) {
            self->onDeadline();
        }
    });
    attempt();
    if (session_ != nullptr && admission_->route->mayRepeat()) {
        watchSilence();
    }
}

void Exchange::watchSilence()
{
    silenceTimer_.expires_after(internal::silencePeriod);
    auto self = weak_from_this();
    silenceTimer_.async_wait([self](const boost::system::error_code &error) {
        const auto exchange = self.lock();
        if (!error && exchange != nullptr && exchange->session_ != nullptr) {
            exchange->onSilence();
        }
    });
}

void Exchange::onSilence()
{
    const bool isResumable = !isAnswerBegun() || mode_ == Mode::Events;
    const bool mayMove = isResumable && call_ != nullptr && sent_ < admission_->route->maxAttempts;
    if (mayMove && isStalled()) {
        // The request leaves its backend server only if another one takes it.
        auto answer = worker_.dispatcher().place(*admission_, tried_);
        if (answer.ticket != nullptr) {
            mayHaveRun_ = true;
            call_->cancel();
            finishAttempt(Outcome::Broken);
            scanner_.dropRest();
            startAttempt(std::move(answer));
        }
    }
    watchSilence();
}

bool Exchange::isStalled() const
{
    const auto quiet = std::chrono::steady_clock::now() - std::max(lastSent_, lastBody_);
    const auto pause = isAnswerBegun() ? admission_->route->pauseObjective * internal::pauseFactor : internal::silencePeriod;
    return quiet > pause && !isReadingPaused_ && ticket_->isServerSilent();
}

void Exchange::admit()
{
    head_ = platform::readRequestHead(request_.base());
    if (worker_.isRefusing()) {
        throw core::Error(core::ErrorKind::ShuttingDown, "the process ends within its grace period");
    }
    const auto target = request_.target();
    admission_ = worker_.dispatcher().admit(head_, {target.data(), target.size()});
    const auto &route = *admission_->route;
    const auto limit = head_.callerTime ? std::min(*head_.callerTime, route.timeout) : route.timeout;
    deadline_ = arrived_ + limit;
    scanner_ = EventScanner(head_.lastEvent);
}

std::chrono::milliseconds Exchange::timeLeft() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - std::chrono::steady_clock::now());
}

std::chrono::milliseconds Exchange::longestIdle() const
{
    return admission_->route->mayRepeat() ? internal::repeatableIdle : internal::onceIdle;
}

void Exchange::attempt()
{
    if (timeLeft() < internal::leastTime) {
        refuse(mayHaveRun_ ? core::ErrorKind::DeadlineAfterSend : core::ErrorKind::NoCandidate, "no time is left");
        return;
    }
    auto answer = worker_.dispatcher().place(*admission_, tried_);
    if (answer.ticket == nullptr) {
        retryOrFail(answer.refusal, answer.reason, false);
        return;
    }
    startAttempt(std::move(answer));
}

void Exchange::startAttempt(PlacementAnswer answer)
{
    ticket_ = std::move(answer.ticket);
    historySource_ = answer.historySource;
    placementReason_ = answer.reason;
    const auto &server = ticket_->server();
    tried_.push_back(server.id);
    send(server);
}

void Exchange::send(const world::BackendServer &server)
{
    BackendRequest out;
    out.server = server.id;
    out.address = server.address;
    out.requestId = head_.id;
    out.isHead = request_.method() == bhttp::verb::head;
    out.longestIdle = longestIdle();
    out.bytes.reserve(1024 + request_.body().size());
    out.bytes.append(request_.method_string().data(), request_.method_string().size());
    out.bytes += ' ';
    out.bytes.append(request_.target().data(), request_.target().size());
    out.bytes += " HTTP/1.1\r\n";
    platform::ForwardHead added;
    added.server = server.id;
    added.workspace = admission_->workspace;
    added.timeLeft = timeLeft();
    if (admission_->route->warmHistory) {
        added.urgency = std::clamp(admission_->urgency, 0, internal::highestUrgency);
    }
    added.lastEvent = scanner_.lastId();
    added.historySource = historySource_;
    platform::appendForwarded(out.bytes, request_.base(), added);
    const bool hasBody = !request_.body().empty() || request_.has_content_length() || request_.chunked();
    if (hasBody) {
        out.bytes += "Content-Length: " + std::to_string(request_.body().size()) + "\r\n";
    }
    out.bytes += "\r\n";
    out.bytes += request_.body();
    ++sent_;
    lastSent_ = std::chrono::steady_clock::now();
    call_ = std::make_shared<BackendCall>(worker_.pool(), std::move(out), *this);
    call_->start();
}

void Exchange::finishAttempt(Outcome outcome)
{
    call_.reset();
    if (ticket_ != nullptr) {
        ticket_->finish(outcome);
        ticket_.reset();
    }
}

void Exchange::onUnreachable(const std::string &reason)
{
    --sent_;
    finishAttempt(Outcome::Unreachable);
    retryOrFail(core::ErrorKind::BackendDown, reason, true);
}

void Exchange::onBroken(const std::string &reason)
{
    mayHaveRun_ = true;
    finishAttempt(Outcome::Broken);
    retryOrFail(isAnswerBegun() ? core::ErrorKind::AnswerCut : core::ErrorKind::OutcomeUnknown, reason, admission_->route->mayRepeat());
}

void Exchange::retryOrFail(core::ErrorKind kind, const std::string &reason, bool maySendAgain)
{
    const bool isResumable = !isAnswerBegun() || mode_ == Mode::Events;
    if (maySendAgain && isResumable && sent_ < admission_->route->maxAttempts) {
        scanner_.dropRest();
        attempt();
        return;
    }
    if (isAnswerBegun()) {
        cut(kind, reason);
        return;
    }
    const bool isTold = core::ruleOf(kind).runState != core::RunState::NotRun;
    refuse(mayHaveRun_ && !isTold ? core::ErrorKind::BackendFailed : kind, reason);
}

void Exchange::refuse(core::ErrorKind kind, const std::string &detail)
{
    GatewayRefusal refusal;
    refusal.requestId = head_.id;
    refusal.kind = kind;
    refusal.detail = detail;
    const auto left = admission_ ? timeLeft() : head_.callerTime.value_or(internal::unknownTime);
    refusal.retryAfter = retryAfterOf(kind, left, worker_.random());
    refusal.keepAlive = session_->keepsAlive();
    refusal.isHead = request_.method() == bhttp::verb::head;
    worker_.dispatcher().onRefusal(kind);
    session_->write(formatRefusal(refusal));
    finish(core::ruleOf(kind).name, detail);
}

void Exchange::cut(core::ErrorKind kind, const std::string &detail)
{
    worker_.dispatcher().onRefusal(kind);
    log(core::ruleOf(kind).name, detail);
    measure(false);
    timer_.cancel();
    silenceTimer_.cancel();
    auto *session = std::exchange(session_, nullptr);
    session->abort();
}

void Exchange::onDeadline()
{
    const bool isSent = call_ != nullptr;
    if (isSent) {
        call_->cancel();
        finishAttempt(Outcome::Abandoned);
    }
    if (isAnswerBegun()) {
        cut(core::ErrorKind::AnswerCut, "the time is up");
        return;
    }
    mayHaveRun_ = mayHaveRun_ || isSent;
    refuse(mayHaveRun_ ? core::ErrorKind::DeadlineAfterSend : core::ErrorKind::NoCandidate, "the time is up");
}

void Exchange::finish(std::string_view outcome, const std::string &detail)
{
    log(outcome, detail);
    measure(outcome == answeredOutcome);
    timer_.cancel();
    silenceTimer_.cancel();
    auto *session = std::exchange(session_, nullptr);
    session->endAnswer();
}

void Exchange::onCallerGone()
{
    if (session_ == nullptr) {
        return;
    }
    log("caller_gone", "");
    session_ = nullptr;
    timer_.cancel();
    silenceTimer_.cancel();
    if (call_ != nullptr) {
        call_->cancel();
    }
    finishAttempt(Outcome::Abandoned);
}

void Exchange::onCallerReady()
{
    if (isReadingPaused_ && call_ != nullptr) {
        isReadingPaused_ = false;
        call_->resume();
    }
}

void Exchange::measure(bool isAnswered)
{
    if (!admission_) {
        return;
    }
    EndedRequest ended;
    ended.kind = admission_->route->kind;
    ended.workspace = admission_->workspace;
    ended.isAnswered = isAnswered;
    ended.took = std::chrono::steady_clock::now() - arrived_;
    if (headCame_ > arrived_) {
        ended.beforeHead = headCame_ - arrived_;
    }
    worker_.dispatcher().meter().onEnded(ended);
}

void Exchange::log(std::string_view outcome, const std::string &detail) const
{
    boost::json::object line;
    line["request"] = head_.id;
    line["outcome"] = outcome;
    line["detail"] = detail;
    line["took_ms"] = internal::elapsedSince(arrived_).count();
    if (admission_) {
        line["route"] = admission_->route->name;
        line["version"] = admission_->table->routing().version;
        line["service"] = admission_->service;
    }
    if (headCame_ > arrived_) {
        line["pause_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(longestPause_).count();
        line["history"] = admission_->historyKey;
    }
    if (!historySource_.empty()) {
        line["history_source"] = historySource_;
    }
    if (!tried_.empty()) {
        line["reason"] = placementReason_;
        line["servers"] = boost::json::array(tried_.begin(), tried_.end());
        line["head_ms"] = headCame_ > arrived_ ? internal::elapsedSince(arrived_).count() - internal::elapsedSince(headCame_).count() : -1;
    }
    telemetry::logLine("request", std::move(line));
}

} // namespace cyclamenspool::gateway
