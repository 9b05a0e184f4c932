#pragma once

#include <cyclamenspool/core/errorkind.h>
#include <cyclamenspool/core/now.h>
#include <cyclamenspool/gateway/bodymemory.h>
#include <cyclamenspool/gateway/fwd.h>
#include <cyclamenspool/gateway/worker.h>
#include <cyclamenspool/wire/deliverywatch.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace cyclamenspool::gateway {

using CallerRequest = boost::beast::http::request<boost::beast::http::string_body>;

/**
 * @brief Serves one connection of a caller: reads its requests one after the other and writes the responses.
 *
 * Requests may be pipelined; the next one starts after the response to the one before. All calls on the worker's thread.
 */
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    /** @brief Creates a session, which its worker counts from now on; on any thread. @param worker Worker that owns the connection. @param socket Accepted
     * connection. */
    CallerSession(Worker &worker, boost::asio::ip::tcp::socket socket);
    ~CallerSession();
    CallerSession(const CallerSession &) = delete;
    CallerSession &operator=(const CallerSession &) = delete;

    /** @brief Starts reading requests. */
    void start();

    /** @brief Queues bytes of a response for writing; ignored once the connection is closed. @param bytes Bytes. */
    void write(std::string bytes);

    /** @brief Returns the number of response bytes that are queued or being written. */
    [[nodiscard]] std::size_t pendingBytes() const noexcept
    {
        return queuedBytes_.size() + bytesInWrite_.size() - writtenBytes_;
    }

    /** @brief Ends the current response; closes the connection after the last byte unless it is kept alive. */
    void finishResponse();

    /** @brief Closes the connection at once, which cuts off the current response. */
    void abort();

    /**
     * @brief Decides, for the headers of the current response, whether the connection stays open after it.
     *
     * In a shutdown it does so only if bytes of a further request have been read.
     */
    [[nodiscard]] bool decideKeepAlive();

    /** @brief Marks the current response as one that the end of the connection completes: until its last byte is written, any other end is a reset. */
    void beginUnframedResponse();

    /** @brief Returns whether the caller has closed the connection, also if the event loop is too late to have noticed. */
    [[nodiscard]] bool hasCallerLeft();

    /** @brief Ends the request in progress because the process is about to exit, see Exchange::onShutdown(); an incomplete one is refused. */
    void endRequest();

    /** @brief Closes the connection if no request is in progress, and the caller has received the last response and had time to send its next request. */
    void closeIfIdle();

    /** @brief Logs and counts the response that the end of the connection cuts off, if any. */
    void reportCut();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void waitForBytes();
    void onReadable();
    void read();
    void discard();
    void processBuffered();
    bool parse(); /* true if more of the buffered bytes can be parsed now */
    void onHeaders();
    void onRequest();
    bool reserveBody(); /* false if there is no room; the request has been refused then */
    void refuseIncomplete(core::ErrorKind kind, const std::string &detail, std::chrono::milliseconds retryAfter = {});
    void refuseForShutdown(); /* a request that is incomplete when requests are ended */
    void startWrite();
    void writeSome();
    void onWritten(const boost::system::error_code &error, std::size_t count);
    void expectProgress();
    void setResetOnClose(bool isReset);
    void linger();
    [[nodiscard]] bool isResponseOnItsWay();
    [[nodiscard]] bool isIdle();
    void onDisconnected();
    void close();
    void setTimeout(core::MonotonicTime time);
    void armTimer();
    void onTimeout();

    Worker &worker_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    core::MonotonicTime timeoutAt_{}; /* of the current state: headers, body, idle or lingering close; maximum while a request is handled */
    bool isTimerArmed_ = false;
    boost::beast::flat_buffer readBuffer_;
    std::optional<Parser> parser_;
    bool areHeadersParsed_ = false;
    BodyMemory::Reservation bodyMemory_; /* of the request that is being read */
    core::MonotonicTime requestStart_{};
    std::string queuedBytes_;
    std::string bytesInWrite_;
    std::size_t writtenBytes_ = 0; /* of bytesInWrite_ */
    std::shared_ptr<Exchange> exchange_;
    std::string lastRequestId_; /* of the latest complete request */
    bool isWaitingForBytes_ = false;
    bool keepAlive_ = true; /* after the current response; as its headers say once they are written */
    bool closeAfterWrite_ = false;
    bool isLingering_ = false;
    core::MonotonicTime lastWriteAt_{};
    wire::DeliveryWatch delivery_; /* of the last response, while lingering */
    bool isClosed_ = false;
};

} // namespace cyclamenspool::gateway
