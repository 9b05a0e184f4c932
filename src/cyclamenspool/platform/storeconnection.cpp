#include <cyclamenspool/platform/storeconnection.h>

#include <cyclamenspool/platform/storeera.h>
#include <cyclamenspool/wire/endpoint.h>
#include <cyclamenspool/wire/tcpkeepalive.h>

#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace cyclamenspool::platform {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

namespace internal {

constexpr std::chrono::milliseconds connectTimeout{800};
constexpr wire::TcpKeepAlive storeKeepAlive{std::chrono::milliseconds(2000), std::chrono::seconds(1), 2};
constexpr std::size_t maxUnparsedBytes = 64UL * 1024; /* of a head, a chunk header or a trailer */
constexpr std::uint64_t maxResponseBytes = 64UL * 1024 * 1024;

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

asio::awaitable<StoreResponse> StoreConnection::get(std::string target, std::chrono::milliseconds timeout)
{
    try {
        co_return co_await exchange(std::move(target), timeout);
    } catch (const boost::system::system_error &error) {
        throw std::runtime_error(error.code().message()); // what() would add the place in the library's source.
    }
}

asio::awaitable<StoreResponse> StoreConnection::exchange(std::string target, std::chrono::milliseconds timeout)
{
    waitingSince_ = std::chrono::steady_clock::now();
    if (stream_ == nullptr) {
        co_await connect();
    }
    bhttp::request<bhttp::empty_body> request(bhttp::verb::get, target, 11);
    request.set(bhttp::field::host, address_);
    stream_->expires_after(timeout);
    co_await bhttp::async_write(*stream_, request, asio::use_awaitable);
    bhttp::response_parser<bhttp::string_body> parser;
    parser.body_limit(internal::maxResponseBytes);
    co_await bhttp::async_read_header(*stream_, buffer_, parser, asio::use_awaitable);
    waitingSince_.reset();
    co_await bhttp::async_read(*stream_, buffer_, parser, asio::use_awaitable);
    auto response = parser.release();
    // Bytes after a complete response belong to no call, so the connection is closed.
    if (!response.keep_alive() || buffer_.size() > 0) {
        stream_.reset();
    }
    StoreResponse result;
    result.status = response.result_int();
    result.era = readStoreEra(response);
    result.body = std::move(response.body());
    co_return result;
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
    stream_.reset();
}

} // namespace cyclamenspool::platform
