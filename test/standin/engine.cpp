// Stand-in for an engine: prefix cache, continuous batching, cold start, cache events, cancelled and resumed runs, and faults on demand.

#include "enginemodel.h"
#include "standin.h"

#include <fake/program.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <deque>
#include <iostream>
#include <memory>
#include <set>

namespace cyclamenspool::standin {

namespace asio = boost::asio;
namespace json = boost::json;
namespace po = boost::program_options;

/** @brief Run of a request; its response is generated whether or not a client is connected. */
struct Run {
    std::string id;
    std::string chat;
    std::string echo; /**< Start of the last message; returned in the response. */
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t decodeTokens = 0;
    bool stream = false; /**< True to respond with server-sent events. */
    std::string response; /**< Part generated so far. */
    bool started = false;
    bool finished = false;
    bool cancelled = false;
};

/**
 * @brief Handles the requests to the engine and the control paths of tests.
 *
 * Besides the hold points: /test/crossed gives the next responses another request's id, /test/cut closes the next responses' connections after some bytes,
 * /test/lose_cache and /test/restart empty the prefix cache and begin a cold start, the first with a new cache epoch, the second as a new incarnation.
 * These paths, and any other that is unknown, return the counts.
 */
class Engine
{
public:
    explicit Engine(const EngineOptions &options)
        : options_(options)
        , cache_(options.cacheTokens)
        , coldUntil_(std::chrono::steady_clock::now() + options.coldDuration)
    {
    }

    asio::awaitable<void> handle(const http::Request &request, http::Responder &responder)
    {
        const auto target = parseTarget(std::string(request.target()));
        if (target.path == "/v1/chat/completions") {
            co_await handleCompletion(request, responder);
        } else if (target.path == "/v1/state") {
            co_await sendJson(responder, state(target));
        } else if (target.path.rfind("/v1/runs/", 0) == 0) {
            co_await handleRunRequest(request, target, responder);
        } else if (target.path.rfind("/v1/models/", 0) == 0) {
            co_await handleModelOrder(request, target, responder);
        } else {
            handleControl(target);
            co_await sendJson(responder, counts());
        }
    }

    void loadModel(const std::string &model)
    {
        loadedModels_.insert(model);
    }

    void setFencingCheck(bool check)
    {
        checksFencing_ = check;
    }

private:
    using RunPtr = std::shared_ptr<Run>;
    /* fencing number of a model order: table revision and start time of the agent */
    using Fence = std::pair<std::uint64_t, std::int64_t>;

    static constexpr std::size_t maxKeptRuns = 2000; /* finished runs can still be resumed */

    void handleControl(const RequestTarget &target)
    {
        if (holds_.handleControl(target)) {
            return;
        }
        if (target.path == "/test/crossed") {
            wrongIdsLeft_ = target.numberParameter("count", 1);
        } else if (target.path == "/test/cut") {
            cutsLeft_ = target.numberParameter("count", 1);
            cutAfterBytes_ = static_cast<std::size_t>(target.numberParameter("bytes", 100));
        } else if (target.path == "/test/lose_cache") {
            cache_.clear();
            ++cacheEpoch_;
            coldUntil_ = std::chrono::steady_clock::now() + options_.coldDuration;
        } else if (target.path == "/test/restart") {
            cache_.clear();
            ++incarnation_;
            coldUntil_ = std::chrono::steady_clock::now() + options_.coldDuration;
        }
    }

    RunPtr makeRun(const http::Request &request)
    {
        const auto body = json::parse(request.body()).as_object();
        auto run = std::make_shared<Run>();
        run->id = std::string(request["X-Request-Id"]);
        run->chat = std::string(request["X-Chat-Id"]);
        std::uint64_t bytes = 0;
        for (const auto &message : body.at("messages").as_array()) {
            const auto &content = message.as_object().at("content").as_string();
            bytes += content.size();
            run->echo = std::string(content).substr(0, 64);
        }
        run->promptTokens = bytes / 4 + 1;
        run->decodeTokens = body.contains("max_tokens") ? body.at("max_tokens").to_number<std::uint64_t>() : 128;
        run->stream = body.contains("stream") && body.at("stream").as_bool();
        return run;
    }

    asio::awaitable<void> handleCompletion(const http::Request &request, http::Responder &responder)
    {
        const auto run = makeRun(request);
        co_await holds_.waitWhileHeld("accepted");
        runs_[run->id] = run;
        runIdsByAge_.push_back(run->id);
        if (runIdsByAge_.size() > maxKeptRuns) {
            runs_.erase(runIdsByAge_.front());
            runIdsByAge_.pop_front();
        }
        ++startedRuns_;
        asio::co_spawn(co_await asio::this_coro::executor, generateResponse(run), asio::detached);
        while (!run->started) {
            co_await sleepFor(std::chrono::milliseconds(1));
        }
        co_await holds_.waitWhileHeld("first_byte");
        http::Headers headers;
        headers.emplace_back("Content-Type", run->stream ? "text/event-stream" : "application/json");
        headers.emplace_back("X-Request-Id", wrongIdsLeft_-- > 0 ? "another-request" : run->id);
        headers.emplace_back("X-Cached-Tokens", std::to_string(run->cachedTokens));
        co_await responder.beginChunked(200, headers);
        co_await sendResponse(run, 0, responder);
    }

    asio::awaitable<void> sendResponse(RunPtr run, std::size_t offset, http::Responder &responder)
    {
        const bool isCut = cutsLeft_ > 0;
        cutsLeft_ -= isCut ? 1 : 0;
        std::size_t written = 0;
        while (true) {
            const auto unsent = run->response.substr(offset);
            offset += unsent.size();
            written += unsent.size();
            co_await responder.writeChunk(unsent);
            if (isCut && written >= cutAfterBytes_) {
                responder.closeAfterResponse();
                throw std::runtime_error("connection cut by /test/cut");
            }
            if (written > 0) {
                co_await holds_.waitWhileHeld("mid_stream");
            }
            if (run->finished && offset == run->response.size()) {
                break;
            }
            co_await sleepFor(std::chrono::milliseconds(1));
        }
        co_await holds_.waitWhileHeld("last_byte");
        co_await responder.endChunked();
    }

    asio::awaitable<void> generateResponse(RunPtr run)
    {
        ++batch_;
        maxBatch_ = std::max(maxBatch_, batch_);
        const auto cached = run->chat.empty() ? 0 : std::min(cache_.lookup(run->chat), run->promptTokens);
        run->cachedTokens = cached;
        promptTokens_ += run->promptTokens;
        cachedTokens_ += cached;
        const auto now = std::chrono::steady_clock::now();
        prefillFreeAt_ = std::max(prefillFreeAt_, now) + options_.prefillPerToken * static_cast<long>(run->promptTokens - cached) * slowdownFactor();
        co_await sleepFor(std::chrono::duration_cast<std::chrono::microseconds>(prefillFreeAt_ - now));
        run->started = true;
        std::string text;
        for (std::uint64_t token = 0; token < run->decodeTokens && !run->cancelled; ++token) {
            const auto step = options_.decodeStep * (options_.batchReference + batch_) / options_.batchReference;
            co_await sleepFor(step * slowdownFactor());
            const std::string word = "w" + std::to_string(token) + " ";
            text += word;
            if (run->stream) {
                run->response += formatEvent(run, word);
            }
        }
        run->response += run->stream ? formatEvent(run, run->echo) + "data: [DONE]\n\n" : formatResponse(run, text);
        if (!run->chat.empty() && !run->cancelled) {
            for (auto &evicted : cache_.store(run->chat, run->promptTokens + run->decodeTokens)) {
                evictions_.push_back(std::move(evicted));
            }
        }
        run->finished = true;
        --batch_;
    }

    [[nodiscard]] int slowdownFactor() const
    {
        const bool isCold = std::chrono::steady_clock::now() < coldUntil_;
        return isCold && batch_ > options_.maxColdBatch ? options_.collapseFactor : 1;
    }

    static std::string formatEvent(const RunPtr &run, const std::string &content)
    {
        json::object delta;
        delta["content"] = content;
        json::object object;
        object["id"] = run->id;
        object["delta"] = std::move(delta);
        return "data: " + json::serialize(object) + "\n\n";
    }

    static std::string formatResponse(const RunPtr &run, const std::string &text)
    {
        json::object object;
        object["id"] = run->id;
        object["content"] = text;
        object["echo"] = run->echo;
        object["cached_tokens"] = run->cachedTokens;
        object["prompt_tokens"] = run->promptTokens;
        return json::serialize(object);
    }

    asio::awaitable<void> handleRunRequest(const http::Request &request, RequestTarget target, http::Responder &responder)
    {
        const std::string prefix = "/v1/runs/";
        const auto runPath = target.path.substr(prefix.size());
        const auto found = runs_.find(runPath.substr(0, runPath.find('/')));
        if (found == runs_.end()) {
            co_await sendJson(responder, "{\"error\":\"no such run\"}", 404);
            co_return;
        }
        const auto run = found->second;
        if (request.method() == boost::beast::http::verb::delete_) {
            run->cancelled = true;
            ++cancelledRuns_;
            co_await sendJson(responder, "{}");
            co_return;
        }
        http::Headers headers;
        headers.emplace_back("X-Request-Id", run->id);
        co_await responder.beginChunked(200, headers);
        ++resumedRuns_;
        co_await sendResponse(run, static_cast<std::size_t>(target.numberParameter("offset", 0)), responder);
    }

    asio::awaitable<void> handleModelOrder(const http::Request &request, RequestTarget target, http::Responder &responder)
    {
        const std::string revision(request["X-Fence-Revision"]);
        const std::string start(request["X-Fence-Start"]);
        const Fence fence{std::stoull(revision), std::stoll(start)};
        if (checksFencing_ && fence < highestFence_) {
            co_await sendJson(responder, "{\"error\":\"old fencing number\"}", 409);
            co_return;
        }
        highestFence_ = std::max(highestFence_, fence);
        ++acceptedOrders_;
        loadedModels_.insert(target.path.substr(std::string("/v1/models/").size()));
        co_await sendJson(responder, "{}");
    }

    [[nodiscard]] std::string state(const RequestTarget &target)
    {
        const auto after = static_cast<std::size_t>(target.numberParameter("after", 0));
        json::array evicted;
        for (std::size_t i = after; i < evictions_.size(); ++i) {
            evicted.emplace_back(evictions_[i]);
        }
        json::array models;
        for (const auto &model : loadedModels_) {
            models.emplace_back(model);
        }
        json::object object;
        object["incarnation"] = std::to_string(incarnation_);
        object["cache_epoch"] = cacheEpoch_;
        object["models"] = std::move(models);
        object["first_event"] = 1;
        object["last_event"] = evictions_.size();
        object["evicted"] = std::move(evicted);
        return json::serialize(object);
    }

    [[nodiscard]] std::string counts() const
    {
        json::object object;
        object["started"] = startedRuns_;
        object["batch"] = batch_;
        object["max_batch"] = maxBatch_;
        object["held"] = holds_.heldCount();
        object["cancelled"] = cancelledRuns_;
        object["resumed"] = resumedRuns_;
        object["orders"] = acceptedOrders_;
        object["prompt_tokens"] = promptTokens_;
        object["cached_tokens"] = cachedTokens_;
        return json::serialize(object);
    }

    EngineOptions options_;
    PrefixCache cache_;
    HoldPoints holds_;
    std::chrono::steady_clock::time_point coldUntil_;
    std::chrono::steady_clock::time_point prefillFreeAt_{};
    std::map<std::string, RunPtr> runs_;
    std::deque<std::string> runIdsByAge_;
    std::set<std::string> loadedModels_;
    std::vector<std::string> evictions_;
    Fence highestFence_{0, 0};
    bool checksFencing_ = false;
    std::uint64_t incarnation_ = 1;
    std::uint64_t cacheEpoch_ = 0;
    int batch_ = 0;
    int maxBatch_ = 0;
    long wrongIdsLeft_ = 0;
    long cutsLeft_ = 0;
    std::size_t cutAfterBytes_ = 0;
    int startedRuns_ = 0;
    int cancelledRuns_ = 0;
    int resumedRuns_ = 0;
    int acceptedOrders_ = 0;
    std::uint64_t promptTokens_ = 0;
    std::uint64_t cachedTokens_ = 0;
};

int run(int argc, char **argv)
{
    po::options_description options("options");
    auto add = options.add_options();
    add("listen", po::value<std::string>()->required(), "IP address and port");
    add("model", po::value<std::string>()->default_value(""), "model loaded at the start; empty: none");
    add("cache-tokens", po::value<std::uint64_t>()->default_value(200000), "capacity of the prefix cache in tokens");
    add("prefill-us", po::value<long>()->default_value(50), "prefill time per token in microseconds");
    add("decode-us", po::value<long>()->default_value(2000), "decode time per token in microseconds, extrapolated to an empty batch");
    add("cold-ms", po::value<long>()->default_value(0), "duration of a cold start in milliseconds");
    add("check-fencing", "reject orders to load a model that have an old fencing number");
    const auto parsed = fake::parseCommandLine(options, argc, argv);
    if (!parsed) {
        return 0;
    }
    const auto &values = *parsed;
    EngineOptions engineOptions;
    engineOptions.cacheTokens = values["cache-tokens"].as<std::uint64_t>();
    engineOptions.prefillPerToken = std::chrono::microseconds(values["prefill-us"].as<long>());
    engineOptions.decodeStep = std::chrono::microseconds(values["decode-us"].as<long>());
    engineOptions.coldDuration = std::chrono::milliseconds(values["cold-ms"].as<long>());
    Engine engine(engineOptions);
    engine.setFencingCheck(values.count("check-fencing") > 0);
    if (!values["model"].as<std::string>().empty()) {
        engine.loadModel(values["model"].as<std::string>());
    }
    serve(values["listen"].as<std::string>(), [&engine](const http::Request &request, http::Responder &responder) {
        return engine.handle(request, responder);
    });
    return 0;
}

} // namespace cyclamenspool::standin

int main(int argc, char **argv)
{
    return cyclamenspool::fake::runProgram(cyclamenspool::standin::run, argc, argv);
}
