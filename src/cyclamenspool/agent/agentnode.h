#pragma once

#include <cyclamenspool/agent/backendlink.h>
#include <cyclamenspool/agent/core/agentcore.h>
#include <cyclamenspool/node/node.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace cyclamenspool::agent {

/** @brief Agent role of a node, beside one backend server: admits requests, relays responses and exchanges loads with its peers. */
class AgentNode final : public node::Role
{
public:
    /** @brief Creates an agent. @param node Node that runs the role; must outlive it. */
    explicit AgentNode(node::Node &node);

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
    [[nodiscard]] BackendCallbacks backendCallbacks();
    void onSubmit(const std::shared_ptr<wire::ServerStream> &stream, const std::string &message);
    void execute(const Actions &actions);
    void sendReply(const SendReply &action);
    void sendExchange(const SendExchange &action);
    void sendHandOver(const SendHandOver &action);
    void sendChatPlacement(const SendChatPlacement &action);
    void refreshView();

    node::Node &node_;
    AgentCore core_;
    BackendLink backend_;
    bool backendStarted_ = false;
    std::atomic<bool> refreshing_{false}; /* a refresh of the documents is in progress */
    std::atomic<std::uint64_t> nextStream_{1};
    std::atomic<std::uint64_t> exchangeBytes_{0}; /* sent and received in load exchanges */
    mutable std::mutex mutex_; /* guards streams_; no other lock is taken while it is held */
    std::map<std::uint64_t, std::shared_ptr<wire::ServerStream>> streams_; /* by the stream number that the core knows */
};

} // namespace cyclamenspool::agent
