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

/** @brief Limits of a session, and the period at which it checks that its peer responds. */
struct SessionLimits {
    std::size_t maxMessageBytes = 64UL * 1024 * 1024; /**< Maximum size of a received message; a larger one resets its stream. */
    std::size_t maxQueuedBytes = 8UL * 1024 * 1024; /**< Maximum bytes queued on one stream for a slow peer; beyond it, the stream is reset. */
    std::uint32_t maxConcurrentStreams = 4000; /**< Maximum concurrent streams that the peer may open. */
    std::chrono::milliseconds pingPeriod{1000}; /**< Period of the check that the peer responds. If streams are open and nothing was received for a period,
                                                   a PING is sent; after two PINGs with nothing received, the next check closes the session. */
};

/** @brief How a client stream ended. */
struct StreamEnd {
    bool isComplete = false; /**< The peer ended the stream with END_STREAM. */
    bool maybeProcessed = true; /**< False only if the peer cannot have processed any part of the request: no frame was sent, or the peer refused the stream. */
    std::string reason; /**< Error of the connection or of HTTP/2, as text for logs. */
};

/** @brief Callbacks of a client stream; the session calls them on its strand. */
struct StreamCallbacks {
    std::function<void(std::string)> onMessage; /**< Called with each message received; may be empty. */
    std::function<void(const StreamEnd &)> onEnd; /**< Called once when the stream ends, unless it was cancelled. */
};

class Session;

/** @brief Client-side handle of a stream. Thread safe. */
class ClientStream
{
public:
    /** @brief Cancels the stream; its callbacks are not called again once the cancellation has run on the session's strand. */
    void cancel();

private:
    friend class Session;

    std::mutex mutex_;
    bool cancelled_ = false;
    std::weak_ptr<Session> session_;
    std::int32_t id_ = -1;
};

/** @brief Server-side handle of a stream. Thread safe. */
class ServerStream
{
public:
    /** @brief Creates a handle of an open stream. @param session Session that the stream belongs to. @param id HTTP/2 stream id. */
    ServerStream(const std::shared_ptr<Session> &session, std::int32_t id)
        : session_(session)
        , id_(id)
    {
    }

    /**
     * @brief Queues a message; does nothing if the stream is closed or its last message was queued.
     * @param message Message.
     * @param last True to end the stream after it.
     */
    void send(std::string message, bool last);

    /**
     * @brief Sets the handler called once when the stream is closed, reset or lost.
     * @param handler Called at once if the stream is closed already or the session no longer exists.
     */
    void onClosed(std::function<void()> handler);

private:
    std::weak_ptr<Session> session_;
    std::int32_t id_;
};

/** @brief Handles the request message of a stream; called on the strand of the session. Arguments: stream, path, message. */
using RequestHandler = std::function<void(std::shared_ptr<ServerStream>, const std::string &, std::string)>;

/**
 * @brief HTTP/2 session on a TCP connection. A stream carries one message to the server and any number of messages back.
 *
 * Messages are length-prefixed records in DATA frames. The public functions are thread safe: they post their work to the strand of the socket, on which all
 * other state is accessed.
 */
class Session : public std::enable_shared_from_this<Session>
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    /** @brief Starts a client session. @param socket Connected socket on a strand. @param limits Limits. @return Session. */
    [[nodiscard]] static std::shared_ptr<Session> startClient(Socket socket, const SessionLimits &limits);

    /** @brief Starts a server session. @param socket Accepted socket on a strand. @param limits Limits. @param handler Request handler. @return Session. */
    [[nodiscard]] static std::shared_ptr<Session> startServer(Socket socket, const SessionLimits &limits, RequestHandler handler);

    ~Session();
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    /**
     * @brief Opens a stream; if the session is closed, onEnd reports that nothing was sent.
     * @param path Value of :path.
     * @param message Request message.
     * @param callbacks Callbacks; onEnd must be set.
     * @return Handle.
     */
    std::shared_ptr<ClientStream> submit(const std::string &path, std::string message, StreamCallbacks callbacks);

    /**
     * @brief Opens a stream for an existing handle; does nothing if the handle was cancelled.
     * @param handle Handle without a stream.
     * @param path Value of :path.
     * @param message Request message.
     * @param callbacks Callbacks; onEnd must be set.
     */
    void submitWithHandle(const std::shared_ptr<ClientStream> &handle, const std::string &path, std::string message, StreamCallbacks callbacks);

    /** @brief Closes the connection. @param reason Reported to every open stream. */
    void close(const std::string &reason);

    /**
     * @brief Ends a server session in order: a GOAWAY frame names the last stream taken, later streams are not handled, and the connection closes when the
     * streams taken have ended and the peer has closed its side, at most 1 s after the last of them.
     */
    void closeAfterStreams();

    /** @brief Sets the handler called once when the connection is closed. @param handler Also called if it is closed already. */
    void onClosed(std::function<void()> handler);

    /** @brief Returns whether the connection is open. */
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
        std::string receiveBuffer;
        std::string sendBuffer;
        std::size_t sendOffset = 0; /* bytes of sendBuffer that nghttp2 has read */
        bool lastMessageQueued = false;
        bool frameSent = false; /* at least one frame of the stream was serialized for sending */
        bool responseStarted = false;
        bool endStreamReceived = false;
        StreamCallbacks callbacks;
        std::function<void()> onClosed;
    };

    Session(Socket socket, const SessionLimits &limits, RequestHandler handler);

    void start(bool isServer);
    void read();
    void write();
    void checkPeer();
    void closeNow(const std::string &reason);
    void beginClose();
    void endSending();
    void openStream(const std::string &path, const std::string &message, StreamCallbacks callbacks, const std::shared_ptr<ClientStream> &handle);
    [[nodiscard]] std::string tryOpenStream(const std::string &path,
                                            const std::string &message,
                                            StreamCallbacks &callbacks,
                                            ClientStream &handle); /* error; empty: none */
    void cancelStream(std::int32_t id);
    void sendOnStream(std::int32_t id, const std::string &message, bool last);
    void setClosedHandler(std::int32_t id, std::function<void()> handler);
    void deliverMessages(std::int32_t id, Stream &stream);
    void endStream(std::int32_t id, bool refused, const std::string &reason);

    Socket socket_;
    SessionLimits limits_;
    RequestHandler handler_;
    boost::asio::steady_timer peerCheckTimer_;
    nghttp2_session *session_ = nullptr;
    bool isServer_ = false;
    std::map<std::int32_t, Stream> streams_;
    std::vector<char> readBuffer_;
    std::string writeBuffer_;
    bool writing_ = false;
    bool draining_ = false; /* GOAWAY was submitted */
    bool sendingEnded_ = false; /* everything was sent; bytes that are still received are dropped, as GOAWAY announced */
    std::int32_t lastStream_ = 0; /* highest stream id that a server session has accepted */
    int unansweredPings_ = 0;
    bool receivedSinceCheck_ = false;
    std::atomic<bool> open_{true};
    std::function<void()> onClosed_;
};

} // namespace cyclamenspool::wire
