#include <cyclamenspool/wire/session.h>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <cstring>
#include <utility>

namespace cyclamenspool::wire {

namespace asio = boost::asio;

namespace internal {

constexpr std::size_t prefixBytes = 4;
constexpr std::size_t readBytes = 16 * 1024;
constexpr std::size_t writeBytes = 64 * 1024;
constexpr std::int32_t windowBytes = 1024 * 1024;
constexpr int allowedUnansweredPings = 2;

std::string frame(const std::string &message)
{
    const auto size = static_cast<std::uint32_t>(message.size());
    std::string framed;
    framed.reserve(prefixBytes + message.size());
    for (int shift = 24; shift >= 0; shift -= 8) {
        framed.push_back(static_cast<char>(size >> shift));
    }
    framed += message;
    return framed;
}

std::size_t frameLength(const std::string &buffer)
{
    std::uint32_t size = 0;
    for (std::size_t i = 0; i < prefixBytes; ++i) {
        size = (size << 8U) | static_cast<unsigned char>(buffer[i]);
    }
    return size;
}

nghttp2_nv header(const char *name, const std::string &value)
{
    nghttp2_nv nv{};
    nv.name = reinterpret_cast<std::uint8_t *>(const_cast<char *>(name));
    nv.namelen = std::strlen(name);
    nv.value = reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data()));
    nv.valuelen = value.size();
    nv.flags = NGHTTP2_NV_FLAG_NONE;
    return nv;
}

} // namespace internal

/** @brief Callbacks from the nghttp2 library; each runs on the session's strand. */
struct SessionCallbacks {
    static Session &self(void *user)
    {
        return *static_cast<Session *>(user);
    }

    static int onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *user)
    {
        if (self(user).isServer_) {
            self(user).streams_.try_emplace(frame->hd.stream_id);
        }
        return 0;
    }

    static int onHeader(nghttp2_session *,
                        const nghttp2_frame *frame,
                        const std::uint8_t *name,
                        std::size_t nameLength,
                        const std::uint8_t *value,
                        std::size_t valueLength,
                        std::uint8_t,
                        void *user)
    {
        const std::string key(reinterpret_cast<const char *>(name), nameLength);
        const auto found = self(user).streams_.find(frame->hd.stream_id);
        if (key == ":path" && found != self(user).streams_.end()) {
            found->second.path.assign(reinterpret_cast<const char *>(value), valueLength);
        }
        return 0;
    }

    static int onData(nghttp2_session *session, std::uint8_t, std::int32_t id, const std::uint8_t *data, std::size_t length, void *user)
    {
        const auto found = self(user).streams_.find(id);
        if (found == self(user).streams_.end()) {
            return 0;
        }
        auto &stream = found->second;
        stream.in.append(reinterpret_cast<const char *>(data), length);
        const bool tooLarge = stream.in.size() >= internal::prefixBytes && internal::frameLength(stream.in) > self(user).limits_.messageBytes;
        if (tooLarge) {
            nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id, NGHTTP2_ENHANCE_YOUR_CALM);
            return 0;
        }
        if (!self(user).isServer_) {
            self(user).takeMessages(id, stream);
        }
        return 0;
    }

    static int onFrameReceived(nghttp2_session *, const nghttp2_frame *frame, void *user)
    {
        auto &session = self(user);
        const bool carriesEnd = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
        if (!carriesEnd || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) {
            return 0;
        }
        const auto found = session.streams_.find(frame->hd.stream_id);
        if (found != session.streams_.end()) {
            found->second.endSeen = true;
            if (session.isServer_) {
                session.takeMessages(frame->hd.stream_id, found->second);
            }
        }
        return 0;
    }

    static int onFrameSent(nghttp2_session *, const nghttp2_frame *frame, void *user)
    {
        const auto found = self(user).streams_.find(frame->hd.stream_id);
        if (found != self(user).streams_.end()) {
            found->second.headersSent = true;
        }
        return 0;
    }

    static int onStreamClose(nghttp2_session *, std::int32_t id, std::uint32_t code, void *user)
    {
        self(user).endStream(id, code == NGHTTP2_REFUSED_STREAM, nghttp2_http2_strerror(code));
        return 0;
    }

    static ssize_t onReadData(nghttp2_session *,
                              std::int32_t id,
                              std::uint8_t *buffer,
                              std::size_t length,
                              std::uint32_t *flags,
                              nghttp2_data_source *,
                              void *user)
    {
        const auto found = self(user).streams_.find(id);
        if (found == self(user).streams_.end()) {
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        }
        auto &stream = found->second;
        const auto left = stream.out.size() - stream.outTaken;
        if (left == 0 && !stream.outFinished) {
            return NGHTTP2_ERR_DEFERRED;
        }
        const auto count = std::min(length, left);
        std::memcpy(buffer, stream.out.data() + stream.outTaken, count);
        stream.outTaken += count;
        if (stream.outTaken == stream.out.size()) {
            stream.out.clear();
            stream.out.shrink_to_fit();
            stream.outTaken = 0;
            if (stream.outFinished) {
                *flags |= NGHTTP2_DATA_FLAG_EOF;
            }
        }
        return static_cast<ssize_t>(count);
    }

    static nghttp2_data_provider provider()
    {
        nghttp2_data_provider provider{};
        provider.read_callback = onReadData;
        return provider;
    }
};

void ClientStream::cancel()
{
    const std::lock_guard lock(mutex_);
    cancelled_ = true;
    const auto session = session_.lock();
    if (session != nullptr && id_ >= 0) {
        asio::post(session->socket_.get_executor(), [session, id = id_] {
            session->cancelStream(id);
        });
    }
}

void ServerStream::send(std::string message, bool last)
{
    if (const auto session = session_.lock()) {
        asio::post(session->socket_.get_executor(), [session, id = id_, message = std::move(message), last] {
            session->sendOn(id, message, last);
        });
    }
}

void ServerStream::onClosed(std::function<void()> handler)
{
    if (const auto session = session_.lock()) {
        asio::dispatch(session->socket_.get_executor(), [session, id = id_, handler = std::move(handler)] {
            session->setClosedHandler(id, handler);
        });
    }
}

Session::Session(Socket socket, const SessionLimits &limits, RequestHandler handler)
    : socket_(std::move(socket))
    , limits_(limits)
    , handler_(std::move(handler))
    , pingTimer_(socket_.get_executor())
    , readBuffer_(internal::readBytes)
{
}

Session::~Session()
{
    nghttp2_session_del(session_);
}

std::shared_ptr<Session> Session::connectTo(Socket socket, const SessionLimits &limits)
{
    std::shared_ptr<Session> session(new Session(std::move(socket), limits, nullptr));
    asio::post(session->socket_.get_executor(), [session] {
        session->start(false);
    });
    return session;
}

std::shared_ptr<Session> Session::serve(Socket socket, const SessionLimits &limits, RequestHandler handler)
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
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, SessionCallbacks::onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, SessionCallbacks::onHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, SessionCallbacks::onData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, SessionCallbacks::onFrameReceived);
    nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, SessionCallbacks::onFrameSent);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, SessionCallbacks::onStreamClose);
    if (isServer) {
        nghttp2_session_server_new(&session_, callbacks, this);
    } else {
        nghttp2_session_client_new(&session_, callbacks, this);
    }
    nghttp2_session_callbacks_del(callbacks);
    const std::array<nghttp2_settings_entry, 2> settings{{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, limits_.streams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<std::uint32_t>(internal::windowBytes)},
    }};
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, 16 * internal::windowBytes);
    read();
    write();
    ping();
}

void Session::read()
{
    auto self = shared_from_this();
    socket_.async_read_some(asio::buffer(readBuffer_), [self](const boost::system::error_code &error, std::size_t count) {
        if (error) {
            self->shut(error.message());
            return;
        }
        if (!self->open_) {
            return;
        }
        self->receivedSincePing_ = true;
        const auto *bytes = reinterpret_cast<const std::uint8_t *>(self->readBuffer_.data());
        const auto taken = nghttp2_session_mem_recv(self->session_, bytes, count);
        if (taken < 0) {
            self->shut(nghttp2_strerror(static_cast<int>(taken)));
            return;
        }
        self->write();
        self->read();
    });
}

void Session::write()
{
    if (writing_ || !open_ || session_ == nullptr) {
        return;
    }
    writeBuffer_.clear();
    while (writeBuffer_.size() < internal::writeBytes) {
        const std::uint8_t *bytes = nullptr;
        const auto count = nghttp2_session_mem_send(session_, &bytes);
        if (count < 0) {
            shut(nghttp2_strerror(static_cast<int>(count)));
            return;
        }
        if (count == 0) {
            break;
        }
        writeBuffer_.append(reinterpret_cast<const char *>(bytes), static_cast<std::size_t>(count));
    }
    if (writeBuffer_.empty()) {
        const bool ended = nghttp2_session_want_read(session_) == 0 && nghttp2_session_want_write(session_) == 0;
        if (ended) {
            shut("session ended");
        }
        return;
    }
    writing_ = true;
    auto self = shared_from_this();
    asio::async_write(socket_, asio::buffer(writeBuffer_), [self](const boost::system::error_code &error, std::size_t) {
        self->writing_ = false;
        if (error) {
            self->shut(error.message());
            return;
        }
        self->write();
    });
}

void Session::ping()
{
    if (!open_) {
        return;
    }
    const bool heard = std::exchange(receivedSincePing_, false);
    if (heard || streams_.empty()) {
        unansweredPings_ = 0;
    } else if (unansweredPings_ >= internal::allowedUnansweredPings) {
        shut("the peer does not answer PING");
        return;
    } else {
        ++unansweredPings_;
        nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
        write();
    }
    pingTimer_.expires_after(limits_.pingPeriod);
    pingTimer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self != nullptr) {
            self->ping();
        }
    });
}

void Session::shut(const std::string &reason)
{
    if (!open_.exchange(false)) {
        return;
    }
    boost::system::error_code ignored;
    socket_.close(ignored);
    pingTimer_.cancel();
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
        self->shut(reason);
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

std::shared_ptr<ClientStream> Session::submit(const std::string &path, std::string message, StreamEvents events)
{
    auto handle = std::make_shared<ClientStream>();
    submitWith(handle, path, std::move(message), std::move(events));
    return handle;
}

void Session::submitWith(const std::shared_ptr<ClientStream> &handle, const std::string &path, std::string message, StreamEvents events)
{
    asio::post(socket_.get_executor(), [self = shared_from_this(), path, message = std::move(message), events = std::move(events), handle]() mutable {
        self->openStream(path, message, std::move(events), handle);
    });
}

void Session::openStream(const std::string &path, const std::string &message, StreamEvents events, const std::shared_ptr<ClientStream> &handle)
{
    const std::lock_guard lock(handle->mutex_);
    if (handle->cancelled_) {
        return;
    }
    if (!open_) {
        events.onEnd({false, false, "the connection is closed"});
        return;
    }
    const std::string method = "POST";
    const std::string scheme = "http";
    const std::string authority = "peer";
    const std::array<nghttp2_nv, 4> headers{
        internal::header(":method", method), internal::header(":scheme", scheme), internal::header(":authority", authority), internal::header(":path", path)};
    const auto provider = SessionCallbacks::provider();
    const auto id = nghttp2_submit_request(session_, nullptr, headers.data(), headers.size(), &provider, nullptr);
    if (id < 0) {
        events.onEnd({false, false, nghttp2_strerror(id)});
        return;
    }
    auto &stream = streams_[id];
    stream.out = internal::frame(message);
    stream.outFinished = true;
    stream.events = std::move(events);
    handle->session_ = weak_from_this();
    handle->id_ = id;
    write();
}

void Session::cancelStream(std::int32_t id)
{
    const auto found = streams_.find(id);
    if (found == streams_.end() || !open_) {
        return;
    }
    found->second.events = {};
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
    write();
}

void Session::sendOn(std::int32_t id, const std::string &message, bool last)
{
    const auto found = streams_.find(id);
    if (found == streams_.end() || !open_ || found->second.outFinished) {
        return;
    }
    auto &stream = found->second;
    stream.out += internal::frame(message);
    stream.outFinished = last;
    if (stream.out.size() - stream.outTaken > limits_.queuedBytes) {
        nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_ENHANCE_YOUR_CALM);
        write();
        return;
    }
    if (stream.responded) {
        nghttp2_session_resume_data(session_, id);
    } else {
        stream.responded = true;
        const std::string status = "200";
        const auto header = internal::header(":status", status);
        const auto provider = SessionCallbacks::provider();
        nghttp2_submit_response(session_, id, &header, 1, &provider);
    }
    write();
}

void Session::setClosedHandler(std::int32_t id, std::function<void()> handler)
{
    const auto found = streams_.find(id);
    if (found == streams_.end()) {
        handler();
        return;
    }
    found->second.onClosed = std::move(handler);
}

void Session::takeMessages(std::int32_t id, Stream &stream)
{
    std::size_t taken = 0;
    while (stream.in.size() - taken >= internal::prefixBytes) {
        const auto length = internal::frameLength(stream.in.substr(taken, internal::prefixBytes));
        if (stream.in.size() - taken - internal::prefixBytes < length) {
            break;
        }
        std::string message = stream.in.substr(taken + internal::prefixBytes, length);
        taken += internal::prefixBytes + length;
        if (isServer_) {
            stream.in.clear();
            stream.in.shrink_to_fit();
            handler_(std::make_shared<ServerStream>(shared_from_this(), id), stream.path, std::move(message));
            return;
        }
        if (stream.events.onMessage) {
            stream.events.onMessage(std::move(message));
        }
    }
    stream.in.erase(0, taken);
}

void Session::endStream(std::int32_t id, bool refused, const std::string &reason)
{
    const auto found = streams_.find(id);
    if (found == streams_.end()) {
        return;
    }
    auto stream = std::move(found->second);
    streams_.erase(found);
    if (stream.events.onEnd) {
        stream.events.onEnd({stream.endSeen, stream.headersSent && !refused, reason});
    }
    if (stream.onClosed) {
        stream.onClosed();
    }
}

} // namespace cyclamenspool::wire
