#include <cyclamenspool/platform/storeconnection.h>

#include <cyclamenspool/http/headreader.h>
#include <cyclamenspool/platform/storeera.h>
#include <cyclamenspool/wire/endpoint.h>
#include <cyclamenspool/wire/tcpkeepalive.h>

#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <utility>

namespace cyclamenspool::platform {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

namespace internal {

constexpr std::chrono::milliseconds connectTimeout{800};
constexpr wire::TcpKeepAlive storeKeepAlive{std::chrono::milliseconds(2000), std::chrono::seconds(1), 2};
constexpr std::size_t maxUnparsedBytes = 64UL * 1024; /* of a head, a chunk header or a trailer */
constexpr std::chrono::milliseconds maxReceivePause{1000}; /* between two reads of a body that still counts as arriving */
constexpr std::uint64_t minBytesPerMillisecond = 125; /* 1 Mbit/s; the average of a body that takes longer than the timeout */

} // namespace internal

bool StoreResponse::isCompacted() const noexcept
{
    return status == static_cast<unsigned>(bhttp::status::gone);
}

const std::string &StoreResponse::content() const
{
    if (isCompacted()) {
        throw RevisionCompacted();
    }
    if (status != static_cast<unsigned>(bhttp::status::ok)) {
        throw std::runtime_error("the store responded with status " + std::to_string(status));
    }
    return body;
}

StoreConnection::StoreConnection(asio::io_context &context, std::string address)
    : context_(context)
    , address_(std::move(address))
    , buffer_(internal::maxUnparsedBytes)
{
}

asio::awaitable<void> StoreConnection::connect()
{
    buffer_.clear();
    stream_ = std::make_unique<beast::tcp_stream>(context_);
    stream_->expires_after(internal::connectTimeout);
    co_await stream_->async_connect(wire::parseEndpoint(address_), asio::use_awaitable);
    wire::setTcpKeepAlive(stream_->socket(), internal::storeKeepAlive);
}

asio::awaitable<StoreResponse> StoreConnection::get(std::string target, StoreCallLimits limits)
{
    try {
        co_return co_await exchange(std::move(target), limits);
    } catch (const boost::system::system_error &error) {
        throw std::runtime_error(error.code().message()); // what() would add the place in the library's source.
    }
}

asio::awaitable<StoreResponse> StoreConnection::exchange(std::string target, StoreCallLimits limits)
{
    receivedAt_.reset();
    waitingSince_ = std::chrono::steady_clock::now();
    if (stream_ == nullptr) {
        co_await connect();
    }
    bhttp::request<bhttp::empty_body> request(bhttp::verb::get, target, 11);
    request.set(bhttp::field::host, address_);
    stream_->expires_after(limits.timeout);
    co_await bhttp::async_write(*stream_, request, asio::use_awaitable);
    Parser parser;
    parser.body_limit(boost::none);
    co_await http::readHead(*stream_, buffer_, parser);
    waitingSince_.reset();
    const auto headersAt = std::chrono::steady_clock::now();
    co_await readBody(parser, limits);
    auto response = parser.release();
    // Bytes after a complete response belong to no call, so the connection is closed.
    if (!response.keep_alive() || buffer_.size() > 0) {
        stream_.reset();
    }
    StoreResponse result;
    result.headersAt = headersAt;
    result.status = response.result_int();
    result.era = readStoreEra(response);
    result.body = std::move(response.body());
    co_return result;
}

asio::awaitable<void> StoreConnection::readBody(Parser &parser, StoreCallLimits limits)
{
    if (parser.content_length().value_or(0) > limits.maxBodyBytes) {
        throw ResponseTooLarge(limits.maxBodyBytes);
    }
    const auto begin = std::chrono::steady_clock::now();
    receivedAt_ = begin;
    std::uint64_t received = 0; /* with the framing */
    while (!parser.is_done()) {
        const std::chrono::milliseconds earned(received / internal::minBytesPerMillisecond);
        stream_->expires_at(std::min(*receivedAt_, begin + earned) + limits.timeout);
        received += co_await bhttp::async_read_some(*stream_, buffer_, parser, asio::use_awaitable);
        receivedAt_ = std::chrono::steady_clock::now();
        if (received > limits.maxBodyBytes) {
            throw ResponseTooLarge(limits.maxBodyBytes);
        }
    }
    receivedAt_.reset();
}

bool StoreConnection::isReceiving() const
{
    return receivedAt_ && std::chrono::steady_clock::now() - *receivedAt_ < internal::maxReceivePause;
}

std::chrono::milliseconds StoreConnection::waitingTime() const
{
    const auto now = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - waitingSince_.value_or(now));
}

void StoreConnection::cancel()
{
    if (stream_ != nullptr) {
        stream_->cancel();
    }
}

void StoreConnection::close()
{
    waitingSince_.reset();
    receivedAt_.reset();
    stream_.reset();
}

} // namespace cyclamenspool::platform
