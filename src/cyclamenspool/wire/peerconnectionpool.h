#pragma once

#include <cyclamenspool/wire/session.h>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace cyclamenspool::wire {

/** @brief Client sessions to other processes, one per address, connected on demand. Thread safe. Must outlive the handlers that run on its context. */
class PeerConnectionPool
{
public:
    /** @brief Creates an empty pool. @param context Context of the sockets. @param limits Limits of each session. */
    PeerConnectionPool(boost::asio::io_context &context, const SessionLimits &limits);

    /**
     * @brief Opens a stream to a peer; connects first if there is no open session.
     * @param address IP address and port.
     * @param path Value of :path.
     * @param message Request message.
     * @param callbacks Callbacks; if the connection fails, onEnd reports that nothing was sent, even if the stream was cancelled while connecting.
     * @return Handle.
     * @throws std::exception If the address is malformed.
     */
    std::shared_ptr<ClientStream> submit(const std::string &address, const std::string &path, std::string message, StreamCallbacks callbacks);

    /** @brief Returns whether a connection to an address is being established. */
    [[nodiscard]] bool isConnecting(const std::string &address) const;

    /** @brief Closes all sessions. Does not abort connections that are being established. */
    void close();

private:
    struct PendingRequest {
        std::string path;
        std::string message;
        StreamCallbacks callbacks;
        std::shared_ptr<ClientStream> handle;
    };
    struct Peer {
        std::shared_ptr<Session> session;
        std::vector<PendingRequest> pending;
        bool connecting = false;
    };

    void connect(const std::string &address, const boost::asio::ip::tcp::endpoint &endpoint);
    void onConnected(const std::string &address, Session::Socket socket);
    void onConnectFailed(const std::string &address, const std::string &reason);

    boost::asio::io_context &context_;
    SessionLimits limits_;
    mutable std::mutex mutex_;
    std::map<std::string, Peer> peers_;
};

} // namespace cyclamenspool::wire
