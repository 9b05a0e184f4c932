#include <cyclamenspool/wire/session.h>

#include <cyclamenspool/wire/messageframe.h>
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
