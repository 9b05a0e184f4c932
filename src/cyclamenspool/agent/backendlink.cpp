#include <cyclamenspool/agent/backendlink.h>

#include <cyclamenspool/telemetry/log.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>

#include <charconv>

namespace cyclamenspool::agent {

namespace asio = boost::asio;
namespace json = boost::json;

namespace internal {

constexpr core::Milliseconds pollPeriod{250};
constexpr core::Milliseconds pollTimeout{1000};
constexpr int failuresUntilUnavailable = 2;
constexpr core::Milliseconds resumeTimeout{10000};

std::uint64_t parseNumber(const std::string &text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

EngineState parseState(const std::string &text, std::uint64_t &lastEvent)
{
    const auto object = json::parse(text).as_object();
    EngineState state;
    state.incarnation = json::value_to<std::string>(object.at("incarnation"));
    state.cacheEpoch = object.at("cache_epoch").to_number<std::uint64_t>();
    state.models = json::value_to<std::vector<std::string>>(object.at("models"));
    const auto firstEvent = object.at("first_event").to_number<std::uint64_t>();
    state.eventGap = lastEvent != 0 && firstEvent > lastEvent + 1;
    for (const auto &event : object.at("evicted").as_array()) {
        state.evictedChats.push_back(json::value_to<std::string>(event));
    }
    lastEvent = object.at("last_event").to_number<std::uint64_t>();
    return state;
}

} // namespace internal

BackendLink::BackendLink(asio::io_context &context, std::string address, BackendCallbacks callbacks)
    : context_(context)
    , address_(std::move(address))
    , callbacks_(std::move(callbacks))
{
}

void BackendLink::start()
{
    asio::co_spawn(asio::make_strand(context_), pollState(), asio::detached);
}

asio::awaitable<std::optional<EngineState>> BackendLink::readState()
{
    http::ClientRequest request;
    request.address = address_;
    request.target = "/v1/state?after=" + std::to_string(lastCacheEvent_);
    request.timeout = internal::pollTimeout;
    try {
        const auto response = co_await http::fetch(std::move(request));
        if (response.head.status == 200) {
            co_return internal::parseState(response.body, lastCacheEvent_);
        }
    } catch (const std::exception &error) {
        telemetry::logEvent("backend_state_unknown", error.what());
    }
    co_return std::nullopt;
}

asio::awaitable<void> BackendLink::pollState()
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    int failures = 0;
    while (true) {
        const auto state = co_await readState();
        failures = state ? 0 : failures + 1;
        if (state || failures == internal::failuresUntilUnavailable) {
            callbacks_.onEngineState(state);
        }
        timer.expires_after(internal::pollPeriod);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> BackendLink::relay(std::uint64_t run, http::ClientRequest request, bool isInitial)
{
    http::ClientCallbacks clientCallbacks;
    if (isInitial) {
        clientCallbacks.beforeSend = [this, run] {
            return callbacks_.isStartAllowed(run);
        };
        clientCallbacks.onResponseHead = [this, run](const http::ClientResponseHead &received) {
            BackendResponseHead head;
            head.status = received.status;
            head.contentType = received.header("content-type");
            head.requestId = received.header("x-request-id");
            head.cachedTokens = internal::parseNumber(received.header("x-cached-tokens"));
            callbacks_.onResponseHead(run, head);
        };
    } else {
        clientCallbacks.onResponseHead = [](const http::ClientResponseHead &head) {
            if (head.status != 200) {
                throw http::ClientError("the backend server cannot resume the response", true);
            }
        };
    }
    clientCallbacks.onResponseData = [this, run](const std::string &data) {
        callbacks_.onResponseData(run, data);
    };
    try {
        co_await http::streamResponse(std::move(request), std::move(clientCallbacks));
        callbacks_.onResponseEnd(run);
    } catch (const http::ClientError &error) {
        callbacks_.onConnectionLost(run, error.mayHaveBeenSent(), error.what());
    } catch (const std::exception &error) {
        callbacks_.onConnectionLost(run, true, error.what());
    }
}

void BackendLink::run(const StartRun &action)
{
    const auto &message = action.request;
    http::ClientRequest request;
    request.address = address_;
    request.method = message.method();
    request.target = message.path();
    request.body = message.body();
    request.timeout = std::max(action.remaining, core::Milliseconds(1));
    request.headers = {{"X-Request-Id", message.request_id()}, {"X-Priority", std::to_string(message.priority())}};
    const http::Headers optional{{"Content-Type", message.content_type()}, {"X-Chat-Id", message.chat()}, {"Idempotency-Key", message.key()}};
    for (const auto &header : optional) {
        if (!header.second.empty()) {
            request.headers.push_back(header);
        }
    }
    asio::co_spawn(asio::make_strand(context_), relay(action.run, std::move(request), true), asio::detached);
}

void BackendLink::resume(const ResumeRun &action)
{
    http::ClientRequest request;
    request.address = address_;
    request.target = "/v1/runs/" + action.request + "/answer?offset=" + std::to_string(action.offset);
    request.timeout = internal::resumeTimeout;
    asio::co_spawn(asio::make_strand(context_), relay(action.run, std::move(request), false), asio::detached);
}

void BackendLink::sendControl(http::ClientRequest request, const std::string &event, std::function<bool()> beforeSend)
{
    const auto sendAndLog = [request = std::move(request), event, beforeSend = std::move(beforeSend)]() -> asio::awaitable<void> {
        int status = 0;
        http::ClientCallbacks clientCallbacks;
        clientCallbacks.beforeSend = beforeSend;
        clientCallbacks.onResponseHead = [&status](const http::ClientResponseHead &head) {
            status = head.status;
        };
        try {
            co_await http::streamResponse(request, std::move(clientCallbacks));
            telemetry::logEvent(event, request.target + ": status " + std::to_string(status));
        } catch (const std::exception &error) {
            telemetry::logEvent(event, request.target + ": " + error.what());
        }
    };
    asio::co_spawn(asio::make_strand(context_), sendAndLog, asio::detached);
}

void BackendLink::cancel(const CancelRun &action)
{
    http::ClientRequest request;
    request.address = address_;
    request.method = "DELETE";
    request.target = "/v1/runs/" + action.request;
    sendControl(std::move(request), "run_cancelled", nullptr);
}

void BackendLink::order(const OrderModelLoad &action)
{
    http::ClientRequest request;
    request.address = address_;
    request.method = "POST";
    request.target = "/v1/models/" + action.model;
    request.headers = {{"X-Fence-Revision", std::to_string(action.fenceRevision)}, {"X-Fence-Start", std::to_string(action.fenceStart)}};
    sendControl(std::move(request), "model_ordered", [this, action] {
        return callbacks_.isOrderAllowed(action);
    });
}

} // namespace cyclamenspool::agent
