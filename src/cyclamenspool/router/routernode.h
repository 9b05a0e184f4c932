#pragma once

#include <cyclamenspool/node/node.h>
#include <cyclamenspool/router/attemptstreams.h>
#include <cyclamenspool/router/callerchannel.h>
#include <cyclamenspool/router/core/routercore.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace cyclamenspool::router {

/** @brief Router role of a node on an entry VM: accepts callers' requests, forwards them to agents and relays the responses. */
class RouterNode final : public node::Role
{
public:
    /** @brief Creates a router. @param node Node that runs the role; must outlive it. */
    explicit RouterNode(node::Node &node);

    void onView(std::shared_ptr<const member::FleetView> view) override;
    void onTick(core::Milliseconds timeSinceServiceContact) override;
    void onMessage(const std::shared_ptr<wire::ServerStream> &stream, const std::string &path, std::string message) override;
    boost::asio::awaitable<void> onHttp(const http::Request &request, http::Responder &responder) override;
    void beginShutdown() override;
    [[nodiscard]] std::size_t openRequests() const override;
    void addStatus(boost::json::object &status) const override;
    void addMetrics(telemetry::Metrics &metrics) const override;
    [[nodiscard]] std::vector<std::string> openPeerRequests() const override;

private:
    void execute(const Actions &actions);
    void send(const SendAttempt &action);
    void cancel(std::uint64_t attemptId);
    void push(const std::string &requestId, ResponseEvent event);
    boost::asio::awaitable<void> relay(const CallerRequest &request, CallerChannel &channel, http::Responder &responder);
    boost::asio::awaitable<void> relayStreaming(const CallerRequest &request, const ResponseHead &head, CallerChannel &channel, http::Responder &responder);
    boost::asio::awaitable<void> relayBuffered(const CallerRequest &request, const ResponseHead &head, CallerChannel &channel, http::Responder &responder);

    node::Node &node_;
    RouterCore core_;
    std::atomic<bool> refreshing_{false}; /* a refresh of the documents is in progress */
    AttemptStreams<wire::ClientStream> streams_; /* has its own lock */
    mutable std::mutex mutex_; /* guards the members below; no other lock is taken while it is held */
    std::shared_ptr<const member::FleetView> view_;
    std::map<std::string, std::shared_ptr<CallerChannel>> channels_; /* by request id */
};

} // namespace cyclamenspool::router
