#include "standin.h"

#include <cyclamenspool/http/refusal.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>

namespace cyclamenspool::standin {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds holdPollInterval{20};

std::string RequestTarget::parameter(const std::string &name, const std::string &fallback) const
{
    const auto found = query.find(name);
    return found == query.end() ? fallback : found->second;
}

long RequestTarget::numberParameter(const std::string &name, long fallback) const
{
    const auto text = parameter(name);
    return text.empty() ? fallback : std::stol(text);
}

RequestTarget parseTarget(const std::string &target)
{
    RequestTarget parsed;
    const auto queryMark = target.find('?');
    parsed.path = target.substr(0, queryMark);
    if (queryMark == std::string::npos) {
        return parsed;
    }
    std::string remaining = target.substr(queryMark + 1);
    while (!remaining.empty()) {
        const auto separator = remaining.find('&');
        const auto pair = remaining.substr(0, separator);
        const auto equalsSign = pair.find('=');
        parsed.query[pair.substr(0, equalsSign)] = equalsSign == std::string::npos ? "" : pair.substr(equalsSign + 1);
        remaining = separator == std::string::npos ? "" : remaining.substr(separator + 1);
    }
    return parsed;
}

void serve(const std::string &address, const http::RequestHandler &handler, const std::function<void(asio::io_context &)> &start)
{
    asio::io_context context(1);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code &, int) {
        context.stop();
    });
    http::ServerLimits limits;
    limits.maxBodyBytes = 64UL * 1024 * 1024;
    http::Server server(context, address, limits, handler, http::refuseWithNewId);
    if (start) {
        start(context);
    }
    context.run();
}

asio::awaitable<void> sleepFor(std::chrono::microseconds duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> sendJson(http::Responder &responder, const std::string &body, int status)
{
    http::Headers headers;
    headers.emplace_back("Content-Type", "application/json");
    co_await responder.send(status, headers, body);
}

asio::awaitable<void> HoldPoints::waitWhileHeld(std::string step)
{
    if (!heldSteps_[step]) {
        co_return;
    }
    ++heldRequests_;
    while (heldSteps_[step]) {
        co_await sleepFor(holdPollInterval);
    }
    --heldRequests_;
}

bool HoldPoints::handleControl(const RequestTarget &target)
{
    if (target.path == "/test/hold") {
        heldSteps_[target.parameter("step")] = true;
        return true;
    }
    if (target.path == "/test/release") {
        heldSteps_.clear();
        return true;
    }
    return false;
}

} // namespace cyclamenspool::standin
