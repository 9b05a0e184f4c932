#include <cyclamenspool/gateway/scheduling/servicequeue.h>

#include <algorithm>

namespace cyclamenspool::gateway::scheduling {

bool ServiceQueue::hasRoom(const ServiceLoad &load) const noexcept
{
    const auto limit = limit_.limit();
    return !limit || load.own + static_cast<int>(room_.chosen()) < *limit;
}

core::Milliseconds ServiceQueue::timeToSend(std::size_t position, core::Milliseconds objective) const
{
    // Half of a round trip is left until the next request in flight ends, on average.
    return limit_.responseTime(objective) * (2 * static_cast<int>(position) + 1) / (2 * limit_.limit().value_or(1));
}

QueueVerdict ServiceQueue::decide(const QueuedRequest &request, const WaitLimits &limits, Ticket ticket, const ServiceLoad &load, core::MonotonicTime now)
{
    const bool wasChosen = room_.remove(ticket);
    limit_.onDemand(load, ticket == 0, now);
    QueueVerdict verdict;
    verdict.limit = limit_.limit().value_or(0);
    if (wasChosen || verdict.limit == 0) {
        usage_.add(request.workspace, now);
        return verdict;
    }
    verdict.position = room_.positionOf(request, usage_, now);
    if (hasRoom(load) && verdict.position == 0) {
        usage_.add(request.workspace, now);
        return verdict;
    }
    const auto responseTime = limit_.responseTime(limits.objective);
    const auto waited = std::chrono::duration_cast<core::Milliseconds>(now - request.arrivedAt);
    verdict.predictedWait = timeToSend(verdict.position, limits.objective);
    verdict.recheckIn = std::min(limits.objective - limits.spentBefore, limits.callerWait) - responseTime - waited;
    verdict.decision.availableIn = verdict.predictedWait;
    verdict.decision.verdict = Verdict::Hold;
    verdict.decision.reason = "held until a request of this gateway to the service ends";
    if (verdict.predictedWait > verdict.recheckIn) {
        verdict.decision.verdict = Verdict::Reject;
        verdict.decision.availableIn = timeToSend(room_.waiting(), limits.objective);
        verdict.decision.reason = "the requests that wait for the service leave too little time for its objective";
    }
    return verdict;
}

Ticket ServiceQueue::hold(QueuedRequest request, Wake wake)
{
    return room_.add(std::move(request), std::move(wake));
}

void ServiceQueue::release(Ticket ticket)
{
    room_.remove(ticket);
}

std::vector<Wake> ServiceQueue::takeNext(const ServiceLoad &load, core::MonotonicTime now)
{
    std::vector<Wake> wakes;
    while (room_.waiting() > 0 && hasRoom(load)) {
        wakes.push_back(room_.next(usage_, now));
    }
    return wakes;
}

Wake ServiceQueue::takeOne(core::MonotonicTime now)
{
    return room_.next(usage_, now);
}

std::vector<Wake> ServiceQueue::takeAll() const
{
    return room_.all();
}

void ServiceQueue::onSent(const std::string &workspace, core::MonotonicTime now)
{
    usage_.add(workspace, now);
}

void ServiceQueue::onResponse(core::MonotonicTime::duration time, core::Milliseconds objective, const ServiceLoad &load, core::MonotonicTime now)
{
    limit_.onResponse(time, objective, load, now);
}

void ServiceQueue::onRejected(const ServiceLoad &load, core::MonotonicTime now)
{
    limit_.onRejected(load, now);
}

} // namespace cyclamenspool::gateway::scheduling
