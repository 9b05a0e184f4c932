#include <cyclamenspool/gateway/backendcall.h>

#include <cyclamenspool/http/headcheck.h>
#include <cyclamenspool/http/messageend.h>
#include <cyclamenspool/wire/endpoint.h>
#include <cyclamenspool/wire/socketstate.h>
#include <cyclamenspool/wire/tcpkeepalive.h>

#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>

#include <array>

namespace cyclamenspool::gateway {

namespace asio = boost::asio;
namespace bhttp = boost::beast::http;

namespace internal {

constexpr std::size_t readSize = 16UL * 1024;
constexpr std::chrono::milliseconds defaultIdleTimeout{4000}; /* if the response does not announce one */
constexpr double idleFraction = 0.7; /* of the backend server's idle timeout, so that a connection is not reused just as the server closes it */
constexpr wire::TcpKeepAlive backendKeepAlive{std::chrono::milliseconds(2500), std::chrono::seconds(1), 2};
constexpr std::chrono::milliseconds deliveryCheckPeriod{100};
constexpr std::size_t maxWriteBytes = 64UL * 1024;
constexpr std::size_t maxDiscardedBytes = 256UL * 1024; /* of responses before the request's own one; beyond it they may never end */
constexpr std::size_t maxUnparsedBytes = 64UL * 1024; /* of one header or chunk header */
constexpr unsigned minFinalStatus = 200; /* lower codes are interim responses */

BodyEnd bodyEndOf(const bhttp::response_parser<bhttp::string_body> &parser)
{
    if (parser.chunked()) {
        return BodyEnd::LastChunk;
    }
    return parser.need_eof() ? BodyEnd::ConnectionClose : BodyEnd::Length;
}

} // namespace internal

const char *nameOf(BodyEnd end) noexcept
{
    switch (end) {
    case BodyEnd::Length:
        return "length";
    case BodyEnd::LastChunk:
        return "chunked";
    case BodyEnd::ConnectionClose:
        return "connection_close";
    case BodyEnd::None:
        break;
    }
    return "none";
}

BackendCall::BackendCall(BackendConnectionPool &connectionPool, BackendRequest request, BackendCallHandler &handler)
    : connectionPool_(connectionPool)
    , request_(std::move(request))
    , handler_(&handler)
    , socket_(connectionPool.context())
    , connectTimer_(connectionPool.context())
    , deliveryTimer_(connectionPool.context())
{
}

void BackendCall::start()
{
    if (request_.maxIdleTime.count() > 0) {
        auto connection = connectionPool_.acquire(request_.serverId, request_.maxIdleTime);
        if (connection) {
            socket_ = std::move(*connection);
            isConnectionReused_ = true;
            send();
            return;
        }
    }
    connect();
}

void BackendCall::connect()
{
    auto self = shared_from_this();
    isConnecting_ = true;
    connectTimer_.expires_after(backendConnectTimeout);
    connectTimer_.async_wait([self](const boost::system::error_code &error) {
        // A late event loop can find the connection established and the time over at once.
        if (!error && self->isConnecting_) {
            boost::system::error_code ignored;
            self->socket_.close(ignored);
        }
    });
    socket_.async_connect(wire::parseEndpoint(request_.address), [self](const boost::system::error_code &error) {
        self->isConnecting_ = false;
        self->connectTimer_.cancel();
        if (self->handler_ == nullptr) {
            return;
        }
        if (error) {
            auto *handler = std::exchange(self->handler_, nullptr);
            handler->onConnectFailed(error.message());
            return;
        }
        if (!self->handler_->isStillWanted()) {
            return;
        }
        wire::setTcpKeepAlive(self->socket_, internal::backendKeepAlive);
        self->send();
    });
}

void BackendCall::send()
{
    resetParser();
    read();
    isWriting_ = true;
    auto self = shared_from_this();
    const auto countWritten = [self](const boost::system::error_code &error, std::size_t count) -> std::size_t {
        self->writtenBytes_ = count;
        return error ? 0 : internal::maxWriteBytes;
    };
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(request_.bytes),
                                                    request_.body != nullptr ? asio::buffer(request_.body->bytes) : asio::const_buffer()};
    requestBytes_ = asio::buffer_size(buffers);
    asio::async_write(socket_, buffers, countWritten, [self](const boost::system::error_code &error, std::size_t) {
        // A failed write is no error yet: the server may have responded before it had the whole request.
        self->isWriting_ = false;
        self->request_.body.reset();
        self->isRequestSent_ = !error;
        self->hasWriteFailed_ = static_cast<bool>(error);
    });
}

std::size_t BackendCall::undeliveredBytes()
{
    return (isWriting_ ? requestBytes_ - writtenBytes_ : 0) + wire::unacknowledgedBytes(socket_);
}

void BackendCall::watchDelivery()
{
    if (isDelivered_) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    if (isDeliveryWatched_) {
        delivery_.onReceived(now);
    } else if (undeliveredBytes() == 0) {
        isDelivered_ = true;
    } else {
        // The server sends before it has read the request, so its closed window is no sign that it is gone.
        isDeliveryWatched_ = true;
        wire::setUserTimeout(socket_, std::chrono::milliseconds(0));
        delivery_.onReceived(now);
        armDeliveryTimer();
    }
}

void BackendCall::armDeliveryTimer()
{
    auto self = shared_from_this();
    deliveryTimer_.expires_after(internal::deliveryCheckPeriod);
    deliveryTimer_.async_wait([self](const boost::system::error_code &error) {
        if (!error && self->handler_ != nullptr) {
            self->checkDelivery();
        }
    });
}

void BackendCall::checkDelivery()
{
    const auto now = std::chrono::steady_clock::now();
    const auto undelivered = undeliveredBytes();
    if (undelivered == 0) {
        isDelivered_ = true;
        isDeliveryWatched_ = false;
        wire::setUserTimeout(socket_, internal::backendKeepAlive.userTimeout);
        return;
    }
    if (isPaused_) {
        delivery_.onReceived(now); /* what the server sends meanwhile is not read */
    }
    if (!delivery_.isPending(undelivered, now, internal::backendKeepAlive.userTimeout)) {
        fail("the backend server neither sent nor read for " + std::to_string(internal::backendKeepAlive.userTimeout.count()) + " ms");
        return;
    }
    armDeliveryTimer();
}

void BackendCall::resetParser()
{
    parser_.emplace();
    parser_->eager(true);
    parser_->body_limit(boost::none);
    parser_->skip(request_.isHeadRequest);
    areHeadersParsed_ = false;
    isDiscarding_ = false;
}

void BackendCall::read()
{
    if (isReading_ || isPaused_ || handler_ == nullptr) {
        return;
    }
    isReading_ = true;
    auto self = shared_from_this();
    socket_.async_read_some(buffer_.prepare(internal::readSize), [self](const boost::system::error_code &error, std::size_t count) {
        self->isReading_ = false;
        self->onRead(error, count);
    });
}

void BackendCall::onRead(const boost::system::error_code &error, std::size_t count)
{
    if (handler_ == nullptr) {
        return;
    }
    if (error) {
        onReadError(error);
        return;
    }
    buffer_.commit(count);
    watchDelivery();
    parse();
}

void BackendCall::parse()
{
    while (handler_ != nullptr && buffer_.size() > 0 && !parser_->is_done()) {
        if (!checkHead()) {
            return;
        }
        boost::system::error_code error;
        const auto used = parser_->put(buffer_.data(), error);
        buffer_.consume(used);
        if (error && error != bhttp::error::need_more) {
            fail("invalid HTTP response: " + error.message());
            return;
        }
        if (!processHeaders()) {
            return;
        }
        if (!isWithinLimits(used)) {
            return;
        }
        if (parser_->is_done()) {
            onMessageParsed();
        } else if (used == 0) {
            break;
        }
    }
    if (handler_ != nullptr) {
        deliverBody();
    }
    read();
}

bool BackendCall::isWithinLimits(std::size_t parsedBytes)
{
    discardedBytes_ += isDiscarding_ ? parsedBytes : 0;
    if (discardedBytes_ > internal::maxDiscardedBytes) {
        fail("more than 256 KiB of responses that belong to no request or are interim");
        return false;
    }
    if (buffer_.size() > internal::maxUnparsedBytes && parsedBytes == 0) {
        fail("a header or chunk header in the response exceeds 64 KiB");
        return false;
    }
    return true;
}

bool BackendCall::checkHead()
{
    if (parser_->is_header_done()) {
        return true;
    }
    const auto head = http::completeHead({static_cast<const char *>(buffer_.data().data()), buffer_.size()});
    const auto *fault = head.empty() ? nullptr : http::headFault(head);
    if (fault != nullptr) {
        fail(fault);
    }
    return fault == nullptr;
}

bool BackendCall::processHeaders()
{
    if (areHeadersParsed_ || !parser_->is_header_done()) {
        return true;
    }
    areHeadersParsed_ = true;
    const auto &response = parser_->get();
    const auto head = platform::readResponseHead(response.result_int(), response.base());
    // Nothing of such a head can be believed, also not that it belongs to another request or is interim.
    if (head.isContradictory) {
        fail("the response's head holds parts of two responses");
        return false;
    }
    const auto encoding = response[bhttp::field::transfer_encoding];
    // The end of the body is unknown with any other transfer coding, and the coding is not removed.
    if (!encoding.empty() && !boost::beast::iequals(encoding, "chunked")) {
        fail("header Transfer-Encoding of the response must be chunked");
        return false;
    }
    idleTimeout_ = head.idleTimeout;
    const bool isInterim = response.result_int() < internal::minFinalStatus;
    if (!isInterim && head.requestId.empty() && !request_.requestId.empty() && isConnectionReused_) {
        // It may be a late copy of the response to the previous request on the connection.
        fail("response without a request id on a reused connection");
        return false;
    }
    isDiscarding_ = isInterim || (!head.requestId.empty() && head.requestId != request_.requestId);
    mustClose_ = mustClose_ || (isDiscarding_ && !isInterim);
    if (!isDiscarding_) {
        bodyEnd_ = internal::bodyEndOf(*parser_);
        handler_->onResponseHeaders(response.result_int(), response.base(), head);
    }
    return handler_ != nullptr;
}

void BackendCall::deliverBody()
{
    auto &body = parser_->get().body();
    if (body.empty()) {
        return;
    }
    std::string bytes;
    bytes.swap(body);
    if (!isDiscarding_ && !handler_->onResponseBody(std::move(bytes))) {
        isPaused_ = true;
    }
}

void BackendCall::onMessageParsed()
{
    if (isDiscarding_) {
        resetParser();
        return;
    }
    deliverBody();
    if (handler_ != nullptr) {
        finish();
    }
}

void BackendCall::onReadError(const boost::system::error_code &error)
{
    isClosedByServer_ = error == asio::error::eof || error == asio::error::connection_reset;
    // The kernel reports a reset once. If a write was told of it, the read finds only the end of what was received.
    const bool isOrderlyEnd = error == asio::error::eof && !hasWriteFailed_;
    if (isOrderlyEnd && !isDiscarding_ && http::isCompleteAtConnectionEnd(*parser_)) {
        mustClose_ = true;
        finish();
        return;
    }
    const std::string reason = hasWriteFailed_ ? "the request could not be written" : error.message();
    fail("backend connection closed before the response was complete: " + reason);
}

void BackendCall::finish()
{
    deliveryTimer_.cancel();
    // Bytes after a complete response belong to no request, so the connection is closed. So is one whose request is not read yet: it may never be.
    const bool isReusable = isRequestSent_ && !isDeliveryWatched_ && !mustClose_ && buffer_.size() == 0 && parser_->get().keep_alive();
    auto *handler = std::exchange(handler_, nullptr);
    if (isReusable) {
        const auto timeout = idleTimeout_ ? std::chrono::milliseconds(*idleTimeout_) : internal::defaultIdleTimeout;
        const auto idleTime = std::chrono::duration_cast<std::chrono::milliseconds>(timeout * internal::idleFraction);
        connectionPool_.release(request_.serverId, std::move(socket_), idleTime);
    } else {
        boost::system::error_code ignored;
        socket_.close(ignored);
    }
    handler->onResponseComplete();
}

void BackendCall::fail(const std::string &reason)
{
    auto *handler = std::exchange(handler_, nullptr);
    deliveryTimer_.cancel();
    boost::system::error_code ignored;
    socket_.close(ignored);
    handler->onResponseError(reason);
}

void BackendCall::resume()
{
    isPaused_ = false;
    read();
}

void BackendCall::cancel()
{
    handler_ = nullptr;
    connectTimer_.cancel();
    deliveryTimer_.cancel();
    boost::system::error_code ignored;
    socket_.close(ignored);
}

} // namespace cyclamenspool::gateway
