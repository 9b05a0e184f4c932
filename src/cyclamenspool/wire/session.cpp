#include <cyclamenspool/wire/session.h>

#include <cyclamenspool/wire/sessioncallbacks.h>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace cyclamenspool::wire {

namespace asio = boost::asio;

namespace internal {

constexpr std::size_t readBufferBytes = 16 * 1024;
constexpr std::size_t writeBatchBytes = 64 * 1024;
constexpr std::int32_t streamWindowBytes = 1024 * 1024;
constexpr int maxUnansweredPings = 2;
constexpr std::chrono::milliseconds peerCloseTimeout{1000};

} // namespace internal

Session::Session(Socket socket, const SessionLimits &limits, RequestHandler handler)
    : socket_(std::move(socket))
    , limits_(limits)
    , handler_(std::move(handler))
    , peerCheckTimer_(socket_.get_executor())
    , readBuffer_(internal::readBufferBytes)
{
}

Session::~Session()
{
    nghttp2_session_del(session_);
}

std::shared_ptr<Session> Session::startClient(Socket socket, const SessionLimits &limits)
{
    std::shared_ptr<Session> session(new Session(std::move(socket), limits, nullptr));
    asio::post(session->socket_.get_executor(), [session] {
        session->start(false);
    });
    return session;
}

std::shared_ptr<Session> Session::startServer(Socket socket, const SessionLimits &limits, RequestHandler handler)
{
    std::shared_ptr<Session> session(new Session(std::move(socket), limits, std::move(handler)));
    asio::post(session->socket_.get_executor(), [session] {
        session->start(true);
    });
    return session;
}

void Session::start(bool isServer)
{
    isServer_ = isServer;
    boost::system::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    SessionCallbacks::install(callbacks);
    if (isServer) {
        nghttp2_session_server_new(&session_, callbacks, this);
    } else {
        nghttp2_session_client_new(&session_, callbacks, this);
    }
    nghttp2_session_callbacks_del(callbacks);
    const std::array<nghttp2_settings_entry, 2> settings{{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, limits_.maxConcurrentStreams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<std::uint32_t>(internal::streamWindowBytes)},
    }};
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, 16 * internal::streamWindowBytes);
    read();
    write();
    checkPeer();
}

void Session::read()
{
    auto self = shared_from_this();
    socket_.async_read_some(asio::buffer(readBuffer_), [self](const boost::system::error_code &error, std::size_t count) {
        if (error) {
            self->closeNow(error.message());
            return;
        }
        if (!self->open_) {
            return;
        }
        if (self->sendingEnded_) {
            self->read();
            return;
        }
        self->receivedSinceCheck_ = true;
        const auto *bytes = reinterpret_cast<const std::uint8_t *>(self->readBuffer_.data());
        const auto consumed = nghttp2_session_mem_recv(self->session_, bytes, count);
        if (consumed < 0) {
            self->closeNow(nghttp2_strerror(static_cast<int>(consumed)));
            return;
        }
        self->write();
        self->read();
    });
}

void Session::write()
{
    if (writing_ || !open_ || sendingEnded_ || session_ == nullptr) {
        return;
    }
    writeBuffer_.clear();
    while (writeBuffer_.size() < internal::writeBatchBytes) {
        const std::uint8_t *bytes = nullptr;
        const auto count = nghttp2_session_mem_send(session_, &bytes);
        if (count < 0) {
            closeNow(nghttp2_strerror(static_cast<int>(count)));
            return;
        }
        if (count == 0) {
            break;
        }
        writeBuffer_.append(reinterpret_cast<const char *>(bytes), static_cast<std::size_t>(count));
    }
    if (writeBuffer_.empty()) {
        const bool ended = nghttp2_session_want_read(session_) == 0 && nghttp2_session_want_write(session_) == 0;
        if (ended && draining_) {
            endSending();
        } else if (ended) {
            closeNow("HTTP/2 session ended");
        }
        return;
    }
    writing_ = true;
    auto self = shared_from_this();
    asio::async_write(socket_, asio::buffer(writeBuffer_), [self](const boost::system::error_code &error, std::size_t) {
        self->writing_ = false;
        if (error) {
            self->closeNow(error.message());
            return;
        }
        self->write();
    });
}

void Session::beginClose()
{
    if (!open_ || draining_) {
        return;
    }
    draining_ = true;
    nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE, lastStream_, NGHTTP2_NO_ERROR, nullptr, 0);
    write();
}

void Session::endSending()
{
    sendingEnded_ = true;
    boost::system::error_code ignored;
    // Closing over unread bytes would reset the connection and discard what the peer has not received.
    socket_.shutdown(Socket::shutdown_send, ignored);
    peerCheckTimer_.expires_after(internal::peerCloseTimeout);
    peerCheckTimer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self != nullptr) {
            self->closeNow("the peer did not close its side");
        }
    });
}

void Session::checkPeer()
{
    if (!open_ || sendingEnded_) {
        return;
    }
    const bool hasReceived = std::exchange(receivedSinceCheck_, false);
    if (hasReceived || streams_.empty()) {
        unansweredPings_ = 0;
    } else if (unansweredPings_ >= internal::maxUnansweredPings) {
        closeNow("the peer does not answer PING");
        return;
    } else {
        ++unansweredPings_;
        nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
        write();
    }
    peerCheckTimer_.expires_after(limits_.pingPeriod);
    peerCheckTimer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self != nullptr) {
            self->checkPeer();
        }
    });
}

void Session::closeNow(const std::string &reason)
{
    if (!open_.exchange(false)) {
        return;
    }
    boost::system::error_code ignored;
    socket_.close(ignored);
    peerCheckTimer_.cancel();
    std::vector<std::int32_t> ids;
    for (const auto &[id, stream] : streams_) {
        ids.push_back(id);
    }
    for (const auto id : ids) {
        endStream(id, false, reason);
    }
    if (onClosed_) {
        std::exchange(onClosed_, nullptr)();
    }
}

void Session::close(const std::string &reason)
{
    asio::post(socket_.get_executor(), [self = shared_from_this(), reason] {
        self->closeNow(reason);
    });
}

void Session::closeAfterStreams()
{
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->beginClose();
    });
}

void Session::onClosed(std::function<void()> handler)
{
    asio::post(socket_.get_executor(), [self = shared_from_this(), handler = std::move(handler)] {
        if (self->open_) {
            self->onClosed_ = handler;
        } else {
            handler();
        }
    });
}

} // namespace cyclamenspool::wire
