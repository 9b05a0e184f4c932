#pragma once

#include <cyclamenspool/router/core/actions.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <variant>

namespace cyclamenspool::router {

/** @brief A part of a response on its way to the caller. */
using ResponseEvent = std::variant<ResponseHead, ResponseChunk, ResponseEnd, ResponseFailure>;

/** @brief Queue of response events for one caller. Any thread may push; only the executor of the caller's connection may pop. */
class CallerChannel : public std::enable_shared_from_this<CallerChannel>
{
public:
    /** @brief Creates an empty queue. @param executor Executor of the caller's connection. */
    explicit CallerChannel(const boost::asio::any_io_executor &executor);

    /**
     * @brief Adds an event, also above the limit.
     * @param event Event.
     * @return False if more than 4 MiB of response data are now queued, because the caller reads too slowly.
     */
    bool push(ResponseEvent event);

    /** @brief Waits for the next event and removes it. To be awaited on the executor of the caller's connection. @return Event. */
    boost::asio::awaitable<ResponseEvent> next();

private:
    [[nodiscard]] bool pop(ResponseEvent &event);

    std::mutex mutex_;
    std::deque<ResponseEvent> events_;
    std::size_t queuedBytes_ = 0;
    boost::asio::steady_timer pushSignal_; /* never expires; cancelled by push() to resume next() */
};

} // namespace cyclamenspool::router
