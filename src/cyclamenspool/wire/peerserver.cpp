#include <cyclamenspool/wire/peerserver.h>

#include <cyclamenspool/telemetry/log.h>
#include <cyclamenspool/wire/endpoint.h>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

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
    , endpoint_(acceptor_.local_endpoint())
    , retryTimer_(acceptor_.get_executor())
{
    accept();
}

void PeerServer::accept()
{
    acceptor_.async_accept(asio::make_strand(context_), [this](const boost::system::error_code &error, Session::Socket socket) {
        if (!error) {
            addSession(std::move(socket));
        }
        if (isClosing_) {
            acceptQueued();
        } else if (!error) {
            accept();
        } else {
            telemetry::logRateLimited("accept_failed", {{"reason", error.message()}});
            retryTimer_.expires_after(internal::acceptRetryPause);
            retryTimer_.async_wait([this](const boost::system::error_code &) {
                isClosing_ ? acceptQueued() : accept();
            });
        }
    });
}

void PeerServer::acceptQueued()
{
    boost::system::error_code error;
    acceptor_.non_blocking(true, error);
    while (!error) {
        Session::Socket socket(asio::make_strand(context_));
        acceptor_.accept(socket, error);
        if (!error) {
            addSession(std::move(socket));
        }
    }
    acceptor_.close(error);
    for (const auto &session : openSessions()) {
        session->closeAfterStreams();
    }
    {
        const std::lock_guard lock(mutex_);
        isListening_ = false;
    }
    callIfQuiet();
}

void PeerServer::addSession(Session::Socket socket)
{
    const auto session = Session::startServer(std::move(socket), limits_, handler_);
    {
        const std::lock_guard lock(mutex_);
        const auto firstExpired = std::remove_if(sessions_.begin(), sessions_.end(), [](const std::weak_ptr<Session> &tracked) {
            return tracked.expired();
        });
        sessions_.erase(firstExpired, sessions_.end());
        sessions_.push_back(session);
        ++openSessions_;
    }
    session->onClosed([this] {
        onSessionClosed();
    });
}

void PeerServer::onSessionClosed()
{
    {
        const std::lock_guard lock(mutex_);
        --openSessions_;
    }
    callIfQuiet();
}

void PeerServer::callIfQuiet()
{
    std::function<void()> handler;
    {
        const std::lock_guard lock(mutex_);
        if (isListening_ || openSessions_ > 0) {
            return;
        }
        handler = std::exchange(onQuiet_, nullptr);
    }
    if (handler) {
        handler();
    }
}

std::vector<std::shared_ptr<Session>> PeerServer::openSessions()
{
    std::vector<std::shared_ptr<Session>> sessions;
    const std::lock_guard lock(mutex_);
    for (const auto &tracked : sessions_) {
        if (auto session = tracked.lock()) {
            sessions.push_back(std::move(session));
        }
    }
    return sessions;
}

void PeerServer::close(std::function<void()> onQuiet)
{
    {
        const std::lock_guard lock(mutex_);
        onQuiet_ = std::move(onQuiet);
    }
    asio::post(acceptor_.get_executor(), [this] {
        isClosing_ = true;
        boost::system::error_code ignored;
        acceptor_.cancel(ignored);
        retryTimer_.cancel();
    });
}

void PeerServer::closeSessions()
{
    for (const auto &session : openSessions()) {
        session->close("this process is shutting down");
    }
}

} // namespace cyclamenspool::wire
