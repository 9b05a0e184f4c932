// Sends generated load over loopback to the production processes and the stand-in servers; prints latencies, cache reuse, skew, memory and processor time.

#include <fake/program.h>

#include <harness/localfleet.h>

#include <cyclamenspool/config/fieldreader.h>
#include <cyclamenspool/http/client.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <iterator>
#include <random>
#include <sstream>
#include <thread>

namespace cyclamenspool::bench {

namespace asio = boost::asio;
namespace po = boost::program_options;
using harness::LocalFleet;
using Clock = std::chrono::steady_clock;

constexpr int maxRequests = 20000; /* of one experiment */

/** @brief Load of one experiment. */
struct Experiment {
    std::string name;
    double requestsPerSecond = 100;
    double seconds = 10;
    int chats = 100;
    int promptWords = 50;
    int growthWords = 0; /**< Words that each turn adds to the history of a chat. */
    int tokens = 8; /**< Tokens to generate per request. */
    double surge = 1; /**< Factor on the request rate in the middle third. */
};

/** @brief Reads an experiment from a YAML file. @throws config::InvalidInput If the file is unreadable or invalid. */
Experiment readExperiment(const std::string &file)
{
    using E = Experiment;
    static const std::vector<config::Field<E>> fields{
        {"name", &E::name, true},
        {"requests_per_second", &E::requestsPerSecond, false, {1, 2000}},
        {"seconds", &E::seconds, false, {1, 60}},
        {"chats", &E::chats, false, {1, 100000}},
        {"prompt_words", &E::promptWords, false, {1, 100000}},
        {"growth_words", &E::growthWords, false, {0, 100000}},
        {"tokens", &E::tokens, false, {1, 10000}},
        {"surge", &E::surge, false, {1, 100}},
    };
    std::ifstream in(file);
    std::ostringstream text;
    text << in.rdbuf();
    config::Diagnostics diagnostics(file);
    Experiment experiment;
    config::readRecord(diagnostics.parse(text.str()), fields, experiment, diagnostics);
    diagnostics.throwIfAny();
    return experiment;
}

/** @brief Results of a load. */
struct LoadResult {
    std::vector<double> latenciesMs; /**< Latency of each request answered with status 200. */
    int failed = 0;
    long promptTokens = 0;
    long cachedTokens = 0;
};

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(fraction * static_cast<double>(values.size())))];
}

/** @brief Processor time and resident memory of a process as reported by the kernel. */
struct Usage {
    double cpuSeconds = 0;
    double residentMegabytes = 0;
};

Usage usageOf(pid_t pid)
{
    Usage usage;
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(stat)), std::istreambuf_iterator<char>());
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::vector<std::string> all{std::istream_iterator<std::string>(fields), std::istream_iterator<std::string>()};
    constexpr std::size_t userTime = 11;
    constexpr std::size_t systemTime = 12;
    constexpr std::size_t residentPages = 21;
    usage.cpuSeconds = (std::stod(all.at(userTime)) + std::stod(all.at(systemTime))) / static_cast<double>(sysconf(_SC_CLK_TCK));
    usage.residentMegabytes = std::stod(all.at(residentPages)) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024 / 1024;
    return usage;
}

std::string makeWords(int count)
{
    std::string text;
    for (int i = 0; i < count; ++i) {
        text += "lamp ";
    }
    return text;
}

asio::awaitable<void> measureRequest(http::ClientRequest request, LoadResult &result)
{
    const auto start = Clock::now();
    try {
        const auto response = co_await http::fetch(std::move(request));
        const std::chrono::duration<double, std::milli> latency = Clock::now() - start;
        if (response.head.status != 200) {
            ++result.failed;
            co_return;
        }
        result.latenciesMs.push_back(latency.count());
        const auto body = boost::json::parse(response.body).as_object();
        result.promptTokens += body.at("prompt_tokens").to_number<long>();
        result.cachedTokens += body.at("cached_tokens").to_number<long>();
    } catch (const std::exception &) {
        ++result.failed;
    }
}

/** @brief Function that returns the request for a turn of a chat; the text is the whole prompt. */
using MakeRequest = std::function<harness::HttpRequest(const std::string &chat, const std::string &text, int tokens)>;

asio::awaitable<void> generateLoad(const Experiment &experiment, const MakeRequest &makeRequest, LoadResult &result)
{
    auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor);
    std::mt19937_64 random(1);
    std::map<int, int> turns;
    const auto begin = Clock::now();
    auto next = begin;
    for (int i = 0; i < maxRequests; ++i) {
        const std::chrono::duration<double> scheduleOffset = next - begin;
        if (scheduleOffset.count() >= experiment.seconds) {
            break;
        }
        const bool isSurging = scheduleOffset.count() > experiment.seconds / 3 && scheduleOffset.count() < 2 * experiment.seconds / 3;
        std::exponential_distribution<double> gap(experiment.requestsPerSecond * (isSurging ? experiment.surge : 1.0));
        timer.expires_at(next);
        co_await timer.async_wait(asio::use_awaitable);
        const int chat = std::uniform_int_distribution<int>(0, experiment.chats - 1)(random);
        const auto text = makeWords(experiment.promptWords + experiment.growthWords * turns[chat]++);
        asio::co_spawn(
            executor, measureRequest(harness::toClientRequest(makeRequest("chat-" + std::to_string(chat), text, experiment.tokens)), result), asio::detached);
        next += std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(gap(random)));
    }
}

LoadResult runLoad(const Experiment &experiment, const MakeRequest &makeRequest)
{
    asio::io_context context(1);
    LoadResult result;
    asio::co_spawn(context, generateLoad(experiment, makeRequest, result), asio::detached);
    context.run();
    return result;
}

void printResult(const std::string &name, const LoadResult &result)
{
    std::cout << std::left << std::setw(34) << name << std::fixed << std::setprecision(2) << "answered " << result.latenciesMs.size() << ", failed "
              << result.failed << ", ms p50 " << quantile(result.latenciesMs, 0.5) << "  p95 " << quantile(result.latenciesMs, 0.95) << "  p99 "
              << quantile(result.latenciesMs, 0.99) << '\n';
}

/** @brief Returns a function that addresses the requests to the routers of a fleet in turn. */
MakeRequest roundRobinOverRouters(const LocalFleet &fleet)
{
    return [&fleet, router = std::make_shared<std::size_t>(0)](const std::string &chat, const std::string &text, int tokens) {
        return fleet.makeChatRequest((*router)++ % fleet.routers.size(), chat, text, tokens);
    };
}

/** @brief Measures the latency and processor time that a router and an agent add to requests to an engine. */
void measureOverhead(const Experiment &experiment)
{
    harness::FleetShape shape;
    shape.routerCount = 1;
    shape.zones = {"az-a"};
    shape.enginesPerZone = 1;
    shape.serviceCount = 0;
    shape.engineArguments = {"--prefill-us", "1", "--decode-us", "100", "--cache-tokens", "1000000"};
    LocalFleet fleet(shape);
    const auto direct = [&fleet](const std::string &chat, const std::string &text, int tokens) {
        auto request = fleet.makeChatRequest(0, chat, text, tokens);
        request.address = fleet.engines[0].backendAddress;
        return request;
    };
    // The first run fills the engine's prefix cache and is not measured.
    static_cast<void>(runLoad(experiment, direct));
    const auto directResult = runLoad(experiment, direct);
    const auto routerBefore = usageOf(fleet.routers[0].process.pid());
    const auto agentBefore = usageOf(fleet.engines[0].agentProcess.pid());
    const auto routedResult = runLoad(experiment, roundRobinOverRouters(fleet));
    const auto routerAfter = usageOf(fleet.routers[0].process.pid());
    const auto agentAfter = usageOf(fleet.engines[0].agentProcess.pid());
    printResult("engine directly", directResult);
    printResult("through router and agent", routedResult);
    for (const double fraction : {0.5, 0.99}) {
        const double directMs = quantile(directResult.latenciesMs, fraction);
        const double routedMs = quantile(routedResult.latenciesMs, fraction);
        std::cout << "overhead at p" << fraction * 100 << ": " << routedMs - directMs << " ms, ratio " << routedMs / directMs << '\n';
    }
    const auto count = static_cast<double>(routedResult.latenciesMs.size());
    std::cout << "processor time a request: router " << (routerAfter.cpuSeconds - routerBefore.cpuSeconds) / count * 1e6 << " us, agent "
              << (agentAfter.cpuSeconds - agentBefore.cpuSeconds) / count * 1e6 << " us\n";
}

/** @brief Measures the memory of a router and an agent by the number of open streams. */
void measureOpenStreams()
{
    harness::FleetShape shape;
    shape.routerCount = 1;
    shape.zones = {"az-a"};
    shape.enginesPerZone = 1;
    shape.serviceCount = 0;
    shape.poolFields = "load_bound: 1.25, max_tokens: 100000000, cold_tokens: 100000000, warm_up_ms: 10";
    LocalFleet fleet(shape);
    LocalFleet::callTestControl(fleet.engines[0].backendAddress, "/test/hold?step=mid_stream");
    asio::io_context context(1);
    int opened = 0;
    int ended = 0;
    std::cout << "router memory by open streams:";
    for (const int target : {0, 500, 1000, 2000}) {
        for (; opened < target; ++opened) {
            auto request = harness::toClientRequest(fleet.makeChatRequest(0, "chat-" + std::to_string(opened), "hello", 2, true));
            request.timeout = std::chrono::seconds(120);
            asio::co_spawn(context, http::streamResponse(std::move(request), {}), [&ended](const std::exception_ptr &) {
                ++ended;
            });
            context.restart();
            context.run_for(std::chrono::milliseconds(1));
        }
        context.restart();
        context.run_for(std::chrono::seconds(2));
        const auto held = LocalFleet::jsonNumber(fleet.engines[0].backendAddress, "/test/counts", "held");
        std::cout << "  " << target << " (held " << held << "): " << usageOf(fleet.routers[0].process.pid()).residentMegabytes << " MB, agent "
                  << usageOf(fleet.engines[0].agentProcess.pid()).residentMegabytes << " MB;";
    }
    LocalFleet::callTestControl(fleet.engines[0].backendAddress, "/test/release");
    context.restart();
    context.run_for(std::chrono::seconds(10));
    std::cout << "  ended " << ended << '\n';
}

/** @brief Measures the processor time, memory and control traffic of idle processes by the number of engines. */
void measureIdleProcesses()
{
    for (const int engines : {2, 6, 12}) {
        harness::FleetShape shape;
        shape.routerCount = 2;
        shape.zones = {"az-a", "az-b"};
        shape.enginesPerZone = engines / 2;
        shape.serviceCount = 0;
        LocalFleet fleet(shape);
        const auto agentPid = fleet.engines[0].agentProcess.pid();
        const auto routerPid = fleet.routers[0].process.pid();
        const auto agentBefore = usageOf(agentPid);
        const auto routerBefore = usageOf(routerPid);
        const auto bytesBefore = LocalFleet::metric(fleet.engines[0].httpAddress, "cyclamenspool_document_bytes_total")
            + LocalFleet::metric(fleet.engines[0].httpAddress, "cyclamenspool_agent_exchange_bytes_total");
        constexpr double seconds = 6;
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
        const auto bytes = LocalFleet::metric(fleet.engines[0].httpAddress, "cyclamenspool_document_bytes_total")
            + LocalFleet::metric(fleet.engines[0].httpAddress, "cyclamenspool_agent_exchange_bytes_total") - bytesBefore;
        std::cout << "idle with " << engines << " engines: agent " << (usageOf(agentPid).cpuSeconds - agentBefore.cpuSeconds) / seconds * 100 << "% of a core, "
                  << usageOf(agentPid).residentMegabytes << " MB, control " << bytes / seconds << " B/s; router "
                  << (usageOf(routerPid).cpuSeconds - routerBefore.cpuSeconds) / seconds * 100 << "% of a core, " << usageOf(routerPid).residentMegabytes
                  << " MB\n";
    }
}

/** @brief Runs an experiment on a fleet in two availability zones. */
void runExperiment(const Experiment &experiment)
{
    harness::FleetShape shape;
    shape.serviceCount = 0;
    LocalFleet fleet(shape);
    const auto result = runLoad(experiment, roundRobinOverRouters(fleet));
    printResult(experiment.name, result);
    double maxAdmitted = 0;
    double sum = 0;
    for (const auto &engine : fleet.engines) {
        const auto admitted = static_cast<double>(LocalFleet::jsonNumber(engine.httpAddress, "/status", "admitted"));
        maxAdmitted = std::max(maxAdmitted, admitted);
        sum += admitted;
    }
    const double reuse = result.promptTokens == 0 ? 0 : static_cast<double>(result.cachedTokens) / static_cast<double>(result.promptTokens);
    std::cout << "cached share of the prompt tokens " << reuse << ", requests of the busiest engine relative to the mean "
              << maxAdmitted * static_cast<double>(fleet.engines.size()) / sum << '\n';
}

int run(int argc, char **argv)
{
    po::options_description options("options");
    auto add = options.add_options();
    add("experiment", po::value<std::string>(), "experiment file (YAML); default: measure overhead, open streams and idle processes");
    const auto parsed = fake::parseCommandLine(options, argc, argv);
    if (!parsed) {
        return 0;
    }
    const auto &values = *parsed;
    std::cout << std::fixed << std::setprecision(2);
    if (values.count("experiment") > 0) {
        runExperiment(readExperiment(values["experiment"].as<std::string>()));
        return 0;
    }
    measureOverhead(readExperiment(std::string(CYCLAMENSPOOL_BENCH_DIR) + "/experiments/overhead.yaml"));
    measureOpenStreams();
    measureIdleProcesses();
    return 0;
}

} // namespace cyclamenspool::bench

int main(int argc, char **argv)
{
    return cyclamenspool::fake::runProgram(cyclamenspool::bench::run, argc, argv);
}
