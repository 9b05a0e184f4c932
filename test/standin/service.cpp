// Stand-in for a service without an engine: counts its runs by idempotency key; tests can hold requests and cut connections.

#include "standin.h"

#include <fake/program.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <iostream>
#include <map>

namespace cyclamenspool::standin {

namespace asio = boost::asio;
namespace po = boost::program_options;

/** @brief Handles the requests to the service and the control paths of tests; /test/cut closes the next connections after the run, without a response. */
class Service
{
public:
    asio::awaitable<void> handle(const http::Request &request, http::Responder &responder)
    {
        const auto target = parseTarget(std::string(request.target()));
        if (holds_.handleControl(target)) {
            co_await sendJson(responder, "{}");
        } else if (target.path == "/test/cut") {
            cutsLeft_ = target.numberParameter("count", 1);
            co_await sendJson(responder, "{}");
        } else if (target.path == "/test/counts") {
            co_await sendJson(responder, counts());
        } else if (target.path == "/v1/state") {
            co_await sendJson(responder, R"({"incarnation":"1","cache_epoch":0,"models":[],"first_event":0,"last_event":0,"evicted":[]})");
        } else {
            co_await runRequest(request, responder);
        }
    }

private:
    asio::awaitable<void> runRequest(const http::Request &request, http::Responder &responder)
    {
        const std::string key(request["Idempotency-Key"]);
        const std::string id(request["X-Request-Id"]);
        co_await holds_.waitWhileHeld("before_run");
        ++runs_[key.empty() ? "request " + id : key];
        ++totalRuns_;
        co_await holds_.waitWhileHeld("after_run");
        if (cutsLeft_ > 0) {
            --cutsLeft_;
            responder.closeAfterResponse();
            throw std::runtime_error("connection cut by /test/cut");
        }
        boost::json::object response;
        response["run"] = totalRuns_;
        response["echo"] = request.body();
        http::Headers headers;
        headers.emplace_back("Content-Type", "application/json");
        headers.emplace_back("X-Request-Id", id);
        co_await responder.send(200, headers, boost::json::serialize(response));
    }

    [[nodiscard]] std::string counts() const
    {
        boost::json::object runs;
        for (const auto &[key, count] : runs_) {
            runs[key] = count;
        }
        boost::json::object object;
        object["runs"] = std::move(runs);
        object["total"] = totalRuns_;
        object["held"] = holds_.heldCount();
        return boost::json::serialize(object);
    }

    HoldPoints holds_;
    std::map<std::string, int> runs_;
    int totalRuns_ = 0;
    long cutsLeft_ = 0;
};

int run(int argc, char **argv)
{
    po::options_description options("options");
    options.add_options()("listen", po::value<std::string>()->required(), "IP address and port");
    const auto parsed = fake::parseCommandLine(options, argc, argv);
    if (!parsed) {
        return 0;
    }
    const auto &values = *parsed;
    Service service;
    serve(values["listen"].as<std::string>(), [&service](const http::Request &request, http::Responder &responder) {
        return service.handle(request, responder);
    });
    return 0;
}

} // namespace cyclamenspool::standin

int main(int argc, char **argv)
{
    return cyclamenspool::fake::runProgram(cyclamenspool::standin::run, argc, argv);
}
