#include <cyclamenspool/gateway/dispatcher.h>

#include <cyclamenspool/telemetry/log.h>

#include <algorithm>
#include <vector>

namespace cyclamenspool::gateway {

namespace internal {

using scheduling::Verdict;

constexpr core::Milliseconds minRecheck{10};

bool countsForLoad(Availability availability)
{
    return availability == Availability::Usable || availability == Availability::Cold || availability == Availability::Probing;
}

scheduling::QueuedRequest queuedRequest(const Admission &admission, core::MonotonicTime arrivedAt)
{
    return {admission.workspace, admission.urgency, arrivedAt};
}

const char *nameOf(Verdict verdict)
{
    switch (verdict) {
    case Verdict::Send:
        return "sent";
    case Verdict::Hold:
        return "held";
    case Verdict::Reject:
        return "rejected";
    }
    return "unknown";
}

void logVerdict(const Admission &admission, const std::string &requestId, core::MonotonicTime arrivedAt, const scheduling::QueueVerdict &verdict)
{
    boost::json::object line;
    line["request"] = requestId;
    line["service"] = admission.service;
    line["verdict"] = nameOf(verdict.decision.verdict);
    line["reason"] = verdict.decision.reason;
    line["position"] = verdict.position;
    line["predicted_wait_ms"] = verdict.predictedWait.count();
    line["time_left_ms"] = verdict.recheckIn.count();
    line["available_in_ms"] = verdict.decision.availableIn.count();
    line["limit"] = verdict.limit;
    line["waited_ms"] = std::chrono::duration_cast<core::Milliseconds>(std::chrono::steady_clock::now() - arrivedAt).count();
    telemetry::logRateLimited("waiting_room", std::move(line));
}

} // namespace internal

HeldRequest::HeldRequest(Dispatcher &dispatcher, std::string service, scheduling::Ticket ticket)
    : dispatcher_(dispatcher)
    , service_(std::move(service))
    , ticket_(ticket)
{
}

HeldRequest::~HeldRequest()
{
    dispatcher_.releaseHold(service_, ticket_);
}

PlacementResult Dispatcher::placeOrHold(const Admission &admission, const std::vector<std::string> &tried, core::Milliseconds callerWait, HoldOffer offer)
{
    const bool isPlain = !admission.route->usesPromptCache;
    const bool wasHeld = offer.earlier != nullptr;
    const auto arrivedAt = offer.arrivedAt;
    PlacementResult result;
    auto verdict = decideInQueue(admission, callerWait, offer, result.held);
    if (verdict.decision.verdict == internal::Verdict::Send) {
        result = place(admission, tried, callerWait);
        const bool isSent = result.inFlight != nullptr;
        if (isSent && isPlain) {
            result.inFlight->setObjective(admission.route->latencyObjective);
        }
        if (isSent && wasHeld) {
            recordSentAfterHold(admission, arrivedAt);
            verdict.decision.reason = result.reason;
            internal::logVerdict(admission, offer.requestId, arrivedAt, verdict);
        }
        const bool isPlaceUnused = isPlain && !isSent;
        const bool mayHaveRoomLeft = !isPlain && isSent && wasHeld;
        if (isPlaceUnused || mayHaveRoomLeft) {
            wakeNext(admission.service);
        }
        if (isSent || result.decision.verdict != internal::Verdict::Hold) {
            return result;
        }
        verdict = holdPrompt(admission, result, callerWait, offer, result.held);
    }
    internal::logVerdict(admission, offer.requestId, arrivedAt, verdict);
    if (isPlain) {
        wakeNext(admission.service);
    }
    result.decision = verdict.decision;
    result.recheckIn = verdict.recheckIn;
    result.refusal = core::ErrorKind::PoolFull;
    result.reason = verdict.decision.reason;
    result.availableIn = verdict.decision.availableIn;
    return result;
}

scheduling::QueueVerdict Dispatcher::decideInQueue(const Admission &admission,
                                                   core::Milliseconds callerWait,
                                                   HoldOffer &offer,
                                                   std::unique_ptr<HeldRequest> &held)
{
    const bool isPlain = !admission.route->usesPromptCache;
    // A hold at another service, from which the route has moved, or of a request with a prompt ends without a decision.
    const bool isSameQueue = isPlain && offer.earlier != nullptr && offer.earlier->service() == admission.service;
    const auto ticket = isSameQueue ? offer.earlier->ticket() : 0;
    if (!isSameQueue) {
        offer.earlier.reset();
    }
    scheduling::QueueVerdict verdict;
    if (!isPlain) {
        return verdict;
    }
    const std::lock_guard lock(mutex_);
    const auto now = std::chrono::steady_clock::now();
    auto &counts = countsOf(admission.service);
    auto &queue = counts.queue;
    const auto waited = std::chrono::duration_cast<core::Milliseconds>(now - offer.arrivedAt);
    scheduling::WaitLimits limits{admission.route->latencyObjective, core::Milliseconds(0), waited + callerWait};
    if (offer.callerTimeout.count() > 0) {
        limits.spentBefore = counts.spentTimes[admission.route->name].spentBefore(offer.callerTimeout, now);
    }
    verdict = queue.decide(internal::queuedRequest(admission, offer.arrivedAt), limits, ticket, serviceLoadOf(admission.service, now), now);
    if (verdict.decision.verdict == internal::Verdict::Hold) {
        holdLocked(admission, verdict, offer, held);
    }
    holdCounts_.rejected += verdict.decision.verdict == internal::Verdict::Reject ? 1 : 0;
    return verdict;
}

scheduling::QueueVerdict Dispatcher::holdPrompt(const Admission &admission,
                                                const PlacementResult &placement,
                                                core::Milliseconds callerWait,
                                                HoldOffer &offer,
                                                std::unique_ptr<HeldRequest> &held)
{
    const std::lock_guard lock(mutex_);
    scheduling::QueueVerdict verdict;
    verdict.decision = placement.decision;
    verdict.predictedWait = placement.decision.availableIn;
    verdict.recheckIn = std::max(placement.decision.availableIn, internal::minRecheck);
    auto &queue = countsOf(admission.service).queue;
    verdict.position = queue.waiting();
    if (verdict.recheckIn < callerWait) {
        holdLocked(admission, verdict, offer, held);
    } else {
        verdict.decision.verdict = internal::Verdict::Reject;
    }
    holdCounts_.rejected += verdict.decision.verdict == internal::Verdict::Reject ? 1 : 0;
    return verdict;
}

void Dispatcher::holdLocked(const Admission &admission, scheduling::QueueVerdict &verdict, HoldOffer &offer, std::unique_ptr<HeldRequest> &held)
{
    auto &counts = countsOf(admission.service);
    counts.usesPromptCache = admission.route->usesPromptCache;
    const auto ticket = counts.queue.hold(internal::queuedRequest(admission, offer.arrivedAt), std::move(offer.wake));
    if (ticket == 0) {
        verdict.decision.verdict = internal::Verdict::Reject;
        verdict.decision.reason = "too many requests wait for the service";
        return;
    }
    ++holdCounts_.held;
    ++waitingCount_;
    held = std::make_unique<HeldRequest>(*this, admission.service, ticket);
}

void Dispatcher::recordSentAfterHold(const Admission &admission, core::MonotonicTime arrivedAt)
{
    const std::lock_guard lock(mutex_);
    const auto now = std::chrono::steady_clock::now();
    ++holdCounts_.sent;
    holdCounts_.waits.observe(now - arrivedAt);
    if (admission.route->usesPromptCache) {
        countsOf(admission.service).queue.onSent(admission.workspace, now);
    }
}

void Dispatcher::releaseHold(const std::string &service, scheduling::Ticket ticket)
{
    {
        const std::lock_guard lock(mutex_);
        --waitingCount_;
        countsOf(service).queue.release(ticket);
    }
    // The request may have been chosen to be sent.
    wakeNext(service);
}

void Dispatcher::onRequestMeasured(const std::string &service, Outcome outcome, core::MonotonicTime::duration timeToHeaders, core::Milliseconds objective)
{
    if (outcome != Outcome::Answered && outcome != Outcome::AtCapacity) {
        return;
    }
    const std::lock_guard lock(mutex_);
    const auto now = std::chrono::steady_clock::now();
    auto &queue = countsOf(service).queue;
    const auto load = serviceLoadOf(service, now);
    if (outcome == Outcome::Answered) {
        queue.onResponse(timeToHeaders, objective, load, now);
    } else {
        queue.onRejected(load, now);
    }
}

void Dispatcher::wakeNext(const std::string &service)
{
    if (waitingCount_ == 0 || !isWaking_) {
        return;
    }
    std::vector<scheduling::Wake> wakes;
    {
        const std::lock_guard lock(mutex_);
        const auto now = std::chrono::steady_clock::now();
        auto &counts = countsOf(service);
        if (counts.usesPromptCache && counts.queue.waiting() > 0) {
            wakes.push_back(counts.queue.takeOne(now));
        } else if (counts.queue.waiting() > 0) {
            wakes = counts.queue.takeNext(serviceLoadOf(service, now), now);
        }
    }
    for (const auto &wake : wakes) {
        wake();
    }
}

void Dispatcher::wakeAll()
{
    if (waitingCount_ == 0 || !isWaking_) {
        return;
    }
    std::vector<scheduling::Wake> wakes;
    {
        const std::lock_guard lock(mutex_);
        for (const auto &[service, counts] : serviceCounts_) {
            const auto waiting = counts.queue.takeAll();
            wakes.insert(wakes.end(), waiting.begin(), waiting.end());
        }
    }
    for (const auto &wake : wakes) {
        wake();
    }
}

scheduling::ServiceLoad Dispatcher::serviceLoadOf(const std::string &service, core::MonotonicTime now) const
{
    scheduling::ServiceLoad load;
    for (const auto &server : fleet_.serversOf(service)) {
        if (internal::countsForLoad(fleet_.availabilityOf(*server, now))) {
            load.own += server->outstanding;
            load.total += Fleet::loadOf(*server);
            load.slots += server->entry.slots;
        }
    }
    return load;
}

std::vector<QueueView> Dispatcher::queues() const
{
    const std::lock_guard lock(mutex_);
    std::vector<QueueView> views;
    for (const auto &[service, counts] : serviceCounts_) {
        if (counts.queue.limit() || counts.queue.waiting() > 0) {
            views.push_back({service, counts.queue.waiting(), counts.queue.limit()});
        }
    }
    return views;
}

HoldCounts Dispatcher::holdCounts() const
{
    const std::lock_guard lock(mutex_);
    return holdCounts_;
}

} // namespace cyclamenspool::gateway
