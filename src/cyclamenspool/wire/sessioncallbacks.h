#pragma once

#include <nghttp2/nghttp2.h>

#include <cstddef>
#include <cstdint>

namespace cyclamenspool::wire {

class Session;

/** @brief nghttp2 callbacks of a Session; they run on its strand, with the Session as user data. */
struct SessionCallbacks {
    /** @brief Registers the callbacks. @param callbacks nghttp2 callback table. */
    static void install(nghttp2_session_callbacks *callbacks);

    /** @brief Returns a data provider that reads from the stream's send buffer. */
    [[nodiscard]] static nghttp2_data_provider dataProvider();

private:
    [[nodiscard]] static Session &sessionOf(void *user);
    static int onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *user);
    static int onHeader(nghttp2_session *,
                        const nghttp2_frame *frame,
                        const std::uint8_t *name,
                        std::size_t nameLength,
                        const std::uint8_t *value,
                        std::size_t valueLength,
                        std::uint8_t,
                        void *user);
    static int onData(nghttp2_session *session, std::uint8_t, std::int32_t id, const std::uint8_t *data, std::size_t length, void *user);
    static int onFrameReceived(nghttp2_session *, const nghttp2_frame *frame, void *user);
    static int onFrameSent(nghttp2_session *, const nghttp2_frame *frame, void *user);
    static int onStreamClose(nghttp2_session *, std::int32_t id, std::uint32_t code, void *user);
    static ssize_t onReadData(nghttp2_session *,
                              std::int32_t id,
                              std::uint8_t *buffer,
                              std::size_t length,
                              std::uint32_t *flags,
                              nghttp2_data_source *,
                              void *user);
};

} // namespace cyclamenspool::wire
