#pragma once

#include <cyclamenspool/gateway/backendconnectionpool.h>
#include <cyclamenspool/gateway/bodymemory.h>
#include <cyclamenspool/platform/headers.h>
#include <cyclamenspool/wire/deliverywatch.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace cyclamenspool::gateway {

/** @brief Serialised request for one backend server. */
struct BackendRequest {
    std::string serverId; /**< Id of the backend server. */
    std::string address;
    std::string requestId; /**< Request id. A response with another id is skipped, and the call waits for the next one; on a reused connection, one without
                              an id is invalid. */
    std::string bytes; /**< Request line, headers and blank line. */
    RequestBodyPtr body; /**< Null: none. Released once it is written. */
    bool isHeadRequest = false; /**< Method HEAD: the response has no body. */
    std::chrono::milliseconds maxIdleTime{0}; /**< Longest idle time of a connection that may be reused; 0: always connect anew. */
};

/** @brief What ends the body of a response. */
enum class BodyEnd : int {
    None, /**< No response yet. */
    Length, /**< Content-Length, or a response that has no body. */
    LastChunk,
    ConnectionClose,
};

/** @brief Returns the text of a body end for logs. */
[[nodiscard]] const char *nameOf(BodyEnd end) noexcept;

/** @brief Callbacks of a backend call. After onConnectFailed(), onResponseComplete() or onResponseError() no other follows. */
class BackendCallHandler
{
public:
    virtual ~BackendCallHandler() = default;

    /** @brief Asks, once a new connection is open, whether the request should still be sent. @return False if it must not; the call has been cancelled then. */
    virtual bool isStillWanted() = 0;

    /** @brief Handles a failed connect; nothing was sent. @param reason Error text. */
    virtual void onConnectFailed(const std::string &reason) = 0;

    /**
     * @brief Handles the headers of the response. Interim (1xx) responses are skipped.
     * @param status HTTP status.
     * @param fields All headers.
     * @param head Values parsed from them.
     */
    virtual void onResponseHeaders(unsigned status, const platform::Fields &fields, const platform::ResponseHead &head) = 0;

    /** @brief Handles a part of the response body. @param bytes Decoded bytes. @return False to pause reading until BackendCall::resume(). */
    virtual bool onResponseBody(std::string bytes) = 0;

    /** @brief Handles the end of a complete response. */
    virtual void onResponseComplete() = 0;

    /** @brief Handles a connection that failed before the response was complete, or an invalid response. @param reason Error text. */
    virtual void onResponseError(const std::string &reason) = 0;
};

/** @brief Sends one request to one backend server and reads its response. All calls on the worker's thread. */
class BackendCall : public std::enable_shared_from_this<BackendCall>
{
public:
    /**
     * @brief Creates a call.
     * @param connectionPool Idle connections to reuse; takes the connection back after a complete response.
     * @param request Request.
     * @param handler Receives the events; must outlive the call or cancel it.
     */
    BackendCall(BackendConnectionPool &connectionPool, BackendRequest request, BackendCallHandler &handler);

    /** @brief Sends the request on an idle connection, or on a new one if none can be reused. */
    void start();

    /** @brief Resumes reading after the body callback returned false. */
    void resume();

    /** @brief Closes the connection; no callback follows. */
    void cancel();

    /** @brief Returns what ends the body of the response whose headers were handled last. */
    [[nodiscard]] BodyEnd bodyEnd() const noexcept
    {
        return bodyEnd_;
    }

    /** @brief Returns whether the backend server has closed or reset the connection. */
    [[nodiscard]] bool isClosedByServer() const noexcept
    {
        return isClosedByServer_;
    }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void connect();
    void send();
    void watchDelivery();
    void armDeliveryTimer();
    void checkDelivery();
    [[nodiscard]] std::size_t undeliveredBytes(); /* of the request, as far as it is known */
    void read();
    void onRead(const boost::system::error_code &error, std::size_t count);
    void parse();
    [[nodiscard]] bool checkHead(); /* false if the call has ended */
    bool processHeaders(); /* false if the call has ended */
    [[nodiscard]] bool isWithinLimits(std::size_t parsedBytes);
    void onMessageParsed();
    void onReadError(const boost::system::error_code &error);
    void deliverBody();
    void resetParser();
    void finish();
    void fail(const std::string &reason);

    BackendConnectionPool &connectionPool_;
    BackendRequest request_;
    BackendCallHandler *handler_;
    BackendConnectionPool::Socket socket_;
    boost::asio::steady_timer connectTimer_;
    boost::asio::steady_timer deliveryTimer_;
    wire::DeliveryWatch delivery_; /* of the request, while isDeliveryWatched_ */
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    std::optional<std::chrono::seconds> idleTimeout_;
    BodyEnd bodyEnd_ = BodyEnd::None;
    bool areHeadersParsed_ = false;
    bool isDiscarding_ = false; /* the current response is interim or belongs to another request */
    bool mustClose_ = false; /* the connection is not reused: it carried another request's response, or the server closed it */
    bool isConnectionReused_ = false;
    std::size_t discardedBytes_ = 0; /* of responses that are interim or belong to other requests */
    bool isConnecting_ = false;
    std::size_t requestBytes_ = 0;
    std::size_t writtenBytes_ = 0; /* of the request */
    bool isWriting_ = false;
    bool isRequestSent_ = false;
    bool hasWriteFailed_ = false;
    bool isDelivered_ = false; /* the server had received the request when bytes of the response came */
    bool isDeliveryWatched_ = false; /* in place of the kernel's user time-out */
    bool isClosedByServer_ = false;
    bool isReading_ = false;
    bool isPaused_ = false;
};

} // namespace cyclamenspool::gateway
