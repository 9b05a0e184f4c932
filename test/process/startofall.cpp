#include <catch2/catch.hpp>

#include <harness/gatewayfleet.h>
#include <harness/localfleet.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using harness::GatewayFleet;
using harness::LocalFleet;

namespace {

constexpr auto firstTime = 1000ms;
constexpr auto sendPeriod = 15ms;

/** @brief An address at which no attempt to connect is answered, as that of a VM that is gone: the queue of its listener is full. */
class UnansweredAddress
{
public:
    UnansweredAddress()
        : acceptor_(context_, tcp::v4())
    {
        acceptor_.bind(tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        acceptor_.listen(0);
        for (int i = 0; i < 4; ++i) {
            auto &filler = fillers_.emplace_back(context_, tcp::v4());
            filler.async_connect(acceptor_.local_endpoint(), [](const boost::system::error_code &) {});
        }
    }

    /** @brief Returns the IP address and port. */
    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

private:
    using tcp = boost::asio::ip::tcp;

    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
    std::vector<tcp::socket> fillers_;
};

/** @brief Outcomes of requests. */
struct Counts {
    std::atomic<int> answered{0};
    std::atomic<int> refused{0}; /* 503 */
    std::atomic<int> others{0};
};

/** @brief Sends a request and counts its outcome; one that could not connect is not counted. */
void sendAndCount(const harness::HttpRequest &request, Counts &counts)
{
    const int status = sendRequest(request).status;
    if (status == 200) {
        ++counts.answered;
    } else if (status == 503) {
        ++counts.refused;
    } else if (status != 0) {
        ++counts.others;
    }
}

/** @brief Sends requests to all gateways for a time, each on a thread and a connection of its own, and waits for their outcomes. */
void sendForAWhile(const GatewayFleet &fleet, const std::string &name, Counts &counts)
{
    const auto end = std::chrono::steady_clock::now() + firstTime;
    std::vector<std::thread> threads;
    for (int number = 0; std::chrono::steady_clock::now() < end; ++number) {
        for (std::size_t i = 0; i < fleet.gateways.size(); ++i) {
            threads.emplace_back([&fleet, &counts, id = name + "-" + std::to_string(number) + "-" + std::to_string(i), i] {
                sendAndCount(fleet.makeRequest(id, "/again/x", i), counts);
            });
        }
        std::this_thread::sleep_for(sendPeriod);
    }
    for (auto &thread : threads) {
        thread.join();
    }
}

void killAll(GatewayFleet &fleet)
{
    for (auto &gateway : fleet.gateways) {
        gateway.process.kill();
    }
}

void startAll(GatewayFleet &fleet)
{
    for (auto &gateway : fleet.gateways) {
        fleet.start(gateway);
    }
}

/** @brief Adds a seed to the settings of all gateways. @param address Peer address. */
void addSeed(GatewayFleet &fleet, const std::string &address)
{
    for (const auto &gateway : fleet.gateways) {
        auto settings = GatewayFleet::readSettings(gateway);
        const std::string key = "seed_peers: [";
        settings.insert(settings.find(key) + key.size(), "'" + address + "', ");
        GatewayFleet::writeSettings(gateway, settings);
    }
}

} // namespace

// Guards against gateways that refuse requests for longer than it takes to learn that no peer can know more than the store.
TEST_CASE("gateways that are killed and start at the same time refuse none of the requests of their first second", "[process][gateway][start]")
{
    const bool isEraNamed = GENERATE(true, false);
    const bool isSeedGone = GENERATE(false, true);
    CAPTURE(isEraNamed, isSeedGone);
    GatewayFleet fleet(3, 2);
    if (!isEraNamed) {
        killAll(fleet);
        fleet.store.setSendingEra(false);
    }
    const UnansweredAddress gone;
    if (isSeedGone) {
        addSeed(fleet, gone.address());
    }
    killAll(fleet);
    startAll(fleet);
    Counts counts;
    sendForAWhile(fleet, "first", counts);
    CHECK(counts.refused == 0);
    CHECK(counts.others == 0);
    CHECK(counts.answered > 0);
}

// Guards against callers that are kept waiting for a store that is away, and against a refusal that does not say when to come back.
TEST_CASE("gateways that start at the same time without a store refuse requests at once and name a time to return", "[process][gateway][start]")
{
    GatewayFleet fleet(2, 1);
    killAll(fleet);
    fleet.store.setStatus(503);
    startAll(fleet);
    std::this_thread::sleep_for(firstTime);
    const auto before = std::chrono::steady_clock::now();
    const auto refused = sendRequest(fleet.makeRequest("away", "/again/x"));
    CHECK(refused.status == 503);
    CHECK(std::chrono::steady_clock::now() - before < 200ms);
    const auto retryAfter = refused.header("retry-after");
    REQUIRE_FALSE(retryAfter.empty());
    CHECK(std::stod(retryAfter) > 0);
    CHECK_FALSE(GatewayFleet::isReady(fleet.gateways[0]));
    fleet.store.setStatus(200);
    CHECK(LocalFleet::waitUntil([&fleet] {
        return sendRequest(fleet.makeRequest("back", "/again/x")).status == 200;
    }));
}

// Guards against a gateway that starts beside a frozen peer and refuses what it could hold until the peer is given up.
TEST_CASE("a gateway that starts beside a frozen peer refuses none of the requests that can wait for its end", "[process][gateway][start]")
{
    GatewayFleet fleet(2, 3); /* all that was held runs at once: enough slots, as their lack is refused too */
    fleet.gateways[1].process.signal(SIGSTOP);
    fleet.gateways[0].process.kill();
    fleet.start(fleet.gateways[0]);
    Counts counts;
    std::vector<std::thread> threads;
    const auto end = std::chrono::steady_clock::now() + firstTime;
    for (int number = 0; std::chrono::steady_clock::now() < end; ++number) {
        threads.emplace_back([&fleet, &counts, number] {
            auto request = fleet.makeRequest("beside-" + std::to_string(number), "/again/x");
            request.headers[2].second = "10000";
            sendAndCount(request, counts);
        });
        std::this_thread::sleep_for(3 * sendPeriod);
    }
    for (auto &thread : threads) {
        thread.join();
    }
    fleet.gateways[1].process.signal(SIGCONT);
    CHECK(counts.others == 0);
    CHECK(counts.answered > 0);
    CHECK(counts.refused == 0);
}
