#include <cyclamenspool/gateway/exchange.h>

#include <cyclamenspool/core/runpromise.h>
#include <cyclamenspool/gateway/streamend.h>

#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <charconv>

namespace cyclamenspool::gateway {

namespace bhttp = boost::beast::http;

namespace internal {

constexpr std::size_t maxBufferedBytes = 256UL * 1024; /* a larger response body is streamed */
constexpr std::chrono::milliseconds minAnswerTime{300}; /* a backend server that sends a body for so long has not crashed under its prompt */
constexpr std::size_t maxPendingBytes = 64UL * 1024; /* unwritten response bytes of a slow caller above which reading from the backend server pauses */

constexpr unsigned okStatus = 200;

bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

bool isServerFailure(unsigned status)
{
    return status >= 500;
}

Outcome outcomeOf(unsigned status)
{
    return isServerFailure(status) ? Outcome::Failed : Outcome::Answered;
}

bool hasNoBody(unsigned status)
{
    return status == 204 || status == 304;
}

std::string statusLine(unsigned status)
{
    std::string line = "HTTP/1.1 " + std::to_string(status) + " ";
    line += bhttp::obsolete_reason(static_cast<bhttp::status>(status));
    return line + "\r\n";
}

std::string formatChunk(const std::string &bytes)
{
    constexpr int hexadecimal = 16;
    char size[sizeof(std::size_t) * 2];
    const auto end = std::to_chars(size, size + sizeof(size), bytes.size(), hexadecimal).ptr;
    std::string chunk(size, end);
    chunk.reserve(chunk.size() + bytes.size() + 4);
    chunk += "\r\n";
    chunk += bytes;
    chunk += "\r\n";
    return chunk;
}

} // namespace internal

void Exchange::onResponseHeaders(unsigned status, const platform::Fields &fields, const platform::ResponseHead &head)
{
    inFlight_->onHeadersReceived();
    inFlight_->onStatement(head.statement);
    inFlight_->onLoadReport(head);
    bodyEnd_ = call_->bodyEnd();
    const auto &route = *admission_->route;
    if (head.isNotExecuted) {
        constexpr unsigned misdirectedRequest = 421;
        call_->cancel();
        finishAttempt(status == misdirectedRequest ? Outcome::AddressReused : Outcome::AtCapacity);
        retryOrFail(core::ErrorKind::Overloaded, "the backend server reported that it did not run the request", true);
        return;
    }
    // A success response without a digest, or with a content encoding, is not accepted as the backend server's own.
    const bool isAuthentic = head.hasDigest && !head.isEncoded;
    const bool canRetry = route.isRetryable() && sentAttempts_ < route.maxAttempts;
    const bool isUnusable = internal::isSuccess(status) ? !isAuthentic : (internal::isServerFailure(status) && canRetry);
    const bool isResumed = isRelayStarted();
    // The rest of a stream can only be a stream again: other bodies would end up in the middle of it.
    const bool isContinuation = status == internal::okStatus && head.isEventStream;
    if (isUnusable || (isResumed && !isContinuation)) {
        mayHaveRun_ = true;
        call_->cancel();
        finishAttempt(Outcome::Failed);
        retryOrFail(core::ErrorKind::BackendFailed, "unusable backend response with status " + std::to_string(status), route.isRetryable());
        return;
    }
    if (!core::canRelayStatus(static_cast<int>(status), route.isRetryable())) {
        mayHaveRun_ = true;
        call_->cancel();
        finishAttempt(internal::outcomeOf(status));
        retryOrFail(core::ErrorKind::BackendFailed,
                    "backend response with status " + std::to_string(status) + " without a statement that the request did not run",
                    false);
        return;
    }
    if (isResumed) {
        return;
    }
    releaseBodyIfUnneeded();
    responseStatus_ = status;
    headersReceivedAt_ = std::chrono::steady_clock::now();
    responseHead_ = internal::statusLine(status);
    platform::appendResponseHeaders(responseHead_, fields);
    if (request_.method() == bhttp::verb::head && fields.count(bhttp::field::content_length) > 0) {
        responseHead_ += "Content-Length: " + std::string(fields[bhttp::field::content_length]) + "\r\n";
    }
    responseBody_.clear();
    const bool isStream = route.kind == world::RouteKind::Streaming && internal::isSuccess(status);
    const bool hasBody = request_.method() != bhttp::verb::head && !internal::hasNoBody(status);
    isEventStream_ = isStream && hasBody && head.isEventStream;
    isUnframed_ = hasBody && bodyEnd_ == BodyEnd::ConnectionClose;
    relayMode_ = !isStream ? RelayMode::Buffered : (route.resumable && isEventStream_ ? RelayMode::EventStream : RelayMode::Streamed);
}

bool Exchange::onResponseBody(std::string bytes)
{
    inFlight_->onBytesReceived();
    isEndPending_ = false; /* the stream goes on */
    const auto now = std::chrono::steady_clock::now();
    maxBodyGap_ = std::max(maxBodyGap_, now - std::max(lastBodyAt_, headersReceivedAt_));
    lastBodyAt_ = now;
    firstBodyAt_ = firstBodyAt_ == core::MonotonicTime{} ? now : firstBodyAt_;
    if (internal::isSuccess(responseStatus_) && now - firstBodyAt_ >= internal::minAnswerTime) {
        recordAnswer();
    }
    if (relayMode_ == RelayMode::Buffered) {
        responseBody_ += bytes;
        if (responseBody_.size() > internal::maxBufferedBytes) {
            relayMode_ = RelayMode::Streamed;
            relay(responseBody_);
            responseBody_.clear();
        }
    } else if (relayMode_ == RelayMode::EventStream) {
        const auto events = eventScanner_.append(bytes);
        if (eventScanner_.isOversized()) {
            call_->cancel();
            onResponseError("an event in the response exceeds 256 KiB");
            return true;
        }
        lastEventAt_ = events.empty() ? lastEventAt_ : now;
        relay(events);
    } else {
        relayedBoundary_.advance(bytes);
        relay(bytes);
    }
    isReadingPaused_ = session_ != nullptr && session_->pendingBytes() > internal::maxPendingBytes;
    return !isReadingPaused_;
}

void Exchange::relay(const std::string &bytes)
{
    if (bytes.empty()) {
        return;
    }
    const bool isChunked = isRelayChunked();
    std::string out;
    if (!isHeadWritten_) {
        isHeadWritten_ = true;
        out = responseHead_;
        if (isChunked) {
            out += "Transfer-Encoding: chunked\r\n";
        } else {
            session_->beginUnframedResponse();
        }
        out += session_->decideKeepAlive() ? "\r\n" : "Connection: close\r\n\r\n";
    }
    out += isChunked ? internal::formatChunk(bytes) : bytes;
    session_->write(std::move(out));
}

bool Exchange::isInsideEvent() const noexcept
{
    return relayMode_ == RelayMode::EventStream ? !eventScanner_.partialEvent().empty() : relayedBoundary_.isInsideEvent();
}

const char *Exchange::streamIncompleteReason() const noexcept
{
    if (!isEventStream_) {
        return nullptr;
    }
    return incompleteReason({bodyEnd_, isInsideEvent(), isRelayStarted(), !requestHead_.lastEventId.empty()});
}

void Exchange::completeResponse()
{
    if (internal::isSuccess(responseStatus_)) {
        recordAnswer();
    }
    finishAttempt(internal::outcomeOf(responseStatus_));
    if (relayMode_ == RelayMode::Buffered) {
        sendBuffered();
    } else {
        finishStream();
    }
}

void Exchange::sendBuffered()
{
    std::string out = responseHead_;
    const bool isHeadRequest = request_.method() == bhttp::verb::head;
    if (isUnframed_) {
        session_->beginUnframedResponse();
    } else if (!isHeadRequest && !internal::hasNoBody(responseStatus_)) {
        out += "Content-Length: " + std::to_string(responseBody_.size()) + "\r\n";
    }
    out += session_->decideKeepAlive() ? "\r\n" : "Connection: close\r\n\r\n";
    if (!isHeadRequest) {
        out += responseBody_;
    }
    session_->write(std::move(out));
    finish(answeredOutcome, std::to_string(responseStatus_));
}

void Exchange::finishStream()
{
    if (!isHeadWritten_) {
        relayMode_ = RelayMode::Buffered;
        sendBuffered();
        return;
    }
    if (isRelayChunked()) {
        session_->write("0\r\n\r\n");
    }
    finish(answeredOutcome, std::to_string(responseStatus_));
}

} // namespace cyclamenspool::gateway
