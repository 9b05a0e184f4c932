#pragma once

#include <cyclamenspool/gateway/eventboundary.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace cyclamenspool::gateway {

/**
 * @brief Splits a byte stream of server-sent events into complete events and tracks the last event id.
 *
 * A line ends with LF, CR or CRLF; an event ends with a blank line. Each byte is examined once.
 */
class EventScanner
{
public:
    /** @brief Creates a scanner. @param lastId Id of the last event that the caller has received; empty for a new stream. */
    explicit EventScanner(std::string lastId)
        : lastEventId_(std::move(lastId))
    {
    }

    /** @brief Appends bytes of the stream. @param bytes Any number of bytes. @return Bytes of all events that are complete now, unchanged. */
    [[nodiscard]] std::string append(std::string_view bytes);

    /** @brief Discards an incomplete event before another backend server resumes the stream. */
    void discardPartialEvent() noexcept;

    /** @brief Returns the bytes after the last complete event. */
    [[nodiscard]] const std::string &partialEvent() const noexcept
    {
        return partialEvent_;
    }

    /** @brief Returns whether the incomplete event is longer than 256 KiB, so that it may never end. */
    [[nodiscard]] bool isOversized() const noexcept;

    /** @brief Returns the id of the last complete event that had one; before the first such event, the id given to the constructor. */
    [[nodiscard]] const std::string &lastEventId() const noexcept
    {
        return lastEventId_;
    }

private:
    void parseLine(std::string_view line);

    std::string partialEvent_;
    std::size_t scanned_ = 0; /* bytes of the incomplete event that were examined */
    std::size_t lineStart_ = 0; /* of the incomplete line */
    EventBoundary boundary_;
    bool hasId_ = false; /* of the incomplete event */
    std::string id_; /* of the incomplete event */
    std::string lastEventId_;
};

} // namespace cyclamenspool::gateway
