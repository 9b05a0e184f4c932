#include <catch2/catch.hpp>

#include <harness/gatewayfleet.h>
#include <harness/localfleet.h>

#include <cyclamenspool/wire/peerconnectionpool.h>

#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using harness::GatewayFleet;
using harness::LocalFleet;

namespace {

/** @brief Named pipe with a buffer of one page; its bytes stay unread until read() is called. */
class UnreadPipe
{
public:
    explicit UnreadPipe(std::string name)
        : name_(std::move(name))
    {
        constexpr mode_t ownerOnly = 0600;
        constexpr int pageBytes = 4096;
        REQUIRE(mkfifo(name_.c_str(), ownerOnly) == 0);
        descriptor_ = open(name_.c_str(), O_RDWR | O_NONBLOCK);
        REQUIRE(descriptor_ >= 0);
        REQUIRE(fcntl(descriptor_, F_SETPIPE_SZ, pageBytes) >= pageBytes);
    }

    ~UnreadPipe()
    {
        close(descriptor_);
    }

    UnreadPipe(const UnreadPipe &) = delete;
    UnreadPipe &operator=(const UnreadPipe &) = delete;

    /** @brief Reads without waiting. @return Bytes available, at most 64 KiB. */
    [[nodiscard]] std::string read() const
    {
        std::string bytes(65536, '\0');
        const auto size = ::read(descriptor_, bytes.data(), bytes.size());
        bytes.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
        return bytes;
    }

private:
    std::string name_;
    int descriptor_ = -1;
};

/** @brief One gateway and one backend server; the gateway logs to an UnreadPipe. */
struct PipedFleet : GatewayFleet {
    PipedFleet()
        : GatewayFleet(1, 1)
        , pipe(gateways[0].logFile + ".pipe")
    {
        auto &gateway = gateways[0];
        gateway.process.kill();
        gateway.logFile += ".pipe";
        start(gateway);
        REQUIRE(LocalFleet::waitUntil([&gateway] {
            return isReady(gateway);
        }));
    }

    UnreadPipe pipe;
};

} // namespace

TEST_CASE("a log pipe that nobody reads delays neither requests nor the shutdown", "[process][gateway][log]")
{
    PipedFleet fleet;
    auto &gateway = fleet.gateways[0];
    constexpr int requestsThatFillThePipe = 300;
    for (int i = 0; i < requestsThatFillThePipe; ++i) {
        auto call = fleet.makeRequest("r" + std::to_string(i));
        call.timeout = 2s;
        REQUIRE(sendRequest(call).status == 200);
    }
    gateway.process.signal(SIGTERM);
    CHECK(gateway.process.wait(6s) == 0);
}

TEST_CASE("a log pipe that is read late reports the dropped lines", "[process][gateway][log]")
{
    PipedFleet fleet;
    const auto deadline = std::chrono::steady_clock::now() + 5s; /* long enough to log more lines, at the limit of lines per second, than the log queue holds */
    for (int i = 0; std::chrono::steady_clock::now() < deadline; ++i) {
        auto call = fleet.makeRequest("r" + std::to_string(i));
        call.timeout = 2s;
        REQUIRE(sendRequest(call).status == 200);
    }
    std::string text;
    CHECK(LocalFleet::waitUntil([&] {
        text += fleet.pipe.read();
        return text.find("\"event\":\"lines_left_out\"") != std::string::npos;
    }));
}

TEST_CASE("metrics and status show versions, peers, and the availability and statistics of backend servers", "[process][gateway][log]")
{
    GatewayFleet fleet(2, 2);
    for (int i = 0; i < 10; ++i) {
        REQUIRE(sendRequest(fleet.makeRequest("r" + std::to_string(i))).status == 200);
    }
    REQUIRE(sendRequest(fleet.makeRequest("lost", "/unknown/x")).status == 404);
    harness::HttpRequest call;
    call.address = fleet.gateways[0].metricsAddress;
    call.target = "/metrics";
    const auto metrics = sendRequest(call).body;
    INFO(metrics);
    for (const std::string line : {"cyclamenspool_ready 1",
                                   "cyclamenspool_peers 1",
                                   "cyclamenspool_routing_version 1",
                                   "cyclamenspool_admitted_total 10",
                                   "cyclamenspool_servers{standing=\"usable\"} 2",
                                   "cyclamenspool_refusals_total{kind=\"unknown_path\"} 1",
                                   "cyclamenspool_request_seconds_count{kind=\"non_idempotent\"} 10",
                                   "cyclamenspool_workspace_requests_total{workspace=\"desk\",answered=\"yes\"} 10",
                                   "cyclamenspool_store_answers{section=\"servers/\"} 1"}) {
        CHECK(metrics.find(line + "\n") != std::string::npos);
    }
    CHECK(metrics.find("process_cpu_seconds_total ") != std::string::npos);
    CHECK(metrics.find("cyclamenspool_server_answered_total{server=\"i-0\"} ") != std::string::npos);
    call.target = "/status";
    const auto status = boost::json::parse(sendRequest(call).body).as_object();
    CHECK(status.at("ready").as_bool());
    CHECK(status.at("routing_version") == 1);
    CHECK(status.at("peers").as_array().at(0).as_object().at("vm") == "gateway-1");
    std::int64_t answeredRequests = 0;
    for (const auto &server : status.at("backend_servers").as_array()) {
        CHECK(server.as_object().at("standing") == "usable");
        CHECK(server.as_object().at("report_age_ms").as_int64() >= 0);
        answeredRequests += server.as_object().at("answered").to_number<std::int64_t>();
    }
    CHECK(answeredRequests == 10);
}

TEST_CASE("malformed peer messages are logged and ignored", "[process][gateway][log]")
{
    GatewayFleet fleet(2, 1);
    const auto &gateway = fleet.gateways[0];
    boost::asio::io_context context;
    wire::PeerConnectionPool pool(context, {});
    int endedStreams = 0;
    for (const std::string message : {"", "\xff\xff\xff", "\x12\x07nowhere"}) {
        wire::StreamCallbacks callbacks;
        callbacks.onEnd = [&endedStreams](const wire::StreamEnd &) {
            ++endedStreams;
        };
        auto sameCallbacks = callbacks;
        pool.submit(gateway.peerAddress, "/news", message, std::move(callbacks));
        pool.submit(gateway.peerAddress, "/zone", message, std::move(sameCallbacks));
    }
    context.run_for(1s);
    CHECK(endedStreams == 6);
    CHECK(LocalFleet::waitUntil([&gateway] {
        const auto log = GatewayFleet::readLog(gateway);
        return log.find("peer_message_unreadable") != std::string::npos && log.find("peer_address_passed_over") != std::string::npos;
    }));
    CHECK(sendRequest(fleet.makeRequest("r1")).status == 200);
    CHECK(GatewayFleet::isReady(gateway));
}
