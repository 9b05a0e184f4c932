#include <catch2/catch.hpp>

#include <harness/eventstream.h>
#include <harness/gatewayfleet.h>
#include <harness/localfleet.h>

#include <cyclamenspool/wire/endpoint.h>

#include <boost/asio/read.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <future>
#include <random>
#include <thread>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using harness::chunk;
using harness::formatResponseWithDigest;
using harness::GatewayFleet;
using harness::LocalFleet;
using harness::PlainRequest;
using harness::PlainSocket;
using harness::responseHeadFor;
using harness::serverSentEvent;
using harness::writeAll;

namespace {

/** @brief How a request on a connection ended, as its caller sees it. */
enum class End : int {
    Answered, /**< A complete response. */
    Unread, /**< The connection was reset or could not be used: a gateway that closes with unread bytes resets. */
    GivenUp, /**< The connection was closed in order without a complete response: the request was read and not answered. */
};

std::string formatRequest(const std::string &id, const std::string &path)
{
    return "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key-1\r\nCyclamenspool-Request-Id: " + id
        + "\r\nCyclamenspool-Deadline-Ms: 9000\r\nContent-Length: 0\r\n\r\n";
}

/** @brief A connection of a caller to a gateway. */
class Caller
{
public:
    explicit Caller(const GatewayFleet::Gateway &gateway)
        : socket_(context_)
    {
        boost::system::error_code error;
        socket_.connect(wire::parseEndpoint(gateway.callerAddress), error);
        isOpen_ = !error;
    }

    /** @brief Sends a request and waits for the end of its response. */
    End request(const std::string &id, const std::string &path = "/once/x")
    {
        const bool isSent = isOpen_ && writeAll(socket_, formatRequest(id, path));
        if (!isSent) {
            isOpen_ = false;
            return End::Unread;
        }
        boost::beast::http::response<boost::beast::http::string_body> response;
        boost::system::error_code error;
        boost::beast::http::read(socket_, buffer_, response, error);
        status_ = error ? 0 : response.result_int();
        isOpen_ = !error && response.keep_alive();
        if (!error) {
            return End::Answered;
        }
        return error == boost::asio::error::connection_reset ? End::Unread : End::GivenUp;
    }

    /** @brief Returns whether the connection can be used for another request, as far as the last response tells. */
    [[nodiscard]] bool isOpen() const noexcept
    {
        return isOpen_;
    }

    /** @brief Returns the status of the last response; 0 if there was none. */
    [[nodiscard]] unsigned status() const noexcept
    {
        return status_;
    }

private:
    boost::asio::io_context context_;
    PlainSocket socket_;
    boost::beast::flat_buffer buffer_;
    bool isOpen_ = false;
    unsigned status_ = 0;
};

/** @brief Makes a backend server send a stream of events, one each 100 ms. */
void sendStreams(harness::FakeBackendServer &server, int events)
{
    server.setHandler([events](const PlainRequest &request, PlainSocket &socket) {
        if (request.target().substr(0, 8) != "/stream/") {
            return writeAll(socket, formatResponseWithDigest(request, "done"));
        }
        bool isOpen = writeAll(socket, responseHeadFor(request));
        for (int id = 1; id <= events && isOpen; ++id) {
            isOpen = writeAll(socket, chunk(serverSentEvent(id)));
            std::this_thread::sleep_for(100ms);
        }
        return writeAll(socket, "0\r\n\r\n");
    });
}

} // namespace

// Guards against a request that is read and dropped on a connection whose last response promised that it stays open.
TEST_CASE("planned stop: the request after a stream whose headers kept the connection open is answered", "[process][gateway][stop]")
{
    GatewayFleet fleet(1, 1);
    auto &gateway = fleet.gateways[0];
    const auto streamStart = GENERATE(-100ms, 600ms); /* after the signal; the stream ends while new requests are accepted, and while they are refused */
    CAPTURE(streamStart.count());
    sendStreams(*fleet.backendServers[0], 27);
    if (streamStart > 0ms) {
        gateway.process.signal(SIGTERM);
        std::this_thread::sleep_for(streamStart);
    }
    std::vector<std::future<std::pair<End, unsigned>>> callers;
    for (int i = 0; i < 8; ++i) {
        callers.push_back(std::async(std::launch::async, [&gateway, i] {
            Caller caller(gateway);
            const auto id = "r" + std::to_string(i);
            const auto first = caller.request(id + "a", "/stream/x");
            if (first != End::Answered || !caller.isOpen()) {
                return std::pair(End::Unread, 0U); // The response to the stream did not promise an open connection.
            }
            const auto second = caller.request(id + "b");
            return std::pair(second, caller.status());
        }));
    }
    if (streamStart < 0ms) {
        std::this_thread::sleep_for(-streamStart);
        gateway.process.signal(SIGTERM);
    }
    for (auto &each : callers) {
        const auto [end, status] = each.get();
        CHECK(end == End::Answered);
        CHECK((status == 200 || status == 503));
    }
    CHECK(gateway.process.wait(7s) == 0);
}

// Guards against an exit that comes before the requests in progress were ended, if the event loop is late at that time.
TEST_CASE("planned stop: requests in progress are answered by a process that is suspended until its exit", "[process][gateway][stop]")
{
    GatewayFleet fleet(1, 1);
    auto &gateway = fleet.gateways[0];
    GatewayFleet::setGracePeriod(gateway, 2500ms);
    fleet.backendServers[0]->setHandler([](const PlainRequest &, PlainSocket &) {
        std::this_thread::sleep_for(5000ms);
        return false;
    });
    std::vector<std::future<std::pair<End, unsigned>>> callers;
    for (int i = 0; i < 8; ++i) {
        callers.push_back(std::async(std::launch::async, [&gateway, i] {
            Caller caller(gateway);
            const auto end = caller.request("r" + std::to_string(i));
            return std::pair(end, caller.status());
        }));
    }
    std::this_thread::sleep_for(200ms);
    gateway.process.signal(SIGTERM);
    std::this_thread::sleep_for(1400ms);
    gateway.process.signal(SIGSTOP);
    std::this_thread::sleep_for(800ms);
    gateway.process.signal(SIGCONT);
    for (auto &each : callers) {
        const auto [end, status] = each.get();
        CHECK(end == End::Answered);
        CHECK(status == 502); /* it may have run */
    }
    CHECK(gateway.process.wait(2s) == 0);
}

// Guards against a request that is accepted after a longer grace period came into force, and that nothing ends before the exit.
TEST_CASE("planned stop: a request is answered before the exit although the grace period was lengthened meanwhile", "[process][gateway][stop]")
{
    GatewayFleet fleet(1, 1);
    auto &gateway = fleet.gateways[0];
    GatewayFleet::setGracePeriod(gateway, 2500ms); /* requests are ended 1.7 s after the signal, and the process exits 0.4 s later */
    fleet.backendServers[0]->setHandler([](const PlainRequest &request, PlainSocket &socket) {
        if (request["Cyclamenspool-Request-Id"] == "long") {
            constexpr std::size_t bodyBytes = 100UL * 1024;
            return writeAll(socket, formatResponseWithDigest(request, std::string(bodyBytes, 'x')));
        }
        std::this_thread::sleep_for(6000ms);
        return false;
    });
    // The response that the caller has not received keeps the connection through the end of requests.
    boost::asio::io_context context;
    PlainSocket socket(context);
    socket.open(boost::asio::ip::tcp::v4());
    socket.set_option(boost::asio::socket_base::receive_buffer_size(16 * 1024));
    socket.connect(wire::parseEndpoint(gateway.callerAddress));
    REQUIRE(writeAll(socket, formatRequest("long", "/again/x")));
    std::this_thread::sleep_for(300ms);
    gateway.process.signal(SIGTERM);
    // The gateway closes its listener when it ends the requests, 0.4 s before its exit.
    REQUIRE(LocalFleet::waitUntil([&gateway] {
        return !Caller(gateway).isOpen();
    }));
    GatewayFleet::setGracePeriod(gateway, 5500ms);
    boost::beast::flat_buffer buffer;
    boost::beast::http::response<boost::beast::http::string_body> response;
    boost::beast::http::read(socket, buffer, response);
    REQUIRE(response.keep_alive());
    std::this_thread::sleep_for(300ms); /* until the times of the stop follow the new period; requests are accepted until 2.85 s */
    REQUIRE(writeAll(socket, formatRequest("late", "/again/x")));
    response = {};
    boost::system::error_code error;
    boost::beast::http::read(socket, buffer, response, error);
    CHECK(!error);
    CHECK(response.result_int() == 502); /* it may have run */
    CHECK(gateway.process.wait(4s) == 0);
}

// Guards against a request that is read and not answered at any moment of a planned stop, while the process is late by up to 0.3 s.
TEST_CASE("planned stop of a late process: no request is read and given up, whenever it arrives", "[process][gateway][stop]")
{
    GatewayFleet fleet(1, 1);
    auto &gateway = fleet.gateways[0];
    sendStreams(*fleet.backendServers[0], 22);
    std::atomic<bool> isProcessGone{false};
    std::atomic<int> answered{0};
    std::atomic<int> givenUp{0};
    std::vector<std::future<void>> callers;
    for (int number = 0; number < 12; ++number) {
        callers.push_back(std::async(std::launch::async, [&, number] {
            for (int i = 0; !isProcessGone; ++i) {
                Caller caller(gateway);
                // Odd callers keep their connections, with pauses; the others use a new one for each request.
                for (int j = 0; !isProcessGone; ++j) {
                    const auto end = caller.request(std::to_string(number) + "-" + std::to_string(i) + "-" + std::to_string(j));
                    answered += end == End::Answered ? 1 : 0;
                    givenUp += end == End::GivenUp ? 1 : 0;
                    std::this_thread::sleep_for(std::chrono::milliseconds(1 + number));
                    if (number % 2 == 0 || !caller.isOpen()) {
                        break;
                    }
                }
            }
        }));
    }
    std::this_thread::sleep_for(200ms);
    gateway.process.signal(SIGTERM);
    auto streams = std::async(std::launch::async, [&gateway] {
        // The streams keep the process until 4.7 s after the signal.
        std::vector<std::future<End>> ends;
        for (int i = 0; i < 3; ++i) {
            std::this_thread::sleep_for(i == 0 ? 0ms : 1250ms);
            ends.push_back(std::async(std::launch::async, [&gateway, i] {
                return Caller(gateway).request("stream-" + std::to_string(i), "/stream/x");
            }));
        }
        return std::all_of(ends.begin(), ends.end(), [](auto &end) {
            return end.get() == End::Answered;
        });
    });
    std::mt19937 random(29); // NOLINT(cert-msc32-c,cert-msc51-cpp): the pauses are to be the same in every run
    while (gateway.process.wait(0ms) == -1) {
        gateway.process.signal(SIGSTOP);
        std::this_thread::sleep_for(std::chrono::milliseconds(20 + random() % 280));
        gateway.process.signal(SIGCONT);
        std::this_thread::sleep_for(std::chrono::milliseconds(5 + random() % 40));
    }
    isProcessGone = true;
    for (auto &each : callers) {
        each.get();
    }
    CHECK(streams.get());
    CHECK(answered > 50);
    CHECK(givenUp == 0);
}

// Guards against a request that is sent on although it cannot end before the process does, so that its result is lost.
TEST_CASE("planned stop: a request that cannot be repeated and usually takes longer than the time left is refused and not run", "[process][gateway][stop]")
{
    GatewayFleet fleet(1, 1);
    auto &gateway = fleet.gateways[0];
    GatewayFleet::setGracePeriod(gateway, 2800ms); /* requests are ended after 2 s */
    auto &server = *fleet.backendServers[0];
    server.setHandler([](const PlainRequest &request, PlainSocket &socket) {
        std::this_thread::sleep_for(800ms);
        return writeAll(socket, formatResponseWithDigest(request, "done"));
    });
    std::vector<std::future<End>> earlier;
    for (int i = 0; i < 4; ++i) {
        earlier.push_back(std::async(std::launch::async, [&gateway, i] {
            return Caller(gateway).request("earlier-" + std::to_string(i));
        }));
    }
    for (auto &each : earlier) {
        CHECK(each.get() == End::Answered);
    }
    gateway.process.signal(SIGTERM);
    std::this_thread::sleep_for(500ms);
    Caller inTime(gateway);
    CHECK(inTime.request("in-time") == End::Answered);
    CHECK(inTime.status() == 200);
    Caller late(gateway);
    CHECK(late.request("late") == End::Answered);
    CHECK(late.status() == 503);
    CHECK(server.runCount("late") == 0);
    Caller repeatable(gateway);
    CHECK(repeatable.request("repeatable", "/again/x") == End::Answered);
    CHECK(server.runCount("repeatable") == 1);
    CHECK(gateway.process.wait(3s) == 0);
}
