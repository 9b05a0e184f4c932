#include <cyclamenspool/wire/peerserver.h>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace cyclamenspool::wire {

namespace asio = boost::asio;

PeerServer::PeerServer(asio::io_context &context, const std::string &address, const SessionLimits &limits, RequestHandler handler)
    : context_(context)
    , limits_(limits)
    , handler_(std::move(handler))
    , strand_(context.get_executor())
    , listener_(strand_, address, [this] {
        return Listener::Destination{asio::make_strand(context_), [this](Session::Socket socket) {
                                         addSession(std::move(socket));
                                     }};
    })
{
    listener_.start();
}

void PeerServer::addSession(Session::Socket socket)
{
    const auto session = Session::startServer(std::move(socket), limits_, handler_);
    openConnections_.add();
    {
        const std::lock_guard lock(mutex_);
        const auto firstExpired = std::remove_if(sessions_.begin(), sessions_.end(), [](const std::weak_ptr<Session> &tracked) {
            return tracked.expired();
        });
        sessions_.erase(firstExpired, sessions_.end());
        sessions_.push_back(session);
    }
    session->onClosed([this] {
        openConnections_.remove();
    });
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
    openConnections_.onQuiet(std::move(onQuiet));
    asio::post(strand_, [this] {
        listener_.close([this] {
            for (const auto &session : openSessions()) {
                session->closeAfterStreams();
            }
            openConnections_.endAccepting();
        });
    });
}

void PeerServer::closeSessions()
{
    for (const auto &session : openSessions()) {
        session->close("this process is shutting down");
    }
}

} // namespace cyclamenspool::wire
