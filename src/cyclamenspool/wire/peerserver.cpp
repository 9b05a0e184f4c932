#include <cyclamenspool/wire/peerserver.h>

#include <cyclamenspool/telemetry/log.h>
#include <cyclamenspool/wire/endpoint.h>

#include <boost/asio/post.hpp>

#include <algorithm>

namespace cyclamenspool::wire {

namespace asio = boost::asio;

namespace internal {

constexpr std::chrono::milliseconds acceptRetryPause{50}; /* after a failed accept, for example without free descriptors */

} // namespace internal

PeerServer::PeerServer(asio::io_context &context, const std::string &address, const SessionLimits &limits, RequestHandler handler)
    : context_(context)
    , limits_(limits)
    , handler_(std::move(handler))
    , acceptor_(asio::make_strand(context), parseEndpoint(address))
    , retryTimer_(acceptor_.get_executor())
{
    accept();
}

void PeerServer::accept()
{
    acceptor_.async_accept(asio::make_strand(context_), [this](const boost::system::error_code &error, Session::Socket socket) {
        if (!acceptor_.is_open()) {
            return;
        }
        if (error) {
            telemetry::logRateLimited("accept_failed", {{"reason", error.message()}});
            retryTimer_.expires_after(internal::acceptRetryPause);
            retryTimer_.async_wait([this](const boost::system::error_code &waitError) {
                if (!waitError && acceptor_.is_open()) {
                    accept();
                }
            });
            return;
        }
        trackSession(Session::startServer(std::move(socket), limits_, handler_));
        accept();
    });
}

void PeerServer::trackSession(const std::shared_ptr<Session> &session)
{
    const std::lock_guard lock(mutex_);
    const auto firstExpired = std::remove_if(sessions_.begin(), sessions_.end(), [](const std::weak_ptr<Session> &tracked) {
        return tracked.expired();
    });
    sessions_.erase(firstExpired, sessions_.end());
    sessions_.push_back(session);
}

void PeerServer::close()
{
    asio::post(acceptor_.get_executor(), [this] {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
        retryTimer_.cancel();
    });
    const std::lock_guard lock(mutex_);
    for (const auto &tracked : sessions_) {
        if (const auto session = tracked.lock()) {
            session->close("this process is shutting down");
        }
    }
}

} // namespace cyclamenspool::wire
