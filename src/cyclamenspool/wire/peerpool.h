#pragma once

#include <cyclamenspool/wire/session.h>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace cyclamenspool::wire {

/** @brief Client sessions to other processes, one for each address, opened when first needed. Thread safe. */
class PeerPool
{
public:
    /** @brief Creates an empty pool. @param context Context of the sockets. @param limits Bounds of each session. */
    PeerPool(boost::asio::io_context &context, const SessionLimits &limits);

    /**
     * @brief Sends a message to a peer.
     * @param address IP number and port.
     * @param path Path.
     * @param message Message.
     * @param events Events; if the peer cannot be reached, onEnd says that nothing was sent.
     * @return Handle.
     */
    std::shared_ptr<ClientStream> submit(const std::string &address, const std::string &path, std::string message, StreamEvents events);

    /** @brief Closes all sessions. */
    void close();

private:
    struct Waiting {
        std::string path;
        std::string message;
        StreamEvents events;
        std::shared_ptr<ClientStream> handle;
    };
    struct Peer {
        std::shared_ptr<Session> session;
        std::vector<Waiting> waiting;
        bool connecting = false;
    };

    void connect(const std::string &address);
    void onConnected(const std::string &address, Session::Socket socket);
    void onFailed(const std::string &address, const std::string &reason);

    boost::asio::io_context &context_;
    SessionLimits limits_;
    std::mutex mutex_;
    std::map<std::string, Peer> peers_;
};

} // namespace cyclamenspool::wire
