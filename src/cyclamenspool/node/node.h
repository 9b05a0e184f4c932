#pragma once

#include <cyclamenspool/config/documentstore.h>
#include <cyclamenspool/config/settings.h>
#include <cyclamenspool/core/now.h>
#include <cyclamenspool/http/server.h>
#include <cyclamenspool/member/fleetview.h>
#include <cyclamenspool/node/documentsync.h>
#include <cyclamenspool/telemetry/metrics.h>
#include <cyclamenspool/wire/peerpool.h>
#include <cyclamenspool/wire/peerserver.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace cyclamenspool::node {

/** @brief What a role adds to a node. */
class Role
{
public:
    virtual ~Role() = default;

    /** @brief Takes a new view of the fleet. @param view View. */
    virtual void onView(std::shared_ptr<const member::FleetView> view) = 0;

    /** @brief Runs the periodic work. @param newsAge Time since the platform's services were last heard. */
    virtual void onTick(core::Milliseconds newsAge) = 0;

    /** @brief Takes a message of another process. @param stream Stream. @param path Path. @param message Message. */
    virtual void onMessage(const std::shared_ptr<wire::ServerStream> &stream, const std::string &path, std::string message) = 0;

    /** @brief Answers a request that is not one of the node's own pages. @param request Request. @param responder Responder. @return Completion. */
    virtual boost::asio::awaitable<void> onHttp(const http::Request &request, http::Responder &responder) = 0;

    /** @brief Starts to refuse new requests. */
    virtual void beginShutdown() = 0;

    /** @brief Counts the requests under way. @return Count. */
    [[nodiscard]] virtual std::size_t openRequests() const = 0;

    /** @brief Adds the role's part of the status page. @param status Page. */
    virtual void addStatus(boost::json::object &status) const = 0;

    /** @brief Sets the role's metrics. @param metrics Metrics. */
    virtual void addMetrics(telemetry::Metrics &metrics) const = 0;
};

/** @brief A process of the system: workers, documents, peer and operator interfaces, and the graceful shutdown. */
class Node
{
public:
    /** @brief Creates a node. @param settings Settings. */
    explicit Node(config::Settings settings);

    /** @brief Runs until the shutdown has ended. @param role Role. @return Exit code. */
    int run(Role &role);

    /** @brief Re-reads the documents, then calls back. @param done Called afterwards. */
    void refresh(std::function<void()> done);

    /** @brief Returns the context. @return Context of all sockets and timers. */
    [[nodiscard]] boost::asio::io_context &context() noexcept
    {
        return context_;
    }

    /** @brief Returns the sessions to other processes. @return Sessions. */
    [[nodiscard]] wire::PeerPool &peers() noexcept
    {
        return peers_;
    }

    /** @brief Returns the settings. @return Settings. */
    [[nodiscard]] const config::Settings &settings() const noexcept
    {
        return settings_;
    }

    /** @brief Returns the metrics. @return Metrics. */
    [[nodiscard]] telemetry::Metrics &metrics() noexcept
    {
        return metrics_;
    }

private:
    void tick();
    void publishView();
    void onSignal();
    void drain(core::MonotonicTime limit);
    void stop();
    void handleMessage(const std::shared_ptr<wire::ServerStream> &stream, const std::string &path, std::string message);
    boost::asio::awaitable<void> handleHttp(const http::Request &request, http::Responder &responder);
    [[nodiscard]] std::string statusPage() const;
    [[nodiscard]] std::string metricsPage();
    [[nodiscard]] bool isReady() const;
    void waitForSignal();

    const config::Settings settings_;
    boost::asio::io_context context_;
    telemetry::Metrics metrics_;
    config::DocumentStore store_;
    wire::PeerPool peers_;
    DocumentSync sync_;
    boost::asio::steady_timer tickTimer_;
    boost::asio::steady_timer drainTimer_;
    boost::asio::signal_set signals_;
    std::unique_ptr<wire::PeerServer> peerServer_;
    std::unique_ptr<http::Server> httpServer_;
    Role *role_ = nullptr;
    std::atomic<bool> draining_{false};
    std::atomic<bool> viewPublished_{false};
    std::mutex viewMutex_; /* keeps views in their order */
};

} // namespace cyclamenspool::node
