#pragma once

#include <cyclamenspool/config/documentstore.h>
#include <cyclamenspool/config/settings.h>
#include <cyclamenspool/core/now.h>
#include <cyclamenspool/http/server.h>
#include <cyclamenspool/member/fleetview.h>
#include <cyclamenspool/node/documentsync.h>
#include <cyclamenspool/telemetry/metrics.h>
#include <cyclamenspool/wire/peerconnectionpool.h>
#include <cyclamenspool/wire/peerserver.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cyclamenspool::node {

/** @brief Interface of the part of a process that depends on its role in the fleet, router or agent; called by its Node. */
class Role
{
public:
    virtual ~Role() = default;

    /** @brief Applies a new fleet view; calls arrive one at a time, in the order of the views. @param view View. */
    virtual void onView(std::shared_ptr<const member::FleetView> view) = 0;

    /**
     * @brief Does the periodic work, every 50 ms.
     * @param timeSinceServiceContact Time since the last contact with the platform's services, directly or through peers.
     */
    virtual void onTick(core::Milliseconds timeSinceServiceContact) = 0;

    /**
     * @brief Handles a message of another process that the node does not handle itself.
     * @param stream Stream for the replies.
     * @param path Path of the stream; it determines the type of the message.
     * @param message Serialized message.
     */
    virtual void onMessage(const std::shared_ptr<wire::ServerStream> &stream, const std::string &path, std::string message) = 0;

    /** @brief Answers an HTTP request for a path that the node does not serve itself. @param request Request. @param responder Writes the response. */
    virtual boost::asio::awaitable<void> onHttp(const http::Request &request, http::Responder &responder) = 0;

    /** @brief Starts to reject new requests. */
    virtual void beginShutdown() = 0;

    /** @brief Returns the number of requests without a final response. */
    [[nodiscard]] virtual std::size_t openRequests() const = 0;

    /** @brief Adds the role's fields to the status page. @param status Page. */
    virtual void addStatus(boost::json::object &status) const = 0;

    /** @brief Sets the role's metrics. @param metrics Destination. */
    virtual void addMetrics(telemetry::Metrics &metrics) const = 0;

    /** @brief Returns the ids of the requests of other processes that have no final response. */
    [[nodiscard]] virtual std::vector<std::string> openPeerRequests() const = 0;
};

/** @brief Runtime that router and agent processes share: worker threads, documents, connections to peers, operator pages and the graceful shutdown. */
class Node
{
public:
    /** @brief Creates a node that does not run yet. @param settings Settings. */
    explicit Node(config::Settings settings);

    /**
     * @brief Runs the process until its shutdown has ended.
     *
     * SIGTERM or SIGINT starts the graceful shutdown: the process first reports "not ready" for Settings::unreadyPeriod, then
     * rejects new requests, and stops when every connection of its servers has ended, or after Settings::shutdownLimit. A second signal ends the process
     * at once with exit code 1.
     * @param role Role; must outlive the call.
     * @return Exit code.
     */
    int run(Role &role);

    /** @brief Re-reads the documents from the platform's services and from peers. @param done Called afterwards, whether or not the reads succeeded. */
    void refresh(std::function<void()> done);

    /** @brief Returns the context of all sockets and timers. */
    [[nodiscard]] boost::asio::io_context &context() noexcept
    {
        return context_;
    }

    /** @brief Returns the pool of connections to other processes. */
    [[nodiscard]] wire::PeerConnectionPool &peers() noexcept
    {
        return peers_;
    }

    /** @brief Returns the settings. */
    [[nodiscard]] const config::Settings &settings() const noexcept
    {
        return settings_;
    }

    /** @brief Returns the metrics. */
    [[nodiscard]] telemetry::Metrics &metrics() noexcept
    {
        return metrics_;
    }

private:
    void tick();
    void publishView();
    void onSignal();
    void drain(core::MonotonicTime deadline);
    void closeServers(core::MonotonicTime deadline);
    void stopIfQuiet();
    void stopOverdue();
    [[nodiscard]] bool logDrained();
    void handleMessage(const std::shared_ptr<wire::ServerStream> &stream, const std::string &path, std::string message);
    boost::asio::awaitable<void> handleHttp(const http::Request &request, http::Responder &responder);
    [[nodiscard]] std::string statusPage() const;
    [[nodiscard]] std::string metricsPage();
    [[nodiscard]] bool isReady() const;
    void awaitSignal();

    const config::Settings settings_;
    boost::asio::io_context context_;
    telemetry::Metrics metrics_;
    config::DocumentStore store_;
    wire::PeerConnectionPool peers_;
    DocumentSync sync_;
    boost::asio::steady_timer tickTimer_;
    boost::asio::steady_timer drainTimer_;
    boost::asio::signal_set signals_;
    std::unique_ptr<wire::PeerServer> peerServer_;
    std::unique_ptr<http::Server> httpServer_;
    Role *role_ = nullptr;
    std::atomic<bool> draining_{false};
    std::atomic<int> openServers_{2}; /* servers with open requests or connections; the process stops at 0 */
    std::atomic<std::uint64_t> cutStreams_{0}; /* requests of other processes that the shutdown limit has cut */
    std::atomic<bool> drained_{false}; /* the outcome of the shutdown is logged */
    std::atomic<bool> viewPublished_{false}; /* the role has received its first view */
    std::mutex viewMutex_; /* held while a view is passed to the role, so that views arrive in order */
};

} // namespace cyclamenspool::node
