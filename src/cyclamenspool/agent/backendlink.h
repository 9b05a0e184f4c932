#pragma once

#include <cyclamenspool/agent/core/agentcore.h>
#include <cyclamenspool/http/client.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <optional>
#include <string>

namespace cyclamenspool::agent {

/** @brief What a link reports of its runs; called on any worker. */
struct BackendEvents {
    std::function<bool(std::uint64_t)> mayStart; /**< Asked immediately before a run's first byte is written. */
    std::function<bool(const OrderModel &)> mayOrder; /**< Asked immediately before an order's first byte is written. */
    std::function<void(std::uint64_t, const BackendBegin &)> onBegin;
    std::function<void(std::uint64_t, const std::string &)> onChunk;
    std::function<void(std::uint64_t)> onEnd;
    std::function<void(std::uint64_t, bool, const std::string &)> onLost;
    std::function<void(const std::optional<EngineState> &)> onState;
};

/** @brief HTTP to the backend server on the same VM. */
class BackendLink
{
public:
    /** @brief Creates a link. @param context Context of the sockets. @param address IP number and port. @param events Events. */
    BackendLink(boost::asio::io_context &context, std::string address, BackendEvents events);

    /** @brief Starts to poll the backend server's state. */
    void start();

    /** @brief Runs a request. @param action Run. */
    void run(const StartRun &action);

    /** @brief Goes on with an answer. @param action Run and offset. */
    void resume(const ResumeRun &action);

    /** @brief Stops a run. @param action Run. */
    void cancel(const CancelRun &action);

    /** @brief Gives an order. @param action Order. */
    void order(const OrderModel &action);

private:
    boost::asio::awaitable<void> poll();
    boost::asio::awaitable<std::optional<EngineState>> readState();
    boost::asio::awaitable<void> relay(std::uint64_t run, http::ClientRequest request, bool first);
    void send(http::ClientRequest request, const std::string &what, std::function<bool()> beforeSend);

    boost::asio::io_context &context_;
    std::string address_;
    BackendEvents events_;
    std::uint64_t lastEvent_ = 0;
};

} // namespace cyclamenspool::agent
