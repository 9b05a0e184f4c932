#include <cyclamenspool/wire/sessioncallbacks.h>

#include <cyclamenspool/wire/messagerecord.h>
#include <cyclamenspool/wire/session.h>

#include <algorithm>
#include <cstring>
#include <string>

namespace cyclamenspool::wire {

void SessionCallbacks::install(nghttp2_session_callbacks *callbacks)
{
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, onFrameReceived);
    nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, onFrameSent);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, onStreamClose);
}

Session &SessionCallbacks::sessionOf(void *user)
{
    return *static_cast<Session *>(user);
}

int SessionCallbacks::onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *user)
{
    auto &session = sessionOf(user);
    // Streams above the one that GOAWAY names are not handled: the peer knows that they were not.
    if (session.isServer_ && !session.draining_) {
        session.lastStream_ = std::max(session.lastStream_, frame->hd.stream_id);
        session.streams_.try_emplace(frame->hd.stream_id);
    }
    return 0;
}

int SessionCallbacks::onHeader(nghttp2_session *,
                               const nghttp2_frame *frame,
                               const std::uint8_t *name,
                               std::size_t nameLength,
                               const std::uint8_t *value,
                               std::size_t valueLength,
                               std::uint8_t,
                               void *user)
{
    const std::string key(reinterpret_cast<const char *>(name), nameLength);
    const auto found = sessionOf(user).streams_.find(frame->hd.stream_id);
    if (key == ":path" && found != sessionOf(user).streams_.end()) {
        found->second.path.assign(reinterpret_cast<const char *>(value), valueLength);
    }
    return 0;
}

int SessionCallbacks::onData(nghttp2_session *session, std::uint8_t, std::int32_t id, const std::uint8_t *data, std::size_t length, void *user)
{
    const auto found = sessionOf(user).streams_.find(id);
    if (found == sessionOf(user).streams_.end()) {
        return 0;
    }
    auto &stream = found->second;
    stream.receiveBuffer.append(reinterpret_cast<const char *>(data), length);
    const bool isLengthKnown = stream.receiveBuffer.size() >= internal::lengthPrefixBytes;
    const auto recordLength = isLengthKnown ? internal::decodeRecordLength(stream.receiveBuffer) : 0;
    // A client sends one record, so bytes beyond its announced length are an error.
    const bool isBeyondRecord = isLengthKnown && sessionOf(user).isServer_ && stream.receiveBuffer.size() - internal::lengthPrefixBytes > recordLength;
    if (recordLength > sessionOf(user).limits_.maxMessageBytes || isBeyondRecord) {
        nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id, NGHTTP2_ENHANCE_YOUR_CALM);
        return 0;
    }
    if (!sessionOf(user).isServer_) {
        sessionOf(user).deliverMessages(id, stream);
    }
    return 0;
}

int SessionCallbacks::onFrameReceived(nghttp2_session *, const nghttp2_frame *frame, void *user)
{
    auto &session = sessionOf(user);
    const bool mayEndStream = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    if (!mayEndStream || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) {
        return 0;
    }
    const auto found = session.streams_.find(frame->hd.stream_id);
    if (found != session.streams_.end()) {
        found->second.endStreamReceived = true;
        if (session.isServer_) {
            session.deliverMessages(frame->hd.stream_id, found->second);
        }
    }
    return 0;
}

int SessionCallbacks::onFrameSent(nghttp2_session *, const nghttp2_frame *frame, void *user)
{
    const auto found = sessionOf(user).streams_.find(frame->hd.stream_id);
    if (found != sessionOf(user).streams_.end()) {
        found->second.frameSent = true;
    }
    return 0;
}

int SessionCallbacks::onStreamClose(nghttp2_session *, std::int32_t id, std::uint32_t code, void *user)
{
    sessionOf(user).endStream(id, code == NGHTTP2_REFUSED_STREAM, nghttp2_http2_strerror(code));
    return 0;
}

ssize_t SessionCallbacks::onReadData(nghttp2_session *,
                                     std::int32_t id,
                                     std::uint8_t *buffer,
                                     std::size_t length,
                                     std::uint32_t *flags,
                                     nghttp2_data_source *,
                                     void *user)
{
    const auto found = sessionOf(user).streams_.find(id);
    if (found == sessionOf(user).streams_.end()) {
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    auto &stream = found->second;
    const auto remaining = stream.sendBuffer.size() - stream.sendOffset;
    if (remaining == 0 && !stream.lastMessageQueued) {
        return NGHTTP2_ERR_DEFERRED;
    }
    const auto count = std::min(length, remaining);
    std::memcpy(buffer, stream.sendBuffer.data() + stream.sendOffset, count);
    stream.sendOffset += count;
    if (stream.sendOffset == stream.sendBuffer.size()) {
        stream.sendBuffer.clear();
        stream.sendBuffer.shrink_to_fit();
        stream.sendOffset = 0;
        if (stream.lastMessageQueued) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        }
    }
    return static_cast<ssize_t>(count);
}

nghttp2_data_provider SessionCallbacks::dataProvider()
{
    nghttp2_data_provider provider{};
    provider.read_callback = onReadData;
    return provider;
}

} // namespace cyclamenspool::wire
