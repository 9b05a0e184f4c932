#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace cyclamenspool::wire::internal {

inline constexpr std::size_t prefixBytes = 4; /* a message's length, highest byte first, goes before it */

/** @brief Puts a message's length before it. @param message Message. @return Bytes of the stream. */
[[nodiscard]] inline std::string frame(const std::string &message)
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

/** @brief Reads a message's length. @param buffer Bytes of the stream, at least prefixBytes. @return Bytes of the message. */
[[nodiscard]] inline std::size_t frameLength(const std::string &buffer)
{
    std::uint32_t size = 0;
    for (std::size_t i = 0; i < prefixBytes; ++i) {
        size = (size << 8U) | static_cast<unsigned char>(buffer[i]);
    }
    return size;
}

} // namespace cyclamenspool::wire::internal
