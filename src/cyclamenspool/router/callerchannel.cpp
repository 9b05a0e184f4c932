#include <cyclamenspool/router/callerchannel.h>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cyclamenspool::router {

namespace asio = boost::asio;

namespace internal {

constexpr std::size_t queuedBytesLimit = 4UL * 1024 * 1024; /* bytes that may wait for a slow caller */

std::size_t sizeOf(const CallerEvent &event)
{
    const auto *chunk = std::get_if<AnswerChunk>(&event);
    return chunk == nullptr ? 0 : chunk->data.size();
}

} // namespace internal

CallerChannel::CallerChannel(const asio::any_io_executor &executor)
    : wakeUp_(executor)
{
}

bool CallerChannel::push(CallerEvent event)
{
    bool fits = true;
    {
        const std::lock_guard lock(mutex_);
        bytes_ += internal::sizeOf(event);
        fits = bytes_ <= internal::queuedBytesLimit;
        events_.push_back(std::move(event));
    }
    asio::post(wakeUp_.get_executor(), [self = shared_from_this()] {
        self->wakeUp_.cancel();
    });
    return fits;
}

bool CallerChannel::pop(CallerEvent &event)
{
    const std::lock_guard lock(mutex_);
    if (events_.empty()) {
        return false;
    }
    event = std::move(events_.front());
    events_.pop_front();
    bytes_ -= internal::sizeOf(event);
    return true;
}

asio::awaitable<CallerEvent> CallerChannel::next()
{
    CallerEvent event;
    while (!pop(event)) {
        boost::system::error_code ignored;
        wakeUp_.expires_at(asio::steady_timer::time_point::max());
        co_await wakeUp_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return event;
}

} // namespace cyclamenspool::router
