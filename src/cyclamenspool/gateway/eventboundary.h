#pragma once

#include <string_view>

namespace cyclamenspool::gateway {

/** @brief Tracks line and event ends in a stream of server-sent events without storing bytes. A line ends with LF, CR or CRLF, an event with a blank line. */
class EventBoundary
{
public:
    /** @brief What a byte of the stream is. */
    enum class Mark : int {
        Text, /**< Byte of a line. */
        LineEnd, /**< Ends a line that is not blank. */
        EventEnd, /**< Ends a blank line. */
        RestOfLineEnd, /**< LF of a CRLF; the CR was the end. */
    };

    /** @brief Advances by one byte. */
    [[nodiscard]] Mark advance(char byte) noexcept;

    /** @brief Advances by any number of bytes. */
    void advance(std::string_view bytes) noexcept;

    /** @brief Returns whether bytes have followed the last event end. */
    [[nodiscard]] bool isInsideEvent() const noexcept
    {
        return isInsideEvent_;
    }

private:
    bool isLineBlank_ = true;
    bool isAfterCarriageReturn_ = false;
    bool isInsideEvent_ = false;
};

} // namespace cyclamenspool::gateway
