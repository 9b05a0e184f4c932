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

using CallerEvent = std::variant<AnswerBegin, AnswerChunk, AnswerEnd, AnswerFailure>;

/** @brief Queue of the events for one caller, filled by any thread and emptied on the caller's connection. */
class CallerChannel : public std::enable_shared_from_this<CallerChannel>
{
public:
    /** @brief Creates an empty queue. @param executor Executor of the caller's connection. */
    explicit CallerChannel(const boost::asio::any_io_executor &executor);

    /** @brief Adds an event. @param event Event. @return False if too many bytes wait for the caller. */
    bool push(CallerEvent event);

    /** @brief Waits for the next event; to be awaited on the connection's executor. @return Event. */
    boost::asio::awaitable<CallerEvent> next();

private:
    [[nodiscard]] bool pop(CallerEvent &event);

    std::mutex mutex_;
    std::deque<CallerEvent> events_;
    std::size_t bytes_ = 0;
    boost::asio::steady_timer wakeUp_;
};

} // namespace cyclamenspool::router
