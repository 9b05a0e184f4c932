#include <cyclamenspool/gateway/callersession.h>

#include <cyclamenspool/gateway/exchange.h>
#include <cyclamenspool/gateway/refusal.h>
#include <cyclamenspool/wire/liveness.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace cyclamenspool::gateway {

namespace asio = boost::asio;
namespace bhttp = boost::beast::http;

namespace internal {

constexpr std::size_t readBytes = 8UL * 1024;
constexpr std::size_t aheadBytes = 64UL * 1024; /* of later requests while one is under way */
constexpr std::chrono::milliseconds lingerTime{1000};
constexpr std::chrono::milliseconds writeTimeout{15000};
constexpr wire::Liveness callerLiveness{std::chrono::milliseconds(10000), std::chrono::seconds(3), 3};

core::ErrorKind kindOf(const boost::system::error_code &error)
{
    if (error == bhttp::error::body_limit) {
        return core::ErrorKind::BodyTooLarge;
    }
    return error == bhttp::error::header_limit ? core::ErrorKind::HeadersTooLarge : core::ErrorKind::BadRequest;
}

world::CallerLimits limitsOf(Worker &worker)
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
    worker_.onSession(*this, true);
}

CallerSession::~CallerSession()
{
    worker_.onSession(*this, false);
}

void CallerSession::start()
{
    wire::setLiveness(socket_, internal::callerLiveness);
    limit_ = std::chrono::steady_clock::now() + internal::limitsOf(worker_).idleTimeout;
    watch();
    read();
}

bool CallerSession::keepsAlive() const noexcept
{
    return keepAlive_ && !worker_.isDraining();
}

void CallerSession::read()
{
    if (isReading_ || isClosed_ || in_.size() > internal::aheadBytes + internal::limitsOf(worker_).headerBytes) {
        return;
    }
    isReading_ = true;
    auto self = shared_from_this();
    socket_.async_read_some(in_.prepare(internal::readBytes), [self](const boost::system::error_code &error, std::size_t count) {
        self->isReading_ = false;
        self->onRead(error, count);
    });
}

void CallerSession::onRead(const boost::system::error_code &error, std::size_t count)
{
    if (isClosed_) {
        return;
    }
    if (error) {
        loseCaller();
        return;
    }
    if (isLingering_) {
        read();
        return;
    }
    in_.commit(count);
    advance();
    read();
}

void CallerSession::advance()
{
    while (exchange_ == nullptr && !isClosed_ && !closeAfterWrite_ && in_.size() > 0) {
        if (!parse()) {
            return;
        }
    }
}

bool CallerSession::parse()
{
    const auto limits = internal::limitsOf(worker_);
    if (!parser_) {
        parser_.emplace();
        parser_->eager(true);
        parser_->header_limit(limits.headerBytes);
        parser_->body_limit(limits.bodyBytes);
        isHeadSeen_ = false;
        firstByte_ = std::chrono::steady_clock::now();
        waitUntil(firstByte_ + limits.headerTimeout);
    }
    boost::system::error_code error;
    const auto used = parser_->put(in_.data(), error);
    in_.consume(used);
    if (error && error != bhttp::error::need_more) {
        refuseUnread(internal::kindOf(error), error.message());
        return false;
    }
    if (parser_->is_header_done() && !isHeadSeen_) {
        isHeadSeen_ = true;
        onHeadParsed();
    }
    if (closeAfterWrite_) {
        return false;
    }
    if (parser_->is_done()) {
        onRequest();
        return true;
    }
    if (isHeadSeen_) {
        waitUntil(std::chrono::steady_clock::now() + limits.idleTimeout);
    }
    return used > 0;
}

void CallerSession::onHeadParsed()
{
    const auto &request = parser_->get();
    const auto encoding = request[bhttp::field::transfer_encoding];
    // Any other coding leaves open where the body ends.
    if (!encoding.empty() && !boost::beast::iequals(encoding, "chunked")) {
        refuseUnread(core::ErrorKind::BadRequest, "header Transfer-Encoding must be chunked");
        return;
    }
    const bool isAsked = boost::beast::iequals(request[bhttp::field::expect], "100-continue");
    if (isAsked && !parser_->is_done()) {
        write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void CallerSession::onRequest()
{
    auto request = parser_->release();
    parser_.reset();
    keepAlive_ = request.keep_alive();
    limit_ = core::MonotonicTime::max();
    exchange_ = std::make_shared<Exchange>(worker_, *this, std::move(request), firstByte_);
    // The exchange may end at once and take the session's reference with it.
    const auto exchange = exchange_;
    exchange->start();
}

void CallerSession::refuseUnread(core::ErrorKind kind, const std::string &detail)
{
    keepAlive_ = false;
    worker_.dispatcher().onRefusal(kind);
    write(formatRefusal({"", kind, detail, std::chrono::milliseconds(0), false, false}));
    closeAfterWrite_ = true;
}

void CallerSession::write(std::string bytes)
{
    if (isClosed_) {
        return;
    }
    if (out_.empty()) {
        out_ = std::move(bytes);
    } else {
        out_ += bytes;
    }
    flush();
}

void CallerSession::flush()
{
    if (!writing_.empty() || out_.empty()) {
        return;
    }
    writing_.swap(out_);
    auto self = shared_from_this();
    asio::async_write(socket_, asio::buffer(writing_), [self](const boost::system::error_code &error, std::size_t) {
        self->onWritten(error);
    });
}

void CallerSession::onWritten(const boost::system::error_code &error)
{
    writing_.clear();
    if (isClosed_) {
        return;
    }
    if (error) {
        loseCaller();
        return;
    }
    if (!out_.empty()) {
        flush();
        return;
    }
    if (closeAfterWrite_) {
        linger();
    } else if (exchange_ != nullptr) {
        const auto exchange = exchange_;
        exchange->onCallerReady();
    }
}

void CallerSession::endAnswer()
{
    exchange_.reset();
    if (!keepsAlive()) {
        closeAfterWrite_ = true;
        if (waitingBytes() == 0) {
            linger();
        }
        return;
    }
    waitUntil(std::chrono::steady_clock::now() + internal::limitsOf(worker_).idleTimeout);
    auto self = shared_from_this();
    asio::post(worker_.context(), [self] {
        self->advance();
        self->read();
    });
}

void CallerSession::abort()
{
    exchange_.reset();
    close();
}

void CallerSession::closeIfIdle()
{
    const bool isIdle = exchange_ == nullptr && !parser_ && waitingBytes() == 0 && in_.size() == 0;
    // Nothing more is read: a request that crosses this close has not been taken, and its caller may send it again.
    if (isIdle && !isLingering_) {
        close();
    }
}

void CallerSession::linger()
{
    // A close with unread bytes would reset the connection and lose the answer.
    isLingering_ = true;
    boost::system::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    in_.clear();
    waitUntil(std::chrono::steady_clock::now() + internal::lingerTime);
    read();
}

void CallerSession::loseCaller()
{
    if (exchange_ != nullptr) {
        exchange_->onCallerGone();
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

void CallerSession::waitUntil(core::MonotonicTime time)
{
    const bool isSooner = time < limit_;
    limit_ = time;
    if (isSooner || !isTimerSet_) {
        timer_.cancel();
        watch();
    }
}

void CallerSession::watch()
{
    isTimerSet_ = true;
    const auto latest = std::chrono::steady_clock::now() + internal::writeTimeout;
    timer_.expires_at(std::min(limit_, latest));
    auto self = weak_from_this();
    timer_.async_wait([self](const boost::system::error_code &error) {
        const auto session = self.lock();
        if (error || session == nullptr || session->isClosed_) {
            return;
        }
        if (std::chrono::steady_clock::now() < session->limit_) {
            session->watch();
        } else {
            session->onTimeout();
        }
    });
}

void CallerSession::onTimeout()
{
    isTimerSet_ = false;
    if (parser_ && !isLingering_ && !closeAfterWrite_) {
        refuseUnread(core::ErrorKind::SlowCaller, isHeadSeen_ ? "the body did not arrive in time" : "the head did not arrive in time");
        return;
    }
    close();
}

} // namespace cyclamenspool::gateway
