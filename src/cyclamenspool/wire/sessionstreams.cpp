#include <cyclamenspool/wire/session.h>

#include <cyclamenspool/telemetry/log.h>
#include <cyclamenspool/wire/messagerecord.h>
#include <cyclamenspool/wire/sessioncallbacks.h>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include <array>
#include <cstring>
#include <utility>

namespace cyclamenspool::wire {

namespace asio = boost::asio;

namespace internal {

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

/** @brief Calls a handler from within nghttp2, through which no exception may pass: it is logged. @return False if the handler has failed. */
template<typename Handler>
bool callHandler(const Handler &handler)
{
    try {
        handler();
        return true;
    } catch (const std::exception &error) {
        telemetry::logRateLimited("handler_failed", {{"reason", error.what()}});
    } catch (...) {
        telemetry::logRateLimited("handler_failed", {{"reason", "unknown exception"}});
    }
    return false;
}

} // namespace internal

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
            session->sendOnStream(id, message, last);
        });
    }
}

void ServerStream::onClosed(std::function<void()> handler)
{
    const auto session = session_.lock();
    if (session == nullptr) {
        handler();
        return;
    }
    asio::dispatch(session->socket_.get_executor(), [session, id = id_, handler = std::move(handler)] {
        session->setClosedHandler(id, handler);
    });
}

std::shared_ptr<ClientStream> Session::submit(const std::string &path, std::string message, StreamCallbacks callbacks)
{
    auto handle = std::make_shared<ClientStream>();
    submitWithHandle(handle, path, std::move(message), std::move(callbacks));
    return handle;
}

void Session::submitWithHandle(const std::shared_ptr<ClientStream> &handle, const std::string &path, std::string message, StreamCallbacks callbacks)
{
    asio::post(socket_.get_executor(), [self = shared_from_this(), path, message = std::move(message), callbacks = std::move(callbacks), handle]() mutable {
        self->openStream(path, message, std::move(callbacks), handle);
    });
}

void Session::openStream(const std::string &path, const std::string &message, StreamCallbacks callbacks, const std::shared_ptr<ClientStream> &handle)
{
    const auto failure = tryOpenStream(path, message, callbacks, *handle);
    if (!failure.empty() && callbacks.onEnd) {
        callbacks.onEnd({false, false, failure});
    }
}

std::string Session::tryOpenStream(const std::string &path, const std::string &message, StreamCallbacks &callbacks, ClientStream &handle)
{
    const std::lock_guard lock(handle.mutex_);
    if (handle.cancelled_) {
        return {};
    }
    if (!open_) {
        return "the connection to the peer is closed";
    }
    const std::string method = "POST";
    const std::string scheme = "http";
    const std::string authority = "peer";
    const std::array<nghttp2_nv, 4> headers{
        internal::header(":method", method), internal::header(":scheme", scheme), internal::header(":authority", authority), internal::header(":path", path)};
    const auto provider = SessionCallbacks::dataProvider();
    const auto id = nghttp2_submit_request(session_, nullptr, headers.data(), headers.size(), &provider, nullptr);
    if (id < 0) {
        return nghttp2_strerror(id);
    }
    auto &stream = streams_[id];
    stream.sendBuffer = internal::encodeRecord(message);
    stream.lastMessageQueued = true;
    stream.callbacks = std::move(callbacks);
    handle.session_ = weak_from_this();
    handle.id_ = id;
    write();
    return {};
}

void Session::cancelStream(std::int32_t id)
{
    const auto found = streams_.find(id);
    if (found == streams_.end() || !open_) {
        return;
    }
    found->second.callbacks = {};
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
    write();
}

void Session::sendOnStream(std::int32_t id, const std::string &message, bool last)
{
    const auto found = streams_.find(id);
    if (found == streams_.end() || !open_ || found->second.lastMessageQueued) {
        return;
    }
    auto &stream = found->second;
    stream.sendBuffer += internal::encodeRecord(message);
    stream.lastMessageQueued = last;
    if (stream.sendBuffer.size() - stream.sendOffset > limits_.maxQueuedBytes) {
        nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_ENHANCE_YOUR_CALM);
        write();
        return;
    }
    if (stream.responseStarted) {
        nghttp2_session_resume_data(session_, id);
    } else {
        stream.responseStarted = true;
        const std::string status = "200";
        const auto header = internal::header(":status", status);
        const auto provider = SessionCallbacks::dataProvider();
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

void Session::deliverMessages(std::int32_t id, Stream &stream)
{
    std::size_t consumed = 0;
    while (stream.receiveBuffer.size() - consumed >= internal::lengthPrefixBytes) {
        const auto length = internal::decodeRecordLength(stream.receiveBuffer.substr(consumed, internal::lengthPrefixBytes));
        if (stream.receiveBuffer.size() - consumed - internal::lengthPrefixBytes < length) {
            break;
        }
        std::string message = stream.receiveBuffer.substr(consumed + internal::lengthPrefixBytes, length);
        consumed += internal::lengthPrefixBytes + length;
        if (isServer_) {
            stream.receiveBuffer.clear();
            stream.receiveBuffer.shrink_to_fit();
            const bool isHandled = internal::callHandler([&] {
                handler_(std::make_shared<ServerStream>(shared_from_this(), id), stream.path, std::move(message));
            });
            if (!isHandled) {
                nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_INTERNAL_ERROR);
            }
            return;
        }
        if (stream.callbacks.onMessage) {
            internal::callHandler([&] {
                stream.callbacks.onMessage(std::move(message));
            });
        }
    }
    stream.receiveBuffer.erase(0, consumed);
}

void Session::endStream(std::int32_t id, bool refused, const std::string &reason)
{
    const auto found = streams_.find(id);
    if (found == streams_.end()) {
        return;
    }
    auto stream = std::move(found->second);
    streams_.erase(found);
    if (stream.callbacks.onEnd) {
        internal::callHandler([&] {
            stream.callbacks.onEnd({stream.endStreamReceived, stream.frameSent && !refused, reason});
        });
    }
    if (stream.onClosed) {
        internal::callHandler(stream.onClosed);
    }
}

} // namespace cyclamenspool::wire
