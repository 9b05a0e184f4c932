#include <catch2/catch.hpp>

#include <cyclamenspool/wire/peerconnectionpool.h>
#include <cyclamenspool/wire/peerserver.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

using namespace cyclamenspool;
using namespace std::chrono_literals;

namespace {

constexpr int maxSteps = 60; /* handlers that run before the close; a request is answered within fewer */

/** @brief A peer server and a client on one context that the test drives; the server replies after 5 ms. */
class DrivenPeers
{
public:
    DrivenPeers()
        : server(context,
                 "127.0.0.1:0",
                 wire::SessionLimits(),
                 [this](const std::shared_ptr<wire::ServerStream> &stream, const std::string &, const std::string &message) {
                     handled.push_back(message);
                     if (message == "fail") {
                         throw std::runtime_error("failed");
                     }
                     auto timer = std::make_shared<boost::asio::steady_timer>(context, 5ms);
                     timer->async_wait([timer, stream](const boost::system::error_code &) {
                         stream->send("reply", true);
                     });
                 })
        , client(context, wire::SessionLimits())
    {
    }

    /** @brief Sends a request to the server. */
    void submit(const std::string &message)
    {
        wire::StreamCallbacks callbacks;
        callbacks.onMessage = [this](const std::string &) {
            ++replies;
        };
        callbacks.onEnd = [this](const wire::StreamEnd &streamEnd) {
            end = streamEnd;
        };
        client.submit("127.0.0.1:" + std::to_string(server.endpoint().port()), "/test", message, std::move(callbacks));
    }

    /** @brief Runs handlers until the client's stream has ended, at most for 2 s. */
    void driveToEnd()
    {
        const auto deadline = std::chrono::steady_clock::now() + 2s;
        while (!end && std::chrono::steady_clock::now() < deadline) {
            context.run_one_for(10ms);
            context.restart();
        }
    }

    boost::asio::io_context context{1};
    std::vector<std::string> handled;
    int replies = 0;
    std::optional<wire::StreamEnd> end;
    wire::PeerServer server;
    wire::PeerConnectionPool client;
};

} // namespace

// Guards against streams that a closing server has taken and does not answer, or has not handled and does not say so.
TEST_CASE("a stream is answered or reported as not processed at whatever step its server closes", "[wire]")
{
    const bool isConnected = GENERATE(false, true);
    const int steps = GENERATE(range(0, maxSteps));
    CAPTURE(isConnected, steps);
    DrivenPeers peers;
    if (isConnected) {
        peers.submit("first");
        peers.driveToEnd();
        REQUIRE(peers.replies == 1);
        peers.end.reset();
        peers.replies = 0;
        peers.handled.clear();
    }
    peers.submit("second");
    for (int step = 0; step < steps; ++step) {
        peers.context.poll_one();
        peers.context.restart();
    }
    peers.server.close();
    peers.driveToEnd();
    REQUIRE(peers.end.has_value());
    if (peers.handled.empty()) {
        CHECK_FALSE(peers.end->maybeProcessed);
    } else {
        CHECK(peers.replies == 1);
        CHECK(peers.end->isComplete);
    }
}

// Guards against a stream that stays open for good because its handler failed: its caller waits for the deadline, a planned stop for the shutdown limit.
TEST_CASE("a stream whose handler fails ends, and its server can close", "[wire]")
{
    DrivenPeers peers;
    peers.submit("fail");
    peers.driveToEnd();
    REQUIRE(peers.end.has_value());
    CHECK(peers.handled.size() == 1);
    CHECK(peers.replies == 0);
    CHECK(peers.end->maybeProcessed);
    CHECK_FALSE(peers.end->isComplete);
    bool isQuiet = false;
    peers.server.close([&] {
        isQuiet = true;
    });
    peers.context.run_for(200ms);
    CHECK(isQuiet);
}
