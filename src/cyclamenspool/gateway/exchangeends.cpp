#include <cyclamenspool/gateway/exchange.h>

#include <cyclamenspool/gateway/endcheck.h>

#include <boost/beast/http/status.hpp>

namespace cyclamenspool::gateway {

namespace bhttp = boost::beast::http;

namespace internal {

constexpr const char *goneReason = "the connection ended without a length or last chunk, and the backend server is gone";

} // namespace internal

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
    switch (checkOf(end)) {
    case EndCheck::OtherServer:
        if (askForRest()) {
            return;
        }
        [[fallthrough]];
    case EndCheck::Presence:
        checkPresence(end.isEmptyRest);
        return;
    case EndCheck::Framing:
        completeResponse();
        return;
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
    endedAddress_ = inFlight_->server().address;
    isEndPending_ = true;
    mayHaveRun_ = true;
    finishAttempt(Outcome::Answered);
    eventScanner_.discardPartialEvent();
    startAttempt(std::move(placement));
    return true;
}

void Exchange::checkPresence(bool isRestKnown)
{
    if (isRelayStarted() && isRelayChunked() && !isRestKnown) {
        // The last chunk would say more than the backend server did. The caller can resume the stream.
        finishAttempt(Outcome::Answered);
        abortResponse(core::ErrorKind::AnswerCut, "the rest of the stream ended without a length or last chunk, and no other backend server was asked");
        return;
    }
    auto self = weak_from_this();
    presence_ = std::make_shared<ServerPresence>(worker_.context(), [self](bool isPresent) {
        const auto exchange = self.lock();
        if (exchange != nullptr && exchange->session_ != nullptr) {
            exchange->onPresence(isPresent);
        }
    });
    presence_->start(inFlight_ != nullptr ? inFlight_->server().address : endedAddress_);
}

void Exchange::onPresence(bool isPresent)
{
    if (isPresent) {
        completeResponse();
    } else if (inFlight_ != nullptr) {
        onResponseError(internal::goneReason);
    } else {
        isEndPending_ = false;
        retryOrFail(isRelayStarted() ? core::ErrorKind::AnswerCut : core::ErrorKind::OutcomeUnknown, internal::goneReason, false);
    }
}

} // namespace cyclamenspool::gateway
