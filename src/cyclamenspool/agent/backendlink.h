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

/** @brief Callbacks of a BackendLink; called on any worker thread. The first argument of a callback for a run is StartRun::run. */
struct BackendCallbacks {
    std::function<bool(std::uint64_t)> isStartAllowed; /**< Called immediately before a run's first byte is written; false fails the run as not sent. */
    std::function<bool(const OrderModelLoad &)> isOrderAllowed; /**< The same for an order to load a model; false drops the order. */
    std::function<void(std::uint64_t, const BackendResponseHead &)> onResponseHead; /**< Called once with the response head; not called again after a resume. */
    std::function<void(std::uint64_t, const std::string &)> onResponseData;
    std::function<void(std::uint64_t)> onResponseEnd;
    std::function<void(std::uint64_t, bool, const std::string &)> onConnectionLost; /**< Whether a byte of the request may have been sent, and the cause. */
    std::function<void(const std::optional<EngineState> &)> onEngineState; /**< The state, at each successful poll; none, at the second failure in a row. */
};

/** @brief HTTP client of the backend server on the same VM. */
class BackendLink
{
public:
    /** @brief Creates a link. @param address IP address and port of the backend server. */
    BackendLink(boost::asio::io_context &context, std::string address, BackendCallbacks callbacks);

    /** @brief Starts polling the engine's state. */
    void start();

    /** @brief Sends a request and relays its response through the callbacks. */
    void run(const StartRun &action);

    /** @brief Requests the rest of an interrupted response. */
    void resume(const ResumeRun &action);

    /** @brief Asks the engine to cancel a run; the result is only logged. */
    void cancel(const CancelRun &action);

    /** @brief Orders the engine to load a model, if isOrderAllowed still permits it; the result is only logged. */
    void order(const OrderModelLoad &action);

private:
    boost::asio::awaitable<void> pollState();
    boost::asio::awaitable<std::optional<EngineState>> readState();
    boost::asio::awaitable<void> relay(std::uint64_t run, http::ClientRequest request, bool isInitial);
    void sendControl(http::ClientRequest request, const std::string &event, std::function<bool()> beforeSend);

    boost::asio::io_context &context_;
    std::string address_;
    BackendCallbacks callbacks_;
    std::uint64_t lastCacheEvent_ = 0;
};

} // namespace cyclamenspool::agent
