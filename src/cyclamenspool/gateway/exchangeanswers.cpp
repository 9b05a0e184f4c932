#include <cyclamenspool/gateway/exchange.h>

#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <charconv>

namespace cyclamenspool::gateway {

namespace bhttp = boost::beast::http;

namespace internal {

constexpr std::size_t wholeBytes = 256UL * 1024; /* a larger answer is passed on as it comes */
constexpr std::size_t waitingBytes = 64UL * 1024; /* that a slow caller may have waiting before reading pauses */

bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

bool isServerFailure(unsigned status)
{
    return status >= 500;
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

std::string chunkOf(const std::string &bytes)
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

void Exchange::onAnswerHead(unsigned status, const platform::Fields &fields, const platform::AnswerHead &head)
{
    ticket_->begun();
    const auto &route = *admission_->route;
    if (head.notRun) {
        constexpr unsigned misdirected = 421;
        call_->cancel();
        finishAttempt(status == misdirected ? Outcome::Elsewhere : Outcome::Full);
        retryOrFail(core::ErrorKind::Overloaded, "the backend server did not run it", true);
        return;
    }
    const bool isOwnBody = head.sealed && !head.encoded;
    const bool mayTryAgain = route.mayRepeat() && sent_ < route.maxAttempts;
    const bool isBad = internal::isSuccess(status) ? !isOwnBody : (internal::isServerFailure(status) && mayTryAgain);
    const bool isResumed = isAnswerBegun();
    if (isBad || (isResumed && !internal::isSuccess(status))) {
        mayHaveRun_ = true;
        call_->cancel();
        finishAttempt(Outcome::Failed);
        retryOrFail(core::ErrorKind::BackendFailed, "answer with status " + std::to_string(status), route.mayRepeat());
        return;
    }
    if (isResumed) {
        return;
    }
    status_ = status;
    headCame_ = std::chrono::steady_clock::now();
    answerHead_ = internal::statusLine(status);
    platform::appendAnswered(answerHead_, fields);
    if (request_.method() == bhttp::verb::head && fields.count(bhttp::field::content_length) > 0) {
        answerHead_ += "Content-Length: " + std::string(fields[bhttp::field::content_length]) + "\r\n";
    }
    body_.clear();
    const bool isStream = route.kind == world::RouteKind::Streaming && internal::isSuccess(status);
    mode_ = !isStream ? Mode::Whole : (route.resumable ? Mode::Events : Mode::Stream);
}

bool Exchange::onAnswerBody(std::string bytes)
{
    ticket_->heard();
    const auto now = std::chrono::steady_clock::now();
    longestPause_ = std::max(longestPause_, now - std::max(lastBody_, headCame_));
    lastBody_ = now;
    if (mode_ == Mode::Whole) {
        body_ += bytes;
        if (body_.size() > internal::wholeBytes) {
            mode_ = Mode::Stream;
            relay(body_);
            body_.clear();
        }
    } else if (mode_ == Mode::Events) {
        relay(scanner_.take(bytes));
    } else {
        relay(bytes);
    }
    isReadingPaused_ = session_ != nullptr && session_->waitingBytes() > internal::waitingBytes;
    return !isReadingPaused_;
}

void Exchange::relay(const std::string &bytes)
{
    if (bytes.empty()) {
        return;
    }
    const bool isChunked = request_.version() >= 11;
    std::string out;
    if (!headWritten_) {
        headWritten_ = true;
        out = answerHead_;
        if (isChunked) {
            out += "Transfer-Encoding: chunked\r\n";
        }
        out += session_->keepsAlive() && isChunked ? "\r\n" : "Connection: close\r\n\r\n";
    }
    out += isChunked ? internal::chunkOf(bytes) : bytes;
    session_->write(std::move(out));
}

void Exchange::onAnswerEnd()
{
    finishAttempt(internal::isServerFailure(status_) ? Outcome::Failed : Outcome::Answered);
    if (mode_ == Mode::Whole) {
        sendWhole();
    } else {
        endStream();
    }
}

void Exchange::sendWhole()
{
    std::string out = answerHead_;
    const bool isHead = request_.method() == bhttp::verb::head;
    if (!isHead && !internal::hasNoBody(status_)) {
        out += "Content-Length: " + std::to_string(body_.size()) + "\r\n";
    }
    out += session_->keepsAlive() ? "\r\n" : "Connection: close\r\n\r\n";
    if (!isHead) {
        out += body_;
    }
    session_->write(std::move(out));
    finish(answeredOutcome, std::to_string(status_));
}

void Exchange::endStream()
{
    relay(scanner_.rest());
    if (!headWritten_) {
        mode_ = Mode::Whole;
        sendWhole();
        return;
    }
    if (request_.version() >= 11) {
        session_->write("0\r\n\r\n");
    }
    finish(answeredOutcome, std::to_string(status_));
}

} // namespace cyclamenspool::gateway
