#include <cyclamenspool/gateway/worker.h>

#include <cyclamenspool/gateway/callersession.h>
#include <cyclamenspool/wire/eventloop.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <vector>

namespace cyclamenspool::gateway {

Worker::Worker(Dispatcher &dispatcher, std::uint64_t seed)
    : dispatcher_(dispatcher)
    , random_(seed)
    , connectionPool_(context_)
    , startQueue_(context_)
{
}

void Worker::run()
{
    const auto guard = boost::asio::make_work_guard(context_);
    wire::runEventLoop(context_);
}

void Worker::stop()
{
    // What was queued before may queue the handlers of its writes, which run before the sessions are looked at.
    boost::asio::post(context_, [this] {
        forEachSession(&CallerSession::reportCut);
        boost::asio::post(context_, [this] {
            context_.stop();
        });
    });
}

void Worker::setShutdownPlan(const ShutdownPlan &plan) noexcept
{
    drainFrom_ = plan.closeAfterResponse;
    refuseFrom_ = plan.refuse;
    requestsEndAt_ = plan.endRequests;
}

bool Worker::isDraining() const noexcept
{
    return hasPassed(drainFrom_);
}

bool Worker::isRefusingRequests() const noexcept
{
    return hasPassed(refuseFrom_);
}

bool Worker::hasPassed(const std::atomic<core::MonotonicTime> &time) noexcept
{
    const auto value = time.load();
    return value != core::MonotonicTime::max() && std::chrono::steady_clock::now() >= value;
}

core::MonotonicTime::duration Worker::timeUntilRequestsEnd() const noexcept
{
    const auto end = requestsEndAt_.load();
    return end == core::MonotonicTime::max() ? core::MonotonicTime::duration::max() : end - std::chrono::steady_clock::now();
}

void Worker::closeIdleSessions()
{
    forEachSession(&CallerSession::closeIfIdle);
}

void Worker::endRequests()
{
    forEachSession(&CallerSession::endRequest);
}

void Worker::forEachSession(void (CallerSession::*action)())
{
    boost::asio::post(context_, [this, action] {
        std::vector<std::shared_ptr<CallerSession>> open;
        for (auto *session : sessions_) {
            open.push_back(session->shared_from_this());
        }
        for (const auto &session : open) {
            ((*session).*action)();
        }
    });
}

void Worker::addSession(CallerSession &session)
{
    sessions_.insert(&session);
}

void Worker::removeSession(CallerSession &session)
{
    sessions_.erase(&session);
    --sessionCount_;
}

} // namespace cyclamenspool::gateway
