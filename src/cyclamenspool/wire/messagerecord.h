#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace cyclamenspool::wire::internal {

inline constexpr std::size_t lengthPrefixBytes = 4; /* size of a record's length prefix, a big-endian integer */

/** @brief Encodes a message as a length-prefixed record. @param message Message, less than 4 GiB. @return Length prefix and message. */
[[nodiscard]] inline std::string encodeRecord(const std::string &message)
{
    const auto size = static_cast<std::uint32_t>(message.size());
    std::string record;
    record.reserve(lengthPrefixBytes + message.size());
    for (int shift = 24; shift >= 0; shift -= 8) {
        record.push_back(static_cast<char>(size >> shift));
    }
    record += message;
    return record;
}

/** @brief Decodes a length prefix. @param buffer Starts with a record; holds at least the whole prefix. @return Length of the message in bytes. */
[[nodiscard]] inline std::size_t decodeRecordLength(const std::string &buffer)
{
    std::uint32_t size = 0;
    for (std::size_t i = 0; i < lengthPrefixBytes; ++i) {
        size = (size << 8U) | static_cast<unsigned char>(buffer[i]);
    }
    return size;
}

} // namespace cyclamenspool::wire::internal
