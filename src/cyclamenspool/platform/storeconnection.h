#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

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
     * @param target Path and query.
     * @param timeout Longest time from the open connection to the end of the response.
     * @return Response with any status.
     * @throws std::exception If the call fails or the response has no readable era.
     */
    [[nodiscard]] boost::asio::awaitable<StoreResponse> get(std::string target, std::chrono::milliseconds timeout);

    /** @brief Returns the time for which the call in progress has waited for its response headers; zero if none waits. */
    [[nodiscard]] std::chrono::milliseconds waitingTime() const;

    /** @brief Cancels the call in progress, which then fails. */
    void cancel();

    /** @brief Closes the connection; the next call opens a new one. No call may be in progress. */
    void close();

private:
    boost::asio::awaitable<void> connect();
    boost::asio::awaitable<StoreResponse> exchange(std::string target, std::chrono::milliseconds timeout);

    boost::asio::io_context &context_;
    std::string address_;
    std::unique_ptr<boost::beast::tcp_stream> stream_; /* null: closed */
    boost::beast::flat_buffer buffer_;
    std::optional<std::chrono::steady_clock::time_point> waitingSince_; /* empty: no call waits for its response headers */
};

} // namespace cyclamenspool::platform
