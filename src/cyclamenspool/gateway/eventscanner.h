#pragma once

#include <string>
#include <string_view>

namespace cyclamenspool::gateway {

/** @brief Cuts a stream of server-sent events into whole events and remembers the last id. */
class EventScanner
{
public:
    /** @brief Creates a scanner. @param lastId Id that the stream goes on from; empty: from its start. */
    explicit EventScanner(std::string lastId)
        : lastId_(std::move(lastId))
    {
    }

    /** @brief Takes bytes. @param bytes Bytes. @return Bytes of all events that are whole now. */
    [[nodiscard]] std::string take(std::string_view bytes);

    /** @brief Drops the event that was cut, before the stream goes on from another backend server. */
    void dropRest() noexcept
    {
        rest_.clear();
    }

    /** @brief Returns the bytes of the event that is not whole. @return Bytes. */
    [[nodiscard]] const std::string &rest() const noexcept
    {
        return rest_;
    }

    /** @brief Returns the id of the last whole event. @return Id; empty: none. */
    [[nodiscard]] const std::string &lastId() const noexcept
    {
        return lastId_;
    }

private:
    void readId(std::string_view event);

    std::string rest_;
    std::string lastId_;
};

} // namespace cyclamenspool::gateway
