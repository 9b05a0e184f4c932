#pragma once

#include <cyclamenspool/node/node.h>
#include <cyclamenspool/router/callerchannel.h>
#include <cyclamenspool/router/core/routercore.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace cyclamenspool::router {

/** @brief The role of an entry VM: takes callers' requests and sends them to agents. */
class RouterNode final : public node::Role
{
public:
    /** @brief Creates a router. @param node Node that carries it. */
    explicit RouterNode(node::Node &node);

    void onView(std::shared_ptr<const member::FleetView> view) override;
    void onTick(core::Milliseconds newsAge) override;
    void onMessage(const std::shared_ptr<wire::ServerStream> &stream, const std::string &path, std::string message) override;
    boost::asio::awaitable<void> onHttp(const http::Request &request, http::Responder &responder) override;
    void beginShutdown() override;
    [[nodiscard]] std::size_t openRequests() const override;
    void addStatus(boost::json::object &status) const override;
    void addMetrics(telemetry::Metrics &metrics) const override;

private:
    void carryOut(const Actions &actions);
    void send(const SendAttempt &action);
    void cancel(std::uint64_t attempt);
    void answer(const std::string &request, CallerEvent event);
    boost::asio::awaitable<void> relay(const CallerRequest &request, CallerChannel &channel, http::Responder &responder);
    boost::asio::awaitable<void> relayStream(const CallerRequest &request, const AnswerBegin &begin, CallerChannel &channel, http::Responder &responder);
    boost::asio::awaitable<void> relayWhole(const CallerRequest &request, const AnswerBegin &begin, CallerChannel &channel, http::Responder &responder);

    node::Node &node_;
    RouterCore core_;
    std::atomic<bool> refreshing_{false};
    mutable std::mutex mutex_; /* guards the members below; innermost */
    std::shared_ptr<const member::FleetView> view_;
    std::map<std::string, std::shared_ptr<CallerChannel>> channels_;
    std::map<std::uint64_t, std::shared_ptr<wire::ClientStream>> streams_;
};

} // namespace cyclamenspool::router
