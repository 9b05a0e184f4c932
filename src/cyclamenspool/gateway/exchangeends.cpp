#include <cyclamenspool/gateway/exchange.h>

#include <cyclamenspool/gateway/unprovedend.h>

#include <boost/beast/http/status.hpp>

namespace cyclamenspool::gateway {

namespace bhttp = boost::beast::http;

void Exchange::onResponseComplete()
{
    if (const char *reason = streamIncompleteReason()) {
        onResponseError(reason);
        return;
    }
    const bool isSuccess = bhttp::to_status_class(bhttp::int_to_status(responseStatus_)) == bhttp::status_class::successful;
    ResponseEnd end;
    end.bodyEnd = isSuccess ? bodyEnd_ : BodyEnd::Length; /* a failure with a part of its body is one still */
    end.isResumable = relayMode_ == RelayMode::EventStream && !eventScanner_.lastEventId().empty();
    end.isEmptyRest = (isRelayStarted() || isEndPending_) && firstBodyAt_ == core::MonotonicTime{};
    end.isAttemptLeft = sentAttempts_ < admission_->route->maxAttempts;
    if (checkOf(end) == EndCheck::None || !askForRest()) {
        completeResponse();
    }
}

bool Exchange::askForRest()
{
    if (remainingTime() <= std::chrono::milliseconds(0)) {
        return false;
    }
    auto placement = worker_.dispatcher().place(*admission_, triedServers_, callerWait());
    if (placement.inFlight == nullptr) {
        return false;
    }
    isEndPending_ = true;
    mayHaveRun_ = true;
    finishAttempt(Outcome::Answered);
    eventScanner_.discardPartialEvent();
    startAttempt(std::move(placement));
    return true;
}

} // namespace cyclamenspool::gateway
