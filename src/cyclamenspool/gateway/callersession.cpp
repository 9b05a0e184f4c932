#include <cyclamenspool/gateway/callersession.h>

#include <cyclamenspool/gateway/exchange.h>
#include <cyclamenspool/gateway/refusal.h>
#include <cyclamenspool/telemetry/log.h>
#include <cyclamenspool/wire/socketstate.h>
#include <cyclamenspool/wire/tcpkeepalive.h>

#include <boost/asio/post.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace cyclamenspool::gateway {

namespace asio = boost::asio;
namespace bhttp = boost::beast::http;

namespace internal {

constexpr std::size_t readSize = 8UL * 1024;
constexpr std::size_t maxPipelinedBytes = 64UL * 1024; /* read while an earlier request is in progress, in addition to the header limit */
constexpr std::chrono::milliseconds assumedCallerTimeout{1000}; /* for the retry delay of a request whose headers are not decoded yet */
constexpr std::chrono::milliseconds lingerTime{1000}; /* for the caller to close, and between checks whether it has received the response */
constexpr std::chrono::milliseconds nextRequestTime{200}; /* for a request that follows at once on a response; mostly a round trip */
constexpr std::chrono::milliseconds maxTimerInterval{15000}; /* longest wait of the timer before it compares the clock with timeoutAt_ */
constexpr wire::TcpKeepAlive callerKeepAlive{std::chrono::milliseconds(10000), std::chrono::seconds(3), 3};

core::ErrorKind errorKindOf(const boost::system::error_code &error)
{
    if (error == bhttp::error::body_limit) {
        return core::ErrorKind::BodyTooLarge;
    }
    return error == bhttp::error::header_limit ? core::ErrorKind::HeadersTooLarge : core::ErrorKind::BadRequest;
}

world::CallerLimits callerLimits(Worker &worker)
{
    const auto table = worker.dispatcher().routes();
    return table == nullptr ? world::CallerLimits() : table->routing().limits;
}

} // namespace internal

CallerSession::CallerSession(Worker &worker, asio::ip::tcp::socket socket)
    : worker_(worker)
    , socket_(std::move(socket))
    , timer_(worker.context())
{
    worker_.countSession();
}

CallerSession::~CallerSession()
{
    worker_.removeSession(*this);
}

void CallerSession::start()
{
    worker_.addSession(*this);
    boost::system::error_code ignored;
    socket_.non_blocking(true, ignored);
    wire::setTcpKeepAlive(socket_, internal::callerKeepAlive);
    timeoutAt_ = std::chrono::steady_clock::now() + internal::callerLimits(worker_).idleTimeout;
    armTimer();
    waitForBytes();
}

bool CallerSession::decideKeepAlive()
{
    keepAlive_ = keepAlive_ && (!worker_.isDraining() || readBuffer_.size() > 0);
    return keepAlive_;
}

void CallerSession::waitForBytes()
{
    if (isWaitingForBytes_ || isClosed_ || readBuffer_.size() > internal::maxPipelinedBytes + internal::callerLimits(worker_).headerBytes) {
        return;
    }
    isWaitingForBytes_ = true;
    auto self = shared_from_this();
    // An asynchronous read would take the bytes from the socket before its handler runs; a close in between would lose them without an answer.
    socket_.async_wait(asio::ip::tcp::socket::wait_read, [self](const boost::system::error_code &error) {
        self->isWaitingForBytes_ = false;
        if (error && !self->isClosed_) {
            self->onDisconnected();
        } else if (!self->isClosed_) {
            self->onReadable();
        }
    });
}

void CallerSession::onReadable()
{
    if (closeAfterWrite_) {
        discard();
    } else {
        read();
    }
}

void CallerSession::read()
{
    boost::system::error_code error;
    const auto count = socket_.read_some(readBuffer_.prepare(internal::readSize), error);
    if (error && error != asio::error::would_block) {
        onDisconnected();
        return;
    }
    readBuffer_.commit(count);
    processBuffered();
    waitForBytes();
}

void CallerSession::discard()
{
    if (!parser_) {
        // A further request stays unread: closing then resets the connection, and the caller can repeat the request.
        if (wire::isClosedByPeer(socket_)) {
            onDisconnected();
        }
        return;
    }
    boost::system::error_code error;
    socket_.read_some(readBuffer_.prepare(internal::readSize), error);
    if (error && error != asio::error::would_block) {
        onDisconnected();
    } else {
        waitForBytes();
    }
}

void CallerSession::processBuffered()
{
    while (exchange_ == nullptr && !isClosed_ && !closeAfterWrite_ && readBuffer_.size() > 0) {
        if (!parse()) {
            return;
        }
    }
}

bool CallerSession::parse()
{
    const auto limits = internal::callerLimits(worker_);
    if (!parser_) {
        parser_.emplace();
        parser_->eager(true);
        parser_->header_limit(limits.headerBytes);
        parser_->body_limit(limits.bodyBytes);
        areHeadersParsed_ = false;
        bodyMemory_ = worker_.dispatcher().bodyMemory().begin();
        requestStart_ = std::chrono::steady_clock::now();
        setTimeout(requestStart_ + limits.headerTimeout);
    }
    boost::system::error_code error;
    const auto used = parser_->put(readBuffer_.data(), error);
    readBuffer_.consume(used);
    if (error && error != bhttp::error::need_more) {
        refuseIncomplete(internal::errorKindOf(error), error.message());
        return false;
    }
    if (parser_->is_header_done() && !areHeadersParsed_) {
        areHeadersParsed_ = true;
        onHeaders();
    }
    if (closeAfterWrite_ || !reserveBody()) {
        return false;
    }
    if (parser_->is_done()) {
        onRequest();
        return true;
    }
    if (worker_.timeUntilRequestsEnd() <= core::MonotonicTime::duration::zero()) {
        refuseForShutdown();
        return false;
    }
    if (areHeadersParsed_) {
        setTimeout(std::chrono::steady_clock::now() + limits.idleTimeout);
    }
    return used > 0;
}

void CallerSession::onHeaders()
{
    const auto &request = parser_->get();
    const auto encoding = request[bhttp::field::transfer_encoding];
    // The end of the body is unknown with any other transfer coding.
    if (!encoding.empty() && !boost::beast::iequals(encoding, "chunked")) {
        refuseIncomplete(core::ErrorKind::BadRequest, "header Transfer-Encoding must be chunked");
        return;
    }
    if (!reserveBody()) {
        return;
    }
    const bool expectsContinue = boost::beast::iequals(request[bhttp::field::expect], "100-continue");
    if (expectsContinue && !parser_->is_done()) {
        write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

bool CallerSession::reserveBody()
{
    const auto length = areHeadersParsed_ ? parser_->content_length().value_or(0) : 0;
    if (bodyMemory_.extend(std::max<std::uint64_t>(length, parser_->get().body().size()))) {
        return true;
    }
    const auto kind = core::ErrorKind::Overloaded;
    refuseIncomplete(kind,
                     "the bodies of other requests take the memory for this one",
                     chooseRetryAfter(kind, internal::assumedCallerTimeout, worker_.random(), std::chrono::milliseconds(0)));
    return false;
}

void CallerSession::onRequest()
{
    auto request = parser_->release();
    parser_.reset();
    worker_.tally().taken++;
    lastRequestId_ = platform::readRequestId(request.base());
    keepAlive_ = request.keep_alive();
    timeoutAt_ = core::MonotonicTime::max();
    exchange_ = std::make_shared<Exchange>(worker_, *this, std::move(request), std::move(bodyMemory_), requestStart_);
    // The exchange may end within start() and reset exchange_; this reference keeps it alive until start() returns.
    const auto exchange = exchange_;
    exchange->start();
}

void CallerSession::refuseIncomplete(core::ErrorKind kind, const std::string &detail, std::chrono::milliseconds retryAfter)
{
    keepAlive_ = false;
    worker_.dispatcher().countRefusal(kind);
    const auto &request = parser_->get();
    const bool isHeadRequest = request.method() == bhttp::verb::head;
    write(formatRefusal({platform::readRequestId(request.base()), kind, detail, retryAfter, false, isHeadRequest}));
    std::string().swap(parser_->get().body());
    bodyMemory_ = {};
    closeAfterWrite_ = true;
    expectProgress();
}

void CallerSession::write(std::string bytes)
{
    if (isClosed_) {
        return;
    }
    if (queuedBytes_.empty()) {
        queuedBytes_ = std::move(bytes);
    } else {
        queuedBytes_ += bytes;
    }
    startWrite();
}

void CallerSession::startWrite()
{
    if (!bytesInWrite_.empty() || queuedBytes_.empty()) {
        return;
    }
    bytesInWrite_.swap(queuedBytes_);
    writeSome();
}

void CallerSession::writeSome()
{
    auto self = shared_from_this();
    const auto unwritten = asio::buffer(bytesInWrite_) + writtenBytes_;
    socket_.async_write_some(unwritten, [self](const boost::system::error_code &error, std::size_t count) {
        self->onWritten(error, count);
    });
}

void CallerSession::expectProgress()
{
    setTimeout(std::chrono::steady_clock::now() + internal::callerLimits(worker_).idleTimeout);
}

void CallerSession::onWritten(const boost::system::error_code &error, std::size_t count)
{
    writtenBytes_ += count;
    const bool isComplete = writtenBytes_ == bytesInWrite_.size();
    if (error || isComplete) {
        bytesInWrite_.clear();
        writtenBytes_ = 0;
    }
    if (isClosed_) {
        return;
    }
    if (error) {
        onDisconnected();
        return;
    }
    lastWriteAt_ = std::chrono::steady_clock::now();
    if (exchange_ == nullptr && (!parser_ || closeAfterWrite_)) {
        expectProgress(); /* a slow caller gets the rest of the response as long as it reads */
    }
    if (!isComplete) {
        writeSome();
        return;
    }
    if (!queuedBytes_.empty()) {
        startWrite();
        return;
    }
    if (closeAfterWrite_) {
        linger();
    } else if (exchange_ != nullptr) {
        const auto exchange = exchange_;
        exchange->onCallerWritesDrained();
    }
}

void CallerSession::finishResponse()
{
    exchange_.reset();
    if (!keepAlive_) {
        closeAfterWrite_ = true;
        expectProgress();
        if (pendingBytes() == 0) {
            linger();
        }
        return;
    }
    expectProgress();
    auto self = shared_from_this();
    asio::post(worker_.context(), [self] {
        self->processBuffered();
        self->waitForBytes();
    });
}

void CallerSession::abort()
{
    exchange_.reset();
    close();
}

void CallerSession::endRequest()
{
    if (exchange_ != nullptr) {
        const auto exchange = exchange_;
        exchange->onShutdown();
    } else if (parser_ && !closeAfterWrite_ && !isClosed_) {
        refuseForShutdown();
    }
}

void CallerSession::refuseForShutdown()
{
    refuseIncomplete(core::ErrorKind::ShuttingDown, "the gateway shut down before the request was complete");
}

bool CallerSession::hasCallerLeft()
{
    return isClosed_ || wire::isClosedByPeer(socket_);
}

bool CallerSession::isIdle()
{
    boost::system::error_code ignored;
    const bool isUnread = socket_.available(ignored) > 0;
    return exchange_ == nullptr && !parser_ && pendingBytes() == 0 && readBuffer_.size() == 0 && !isUnread;
}

void CallerSession::closeIfIdle()
{
    // A request that arrives while the connection is being closed is never read, so its caller can safely retry it. The reset that answers it would
    // discard what the caller has not acknowledged of the last response.
    const bool isAwaitingRequest = std::chrono::steady_clock::now() < lastWriteAt_ + internal::nextRequestTime;
    if (!isLingering_ && !isClosed_ && !isAwaitingRequest && isIdle() && wire::unacknowledgedBytes(socket_) == 0) {
        close();
    }
}

void CallerSession::reportCut()
{
    if (!isClosed_ && pendingBytes() > 0) {
        worker_.tally().cut++;
        telemetry::logRateLimited("response_cut", {{"request", lastRequestId_}, {"unwritten_bytes", pendingBytes()}});
    }
}

void CallerSession::beginUnframedResponse()
{
    keepAlive_ = false;
    setResetOnClose(true);
}

void CallerSession::setResetOnClose(bool isReset)
{
    // The kernel keeps the option if the process is killed.
    boost::system::error_code ignored;
    socket_.set_option(asio::socket_base::linger(isReset, 0), ignored);
}

void CallerSession::linger()
{
    // Closing a socket with unread bytes sends a reset, and the caller could lose the response.
    isLingering_ = true;
    setResetOnClose(false);
    boost::system::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    setTimeout(std::chrono::steady_clock::now() + internal::lingerTime);
    static_cast<void>(isResponseOnItsWay()); /* its progress is measured from here */
    waitForBytes();
}

bool CallerSession::isResponseOnItsWay()
{
    return delivery_.isPending(wire::unacknowledgedBytes(socket_), std::chrono::steady_clock::now(), internal::callerLimits(worker_).idleTimeout);
}

void CallerSession::onDisconnected()
{
    if (const auto exchange = std::exchange(exchange_, nullptr)) {
        exchange->onCallerDisconnected();
    }
    close();
}

void CallerSession::close()
{
    isClosed_ = true;
    timer_.cancel();
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void CallerSession::setTimeout(core::MonotonicTime time)
{
    const bool isEarlier = time < timeoutAt_;
    timeoutAt_ = time;
    if (isEarlier || !isTimerArmed_) {
        timer_.cancel();
        armTimer();
    }
}

void CallerSession::armTimer()
{
    isTimerArmed_ = true;
    const auto nextCheck = std::chrono::steady_clock::now() + internal::maxTimerInterval;
    timer_.expires_at(std::min(timeoutAt_, nextCheck));
    // Keeps the session until it is closed; it may neither read nor write meanwhile.
    auto self = shared_from_this();
    timer_.async_wait([self](const boost::system::error_code &error) {
        if (error || self->isClosed_) {
            return;
        }
        if (std::chrono::steady_clock::now() < self->timeoutAt_) {
            self->armTimer();
        } else {
            self->onTimeout();
        }
    });
}

void CallerSession::onTimeout()
{
    isTimerArmed_ = false;
    if (parser_ && !isLingering_ && !closeAfterWrite_) {
        refuseIncomplete(core::ErrorKind::SlowCaller,
                         areHeadersParsed_ ? "no bytes of the request body arrived within the idle timeout"
                                           : "the request headers were incomplete at the header timeout");
        return;
    }
    if (exchange_ == nullptr && !closeAfterWrite_ && pendingBytes() == 0 && !isIdle()) {
        expectProgress(); /* a request has arrived, and the event loop is late */
        return;
    }
    if (isLingering_ && isResponseOnItsWay()) {
        setTimeout(std::chrono::steady_clock::now() + internal::lingerTime);
        return;
    }
    reportCut();
    close();
}

} // namespace cyclamenspool::gateway
