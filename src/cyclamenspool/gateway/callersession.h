#pragma once

#include <cyclamenspool/core/errorkind.h>
#include <cyclamenspool/core/now.h>
#include <cyclamenspool/gateway/fwd.h>
#include <cyclamenspool/gateway/worker.h>

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

/** @brief A caller's connection: reads its requests one after the other and writes the answers. All calls on the worker's thread. */
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    /** @brief Creates a session. @param worker Worker. @param socket Connection. */
    CallerSession(Worker &worker, boost::asio::ip::tcp::socket socket);
    ~CallerSession();
    CallerSession(const CallerSession &) = delete;
    CallerSession &operator=(const CallerSession &) = delete;

    /** @brief Starts to read. */
    void start();

    /** @brief Writes bytes of an answer. @param bytes Bytes. */
    void write(std::string bytes);

    /** @brief Counts the bytes that wait for the caller. @return Bytes. */
    [[nodiscard]] std::size_t waitingBytes() const noexcept
    {
        return out_.size() + writing_.size();
    }

    /** @brief Ends the answer of the request under way. */
    void endAnswer();

    /** @brief Closes the connection without the end of the answer. */
    void abort();

    /** @brief Tells whether the connection stays open after the answer. @return True if so. */
    [[nodiscard]] bool keepsAlive() const noexcept;

    /** @brief Closes the connection if no request is under way. */
    void closeIfIdle();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void read();
    void onRead(const boost::system::error_code &error, std::size_t count);
    void advance();
    bool parse();
    void onHeadParsed();
    void onRequest();
    void refuseUnread(core::ErrorKind kind, const std::string &detail);
    void flush();
    void onWritten(const boost::system::error_code &error);
    void linger();
    void loseCaller();
    void close();
    void waitUntil(core::MonotonicTime time);
    void watch();
    void onTimeout();

    Worker &worker_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    core::MonotonicTime limit_{}; /* of the state that the session is in */
    bool isTimerSet_ = false;
    boost::beast::flat_buffer in_;
    std::optional<Parser> parser_;
    bool isHeadSeen_ = false;
    core::MonotonicTime firstByte_{};
    std::string out_;
    std::string writing_;
    std::shared_ptr<Exchange> exchange_;
    bool isReading_ = false;
    bool keepAlive_ = true;
    bool closeAfterWrite_ = false;
    bool isLingering_ = false;
    bool isClosed_ = false;
};

} // namespace cyclamenspool::gateway
