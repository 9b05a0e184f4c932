#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>

namespace cyclamenspool::platform {

/** @brief Response of the store with any status. */
struct StoreResponse {
    /**
     * @brief Returns the body of a successful response.
     * @throws RevisionCompacted If the status is 410.
     * @throws std::runtime_error If the status is neither 200 nor 410.
     */
    [[nodiscard]] const std::string &content() const;

    /** @brief Returns whether the store has compacted the changes after the requested position. */
    [[nodiscard]] bool isCompacted() const noexcept;

    unsigned status = 0; /**< HTTP status. */
    std::uint64_t era = 0; /**< Era of the store that has responded; 0 if it names none. */
    std::string body;
    std::chrono::steady_clock::time_point headersAt; /**< Arrival of the headers: the response holds nothing later. */
};

/** @brief Bounds of a call to the store. */
struct StoreCallLimits {
    std::chrono::milliseconds timeout{2500}; /**< Longest time until the response headers, and without a byte of the body after them. */
    std::uint64_t maxBodyBytes = 64UL * 1024 * 1024;
};

/** @brief Thrown if the body of a response exceeds StoreCallLimits::maxBodyBytes; most of it has not been read then. */
class ResponseTooLarge : public std::runtime_error
{
public:
    /** @brief Creates the exception. @param maxBytes Limit. */
    explicit ResponseTooLarge(std::uint64_t maxBytes)
        : std::runtime_error("the store's response exceeds " + std::to_string(maxBytes) + " bytes")
    {
    }
};

/** @brief Thrown if the store has compacted the changes after the requested revision; a new list is needed. */
class RevisionCompacted : public std::runtime_error
{
public:
    RevisionCompacted()
        : std::runtime_error("the store has compacted the requested revision")
    {
    }
};

/** @brief Thrown if a response is of an earlier era than the latest known one: it belongs to a history that has ended. */
class EraEnded : public std::runtime_error
{
public:
    EraEnded()
        : std::runtime_error("the store responded from an era that has ended")
    {
    }
};

/** @brief Connection to the platform's store; opened by the first call, and again after a failure. One call at a time. */
class StoreConnection
{
public:
    /** @brief Creates a closed connection. @param context Runs the calls. @param address IP address and port of the store. */
    StoreConnection(boost::asio::io_context &context, std::string address);

    /**
     * @brief Sends a GET request.
     * A body may take longer than the timeout as long as it arrives at 1 Mbit/s on average.
     * @param target Path and query.
     * @param limits Bounds of the call.
     * @return Response with any status.
     * @throws ResponseTooLarge If the body is too large; the connection has to be closed.
     * @throws std::exception If the call fails or the response has no readable era.
     */
    [[nodiscard]] boost::asio::awaitable<StoreResponse> get(std::string target, StoreCallLimits limits);

    /** @brief Returns the time for which the call in progress has waited for its response headers; zero if none waits. */
    [[nodiscard]] std::chrono::milliseconds waitingTime() const;

    /** @brief Returns whether a response body is being read and bytes of it have arrived within the last second. */
    [[nodiscard]] bool isReceiving() const;

    /** @brief Cancels the call in progress, which then fails. */
    void cancel();

    /** @brief Closes the connection; the next call opens a new one. No call may be in progress. */
    void close();

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    boost::asio::awaitable<void> connect();
    boost::asio::awaitable<StoreResponse> exchange(std::string target, StoreCallLimits limits);
    boost::asio::awaitable<void> readBody(Parser &parser, StoreCallLimits limits);

    boost::asio::io_context &context_;
    std::string address_;
    std::unique_ptr<boost::beast::tcp_stream> stream_; /* null: closed */
    boost::beast::flat_buffer buffer_;
    std::optional<std::chrono::steady_clock::time_point> waitingSince_; /* empty: no call waits for its response headers */
    std::optional<std::chrono::steady_clock::time_point> receivedAt_; /* latest bytes of a body; empty: none is being read */
};

} // namespace cyclamenspool::platform
