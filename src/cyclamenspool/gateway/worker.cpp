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
{
}

void Worker::run()
{
    const auto guard = boost::asio::make_work_guard(context_);
    wire::runEventLoop(context_);
}

void Worker::stop()
{
    context_.stop();
}

void Worker::beginDrain()
{
    draining_ = true;
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

void Worker::setSessionRegistered(CallerSession &session, bool isRegistered)
{
    if (isRegistered) {
        sessions_.insert(&session);
    } else {
        sessions_.erase(&session);
    }
    sessionCount_ = sessions_.size();
}

} // namespace cyclamenspool::gateway
