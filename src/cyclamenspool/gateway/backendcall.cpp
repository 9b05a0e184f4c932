#include <cyclamenspool/gateway/backendcall.h>

#include <cyclamenspool/wire/endpoint.h>
#include <cyclamenspool/wire/liveness.h>

#include <boost/asio/write.hpp>

namespace cyclamenspool::gateway {

namespace asio = boost::asio;
namespace bhttp = boost::beast::http;

namespace internal {

constexpr std::chrono::milliseconds connectTimeout{200}; /* several round trips between zones */
constexpr std::size_t readBytes = 16UL * 1024;
constexpr std::chrono::milliseconds defaultIdleTimeout{4000};
constexpr double idleMargin = 0.7; /* of the time after which the backend server closes an idle connection */
constexpr wire::Liveness backendLiveness{std::chrono::milliseconds(2500), std::chrono::seconds(1), 2};
constexpr unsigned firstFinalStatus = 200;

} // namespace internal

BackendCall::BackendCall(BackendPool &pool, BackendRequest request, BackendEvents &events)
    : pool_(pool)
    , request_(std::move(request))
    , events_(&events)
    , socket_(pool.context())
    , connectTimer_(pool.context())
{
}

void BackendCall::start()
{
    if (request_.longestIdle.count() > 0) {
        auto idle = pool_.take(request_.server, request_.longestIdle);
        if (idle) {
            socket_ = std::move(*idle);
            send();
            return;
        }
    }
    connect();
}

void BackendCall::connect()
{
    auto self = shared_from_this();
    connectTimer_.expires_after(internal::connectTimeout);
    connectTimer_.async_wait([self](const boost::system::error_code &error) {
        if (!error) {
            boost::system::error_code ignored;
            self->socket_.close(ignored);
        }
    });
    socket_.async_connect(wire::endpointOf(request_.address), [self](const boost::system::error_code &error) {
        self->connectTimer_.cancel();
        if (self->events_ == nullptr) {
            return;
        }
        if (error) {
            auto *events = std::exchange(self->events_, nullptr);
            events->onUnreachable(error.message());
            return;
        }
        wire::setLiveness(self->socket_, internal::backendLiveness);
        self->send();
    });
}

void BackendCall::send()
{
    startParser();
    read();
    auto self = shared_from_this();
    asio::async_write(socket_, asio::buffer(request_.bytes), [self](const boost::system::error_code &error, std::size_t) {
        // A failed write is told by the read, which may still find an early answer.
        self->isWritten_ = !error;
    });
}

void BackendCall::startParser()
{
    parser_.emplace();
    parser_->eager(true);
    parser_->body_limit(boost::none);
    parser_->skip(request_.isHead);
    isHeadTold_ = false;
    isStray_ = false;
}

void BackendCall::read()
{
    if (isReading_ || isPaused_ || events_ == nullptr) {
        return;
    }
    isReading_ = true;
    auto self = shared_from_this();
    socket_.async_read_some(buffer_.prepare(internal::readBytes), [self](const boost::system::error_code &error, std::size_t count) {
        self->isReading_ = false;
        self->onRead(error, count);
    });
}

void BackendCall::onRead(const boost::system::error_code &error, std::size_t count)
{
    if (events_ == nullptr) {
        return;
    }
    if (error) {
        onEndOfStream(error);
        return;
    }
    buffer_.commit(count);
    parse();
}

void BackendCall::parse()
{
    while (events_ != nullptr && buffer_.size() > 0 && !parser_->is_done()) {
        boost::system::error_code error;
        const auto used = parser_->put(buffer_.data(), error);
        buffer_.consume(used);
        if (error && error != bhttp::error::need_more) {
            fail("the bytes are no answer: " + error.message());
            return;
        }
        if (!parseHead()) {
            return;
        }
        if (parser_->is_done()) {
            onParsedEnd();
        } else if (used == 0) {
            break;
        }
    }
    if (events_ != nullptr) {
        deliverBody();
    }
    read();
}

bool BackendCall::parseHead()
{
    if (isHeadTold_ || !parser_->is_header_done()) {
        return true;
    }
    isHeadTold_ = true;
    const auto &response = parser_->get();
    const auto head = platform::readAnswerHead(response.result_int(), response.base());
    idleTimeout_ = head.idleTimeout;
    const bool isInterim = response.result_int() < internal::firstFinalStatus;
    isStray_ = isInterim || (!head.requestId.empty() && head.requestId != request_.requestId);
    strayEnded_ = strayEnded_ || (isStray_ && !isInterim);
    if (!isStray_) {
        events_->onAnswerHead(response.result_int(), response.base(), head);
    }
    return events_ != nullptr;
}

void BackendCall::deliverBody()
{
    auto &body = parser_->get().body();
    if (body.empty()) {
        return;
    }
    std::string bytes;
    bytes.swap(body);
    if (!isStray_ && !events_->onAnswerBody(std::move(bytes))) {
        isPaused_ = true;
    }
}

void BackendCall::onParsedEnd()
{
    if (isStray_) {
        startParser();
        return;
    }
    deliverBody();
    if (events_ != nullptr) {
        finish();
    }
}

void BackendCall::onEndOfStream(const boost::system::error_code &error)
{
    if (error == asio::error::eof && parser_->is_header_done() && !isStray_) {
        boost::system::error_code parseError;
        parser_->put_eof(parseError);
        if (!parseError && parser_->is_done()) {
            strayEnded_ = true;
            finish();
            return;
        }
    }
    fail("the connection ended: " + error.message());
}

void BackendCall::finish()
{
    // Bytes after a whole answer belong to no request.
    const bool isReusable = isWritten_ && !strayEnded_ && buffer_.size() == 0 && parser_->get().keep_alive();
    auto *events = std::exchange(events_, nullptr);
    if (isReusable) {
        const auto timeout = idleTimeout_ ? std::chrono::milliseconds(*idleTimeout_) : internal::defaultIdleTimeout;
        const auto kept = std::chrono::duration_cast<std::chrono::milliseconds>(timeout * internal::idleMargin);
        pool_.keep(request_.server, std::move(socket_), kept);
    } else {
        boost::system::error_code ignored;
        socket_.close(ignored);
    }
    events->onAnswerEnd();
}

void BackendCall::fail(const std::string &reason)
{
    auto *events = std::exchange(events_, nullptr);
    boost::system::error_code ignored;
    socket_.close(ignored);
    events->onBroken(reason);
}

void BackendCall::resume()
{
    isPaused_ = false;
    read();
}

void BackendCall::cancel()
{
    events_ = nullptr;
    connectTimer_.cancel();
    boost::system::error_code ignored;
    socket_.close(ignored);
}

} // namespace cyclamenspool::gateway
