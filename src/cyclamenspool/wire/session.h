#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <nghttp2/nghttp2.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace cyclamenspool::wire {

/** @brief Bounds of a session. */
struct SessionLimits {
    std::size_t messageBytes = 64UL * 1024 * 1024; /**< Largest message. */
    std::size_t queuedBytes = 8UL * 1024 * 1024; /**< Bytes that may wait for a slow peer on one stream. */
    std::uint32_t streams = 4000; /**< Streams open at once. */
    std::chrono::milliseconds pingPeriod{1000}; /**< A peer that is silent while streams are open is asked by PING; two without an answer end the session. */
};

/** @brief How a client's stream ended. */
struct StreamEnd {
    bool finished = false; /**< The peer ended the stream in order. */
    bool sent = true; /**< False only if no byte of the stream can have reached the peer. */
    std::string reason;
};

/** @brief What a client wants to hear of its stream; called on the session's strand. */
struct StreamEvents {
    std::function<void(std::string)> onMessage;
    std::function<void(const StreamEnd &)> onEnd;
};

class Session;

/** @brief A client's handle on its stream. Thread safe. */
class ClientStream
{
public:
    /** @brief Tells the peer that the answer is not wanted any more; no further event is reported. */
    void cancel();

private:
    friend class Session;

    std::mutex mutex_;
    bool cancelled_ = false;
    std::weak_ptr<Session> session_;
    std::int32_t id_ = -1;
};

/** @brief A server's handle on a stream. Thread safe. */
class ServerStream
{
public:
    /** @brief Creates a handle. @param session Session. @param id Stream id. */
    ServerStream(const std::shared_ptr<Session> &session, std::int32_t id)
        : session_(session)
        , id_(id)
    {
    }

    /** @brief Sends a message. @param message Bytes. @param last True to end the stream after it. */
    void send(std::string message, bool last);

    /** @brief Sets what is called when the peer cancels the stream or is gone. @param handler Handler. */
    void onClosed(std::function<void()> handler);

private:
    std::weak_ptr<Session> session_;
    std::int32_t id_;
};

/** @brief Takes the one message of a client's stream. Arguments: stream, path, message. */
using RequestHandler = std::function<void(std::shared_ptr<ServerStream>, const std::string &, std::string)>;

/**
 * @brief An nghttp2 session on a TCP connection. A stream carries one message to the server and any number back.
 *
 * Messages are length-prefixed records in DATA frames. All state belongs to the session's strand.
 */
class Session : public std::enable_shared_from_this<Session>
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    /** @brief Creates a client session. @param socket Connected socket on a strand. @param limits Bounds. @return Running session. */
    [[nodiscard]] static std::shared_ptr<Session> connectTo(Socket socket, const SessionLimits &limits);

    /** @brief Creates a server session. @param socket Accepted socket on a strand. @param limits Bounds. @param handler Request handler. @return Running
     * session. */
    [[nodiscard]] static std::shared_ptr<Session> serve(Socket socket, const SessionLimits &limits, RequestHandler handler);

    ~Session();
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    /** @brief Opens a stream. @param path Path. @param message Message. @param events Events. @return Handle. */
    std::shared_ptr<ClientStream> submit(const std::string &path, std::string message, StreamEvents events);

    /** @brief Opens a stream for a handle that was given out before. @param handle Handle. @param path Path. @param message Message. @param events Events. */
    void submitWith(const std::shared_ptr<ClientStream> &handle, const std::string &path, std::string message, StreamEvents events);

    /** @brief Closes the connection; open streams end with the reason. @param reason Reason. */
    void close(const std::string &reason);

    /** @brief Sets what is called once after the connection was closed. @param handler Handler. */
    void onClosed(std::function<void()> handler);

    /** @brief Tells whether the connection is open. @return True if so. */
    [[nodiscard]] bool isOpen() const noexcept
    {
        return open_.load();
    }

private:
    friend class ClientStream;
    friend class ServerStream;
    friend struct SessionCallbacks;

    struct Stream {
        std::string path;
        std::string in;
        std::string out;
        std::size_t outTaken = 0;
        bool outFinished = false;
        bool headersSent = false; /* a frame of the stream was handed to the connection */
        bool responded = false;
        bool endSeen = false;
        StreamEvents events;
        std::function<void()> onClosed;
    };

    Session(Socket socket, const SessionLimits &limits, RequestHandler handler);

    void start(bool isServer);
    void read();
    void write();
    void ping();
    void shut(const std::string &reason);
    void openStream(const std::string &path, const std::string &message, StreamEvents events, const std::shared_ptr<ClientStream> &handle);
    void cancelStream(std::int32_t id);
    void sendOn(std::int32_t id, const std::string &message, bool last);
    void setClosedHandler(std::int32_t id, std::function<void()> handler);
    void takeMessages(std::int32_t id, Stream &stream);
    void endStream(std::int32_t id, bool refused, const std::string &reason);

    Socket socket_;
    SessionLimits limits_;
    RequestHandler handler_;
    boost::asio::steady_timer pingTimer_;
    nghttp2_session *session_ = nullptr;
    bool isServer_ = false;
    std::map<std::int32_t, Stream> streams_;
    std::vector<char> readBuffer_;
    std::string writeBuffer_;
    bool writing_ = false;
    int unansweredPings_ = 0;
    bool receivedSincePing_ = false;
    std::atomic<bool> open_{true};
    std::function<void()> onClosed_;
};

} // namespace cyclamenspool::wire
