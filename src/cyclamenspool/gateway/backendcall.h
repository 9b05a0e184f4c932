#pragma once

#include <cyclamenspool/gateway/backendpool.h>
#include <cyclamenspool/platform/headers.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace cyclamenspool::gateway {

/** @brief Request as it goes to a backend server. */
struct BackendRequest {
    std::string server; /**< Id of the backend server. */
    std::string address;
    std::string requestId; /**< Answers to other requests are dropped. */
    std::string bytes; /**< Head and body. */
    bool isHead = false; /**< The answer has no body. */
    std::chrono::milliseconds longestIdle{0}; /**< Of a connection that may be used again; 0: a new one is made. */
};

/** @brief What the owner of a call hears. */
class BackendEvents
{
public:
    virtual ~BackendEvents() = default;

    /** @brief No connection could be made; nothing was sent. @param reason Cause. */
    virtual void onUnreachable(const std::string &reason) = 0;

    /** @brief The answer's head has come. @param status Status. @param fields Headers. @param head Their meaning. */
    virtual void onAnswerHead(unsigned status, const platform::Fields &fields, const platform::AnswerHead &head) = 0;

    /** @brief A part of the answer's body has come. @param bytes Bytes. @return False to read no more until resume(). */
    virtual bool onAnswerBody(std::string bytes) = 0;

    /** @brief The answer is whole. */
    virtual void onAnswerEnd() = 0;

    /** @brief The connection ended before the whole answer, or the bytes were no answer. @param reason Cause. */
    virtual void onBroken(const std::string &reason) = 0;
};

/** @brief One request at one backend server. All calls on the worker's thread. */
class BackendCall : public std::enable_shared_from_this<BackendCall>
{
public:
    /** @brief Creates a call. @param pool Idle connections. @param request Request. @param events Owner; must outlive the call or cancel it. */
    BackendCall(BackendPool &pool, BackendRequest request, BackendEvents &events);

    /** @brief Starts the call. */
    void start();

    /** @brief Goes on reading after onAnswerBody() returned false. */
    void resume();

    /** @brief Ends the call; the connection is closed, and no event follows. */
    void cancel();

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void connect();
    void send();
    void read();
    void onRead(const boost::system::error_code &error, std::size_t count);
    void parse();
    bool parseHead();
    void onParsedEnd();
    void onEndOfStream(const boost::system::error_code &error);
    void deliverBody();
    void startParser();
    void finish();
    void fail(const std::string &reason);

    BackendPool &pool_;
    BackendRequest request_;
    BackendEvents *events_;
    BackendPool::Socket socket_;
    boost::asio::steady_timer connectTimer_;
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    std::optional<std::chrono::seconds> idleTimeout_;
    bool isHeadTold_ = false;
    bool isStray_ = false; /* the answer that is read belongs to another request */
    bool strayEnded_ = false; /* a stray answer came first: the connection is not used again */
    bool isWritten_ = false;
    bool isReading_ = false;
    bool isPaused_ = false;
};

} // namespace cyclamenspool::gateway
