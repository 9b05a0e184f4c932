#include <cyclamenspool/router/callerchannel.h>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cyclamenspool::router {

namespace asio = boost::asio;

namespace internal {

constexpr std::size_t maxQueuedBytes = 4UL * 1024 * 1024; /* response data queued for a slow caller */

std::size_t dataSize(const ResponseEvent &event)
{
    const auto *chunk = std::get_if<ResponseChunk>(&event);
    return chunk == nullptr ? 0 : chunk->data.size();
}

} // namespace internal

CallerChannel::CallerChannel(const asio::any_io_executor &executor)
    : pushSignal_(executor)
{
}

bool CallerChannel::push(ResponseEvent event)
{
    bool isWithinLimit = true;
    {
        const std::lock_guard lock(mutex_);
        queuedBytes_ += internal::dataSize(event);
        isWithinLimit = queuedBytes_ <= internal::maxQueuedBytes;
        events_.push_back(std::move(event));
    }
    asio::post(pushSignal_.get_executor(), [self = shared_from_this()] {
        self->pushSignal_.cancel();
    });
    return isWithinLimit;
}

bool CallerChannel::pop(ResponseEvent &event)
{
    const std::lock_guard lock(mutex_);
    if (events_.empty()) {
        return false;
    }
    event = std::move(events_.front());
    events_.pop_front();
    queuedBytes_ -= internal::dataSize(event);
    return true;
}

asio::awaitable<ResponseEvent> CallerChannel::next()
{
    ResponseEvent event;
    while (!pop(event)) {
        boost::system::error_code ignored;
        pushSignal_.expires_at(asio::steady_timer::time_point::max());
        co_await pushSignal_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return event;
}

} // namespace cyclamenspool::router
