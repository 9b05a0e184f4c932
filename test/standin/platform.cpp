// Stand-in for the configuration service and the VM list: versioned values with long polling, a count of calls, and outages and stale values on demand.

#include "standin.h"

#include <fake/program.h>

#include <iostream>
#include <map>
#include <optional>

namespace cyclamenspool::standin {

namespace asio = boost::asio;
namespace po = boost::program_options;

/** @brief Value with its previous revision. */
struct Value {
    std::uint64_t revision = 0;
    std::string text;
    std::uint64_t previousRevision = 0;
    std::string previousText;
};

/** @brief Handles the requests for values and the control paths of tests; /test/mode?is= accepts up, down and stale. */
class Platform
{
public:
    asio::awaitable<void> handle(const http::Request &request, http::Responder &responder)
    {
        const auto target = parseTarget(std::string(request.target()));
        const std::string prefix = "/v1/values/";
        if (target.path.rfind(prefix, 0) == 0) {
            const auto name = target.path.substr(prefix.size());
            if (request.method() == boost::beast::http::verb::put) {
                put(name, request.body(), target);
                co_await sendJson(responder, "{}");
            } else {
                co_await get(name, target, responder);
            }
        } else if (target.path == "/test/mode") {
            mode_ = target.parameter("is", "up");
            co_await sendJson(responder, "{}");
        } else {
            co_await sendJson(responder, "{\"calls\":" + std::to_string(calls_) + "}");
        }
    }

private:
    void put(const std::string &name, const std::string &text, const RequestTarget &target)
    {
        auto &value = values_[name];
        value.previousRevision = value.revision;
        value.previousText = value.text;
        value.revision = static_cast<std::uint64_t>(target.numberParameter("revision", static_cast<long>(value.revision) + 1));
        value.text = text;
    }

    asio::awaitable<void> get(std::string name, RequestTarget target, http::Responder &responder)
    {
        ++calls_;
        const auto after = static_cast<std::uint64_t>(target.numberParameter("after", 0));
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(target.numberParameter("wait_ms", 0));
        while (mode_ == "up" && values_[name].revision <= after && std::chrono::steady_clock::now() < deadline) {
            co_await sleepFor(std::chrono::milliseconds(5));
        }
        if (mode_ == "down") {
            responder.closeAfterResponse();
            co_await sendJson(responder, "{\"error\":\"down\"}", 503);
            co_return;
        }
        const auto &value = values_[name];
        const bool isStale = mode_ == "stale";
        const auto revision = isStale ? value.previousRevision : value.revision;
        http::Headers headers;
        headers.emplace_back("X-Revision", std::to_string(revision));
        const bool isNew = isStale ? revision > 0 : revision > after;
        const std::string text = !isNew ? std::string() : isStale ? value.previousText : value.text;
        co_await responder.send(isNew ? 200 : 204, headers, text);
    }

    std::map<std::string, Value> values_;
    std::string mode_ = "up"; /* up, down, or stale to serve the previous revisions */
    std::uint64_t calls_ = 0;
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
    Platform platform;
    serve(values["listen"].as<std::string>(), [&platform](const http::Request &request, http::Responder &responder) {
        return platform.handle(request, responder);
    });
    return 0;
}

} // namespace cyclamenspool::standin

int main(int argc, char **argv)
{
    return cyclamenspool::fake::runProgram(cyclamenspool::standin::run, argc, argv);
}
