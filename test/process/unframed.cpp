#include <catch2/catch.hpp>

#include <harness/eventstream.h>
#include <harness/gatewayfleet.h>
#include <harness/unframed.h>

#include <harness/ports.h>

#include <cyclamenspool/http/server.h>

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <stdexcept>
#include <thread>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using harness::callWithVersion;
using harness::ConnectionEnd;
using harness::GatewayFleet;
using harness::PlainRequest;
using harness::PlainSocket;
using harness::sendUnframed;
using harness::serverSentEvent;

namespace {

constexpr int eventCount = 3;
constexpr unsigned oldVersion = 10; /* HTTP/1.0 */
constexpr unsigned currentVersion = 11; /* HTTP/1.1 */

std::string eventsFrom(int first)
{
    std::string events;
    for (int id = first; id <= eventCount; ++id) {
        events += serverSentEvent(id);
    }
    return events;
}

/** @brief Returns whether the first bytes of a stream end with a complete event. */
bool endsWithEvent(std::size_t bytes)
{
    std::size_t end = 0;
    for (int id = 1; id <= eventCount && end < bytes; ++id) {
        end += serverSentEvent(id).size();
    }
    return bytes > 0 && end == bytes;
}

/** @brief Gateway in front of servers whose next response is broken off; later ones are complete. */
class BrokenOffFleet
{
public:
    explicit BrokenOffFleet(const std::string &body)
        : fleet(1, 2)
    {
        for (auto &server : fleet.backendServers) {
            server->setHandler([this, body](const PlainRequest &request, PlainSocket &socket) {
                if (isNextBrokenOff.exchange(false)) {
                    return sendUnframed(request, socket, body, bytes, end);
                }
                const std::string last(request["Last-Event-Id"]);
                const auto rest = last.empty() ? body : eventsFrom(std::stoi(last) + 1);
                return sendUnframed(request, socket, rest, rest.size(), ConnectionEnd::Fin);
            });
        }
    }

    /** @brief Sends a request whose response is broken off after some bytes of its body. */
    harness::SeenResponse call(const std::string &path, std::size_t sentBytes, ConnectionEnd connectionEnd, unsigned version = currentVersion)
    {
        bytes = sentBytes;
        end = connectionEnd;
        isNextBrokenOff = true;
        return callWithVersion(fleet.gateways[0].callerAddress, path, "r" + std::to_string(++number), version);
    }

    /** @brief Sends as many requests without a fault as allow one retry. */
    void callSound()
    {
        constexpr int requestsForOneRetry = 5;
        for (int i = 0; i < requestsForOneRetry; ++i) {
            CHECK(callWithVersion(fleet.gateways[0].callerAddress, "/once/x", "s" + std::to_string(++number), currentVersion).status == 200);
        }
    }

    GatewayFleet fleet;
    std::atomic<bool> isNextBrokenOff{false};
    std::atomic<std::size_t> bytes{0};
    std::atomic<ConnectionEnd> end{ConnectionEnd::Fin};
    int number = 0;
};

} // namespace

// Guards against a truncated stream without a length that reaches its caller framed as complete.
TEST_CASE("a stream without a length that ends inside an event never looks complete", "[process][gateway][unframed]")
{
    const auto body = eventsFrom(1);
    BrokenOffFleet broken(body);
    for (std::size_t bytes = 0; bytes <= body.size(); ++bytes) {
        INFO("bytes " << bytes);
        const auto ended = broken.call("/stream/x", bytes, ConnectionEnd::Fin);
        CHECK((ended.status == 200 && ended.isComplete) == endsWithEvent(bytes));
        CHECK((ended.status != 200 || body.compare(0, ended.body.size(), ended.body) == 0));
        const auto reset = broken.call("/stream/x", bytes, ConnectionEnd::Reset);
        CHECK_FALSE((reset.status == 200 && reset.isComplete));
    }
}

// Guards against a resumable stream that is relayed as complete, or broken off, instead of being continued at another backend server: between two events, only
// another server's answer tells an end from a crash.
TEST_CASE("a resumable stream without a length is continued wherever its connection ends", "[process][gateway][unframed]")
{
    const auto body = eventsFrom(1);
    const auto end = GENERATE(ConnectionEnd::Fin, ConnectionEnd::Reset);
    BrokenOffFleet broken(body);
    for (std::size_t bytes = 0; bytes <= body.size(); ++bytes) {
        INFO("bytes " << bytes << ", reset " << (end == ConnectionEnd::Reset));
        broken.callSound();
        const auto seen = broken.call("/resumed/x", bytes, end);
        const auto id = "r" + std::to_string(broken.number);
        CHECK(seen.status == 200);
        CHECK(seen.isComplete);
        CHECK(seen.body == body);
        CHECK(broken.fleet.backendServers[0]->runCount(id) + broken.fleet.backendServers[1]->runCount(id) == 2);
    }
}

// Guards against a stream that is continued at another backend server and broken off there as well.
TEST_CASE("a continued stream that ends inside an event again never looks complete", "[process][gateway][unframed]")
{
    GatewayFleet fleet(1, 2);
    for (auto &server : fleet.backendServers) {
        server->setHandler([](const PlainRequest &request, PlainSocket &socket) {
            const std::string last(request["Last-Event-Id"]);
            const auto rest = eventsFrom(last.empty() ? 1 : std::stoi(last) + 1);
            return sendUnframed(request, socket, rest, serverSentEvent(1).size() + 3, ConnectionEnd::Fin);
        });
    }
    const auto seen = callWithVersion(fleet.gateways[0].callerAddress, "/resumed/x", "r1", currentVersion);
    CHECK_FALSE((seen.status == 200 && seen.isComplete));
    CHECK(seen.body == serverSentEvent(1) + serverSentEvent(2));
}

// Guards against a broken-off response whose caller takes the end of its own connection for the end of the response.
TEST_CASE("a broken-off response never looks complete to an HTTP/1.0 caller", "[process][gateway][unframed]")
{
    const auto body = eventsFrom(1);
    BrokenOffFleet broken(body);
    for (std::size_t bytes = 0; bytes <= body.size(); ++bytes) {
        INFO("bytes " << bytes);
        const auto ended = broken.call("/stream/x", bytes, ConnectionEnd::Fin, oldVersion);
        CHECK((ended.status == 200 && ended.isComplete) == endsWithEvent(bytes));
        const auto reset = broken.call("/stream/x", bytes, ConnectionEnd::Reset, oldVersion);
        CHECK_FALSE((reset.status == 200 && reset.isComplete));
        broken.callSound();
        const auto resumed = broken.call("/resumed/x", bytes, ConnectionEnd::Reset, oldVersion);
        CHECK(resumed.status == 200);
        CHECK(resumed.isComplete);
        CHECK(resumed.body == body);
    }
}

// Guards against a response whose HTTP/1.0 caller takes the end of a killed gateway for the end of the response.
TEST_CASE("a response that a killed gateway breaks off does not look complete to an HTTP/1.0 caller", "[process][gateway][unframed]")
{
    GatewayFleet fleet(1, 1);
    fleet.backendServers[0]->setHandler([&fleet](const PlainRequest &request, PlainSocket &socket) {
        harness::writeAll(socket, harness::responseHeadFor(request) + harness::chunk(serverSentEvent(1)));
        std::this_thread::sleep_for(100ms);
        fleet.gateways[0].process.kill();
        return false;
    });
    const auto seen = callWithVersion(fleet.gateways[0].callerAddress, "/stream/x", "r1", oldVersion);
    CHECK(seen.status == 200);
    CHECK_FALSE(seen.isComplete);
}

TEST_CASE("a buffered response without a length is complete when its connection ends, and fails when it is reset", "[process][gateway][unframed]")
{
    const std::string body = "unframed body";
    const unsigned version = GENERATE(oldVersion, currentVersion);
    BrokenOffFleet broken(body);
    for (std::size_t bytes = 0; bytes <= body.size(); ++bytes) {
        INFO("bytes " << bytes << ", HTTP version " << version);
        broken.callSound();
        const auto ended = broken.call("/once/x", bytes, ConnectionEnd::Fin, version);
        CHECK(ended.status == 200);
        CHECK(ended.isComplete);
        CHECK(ended.body == body.substr(0, bytes));
        CHECK(broken.call("/once/x", bytes, ConnectionEnd::Reset, version).status == 502);
        const auto repeated = broken.call("/again/x", bytes, ConnectionEnd::Reset, version);
        CHECK(repeated.status == 200);
        CHECK(repeated.body == body);
    }
}

TEST_CASE("a response that is too long to be buffered is complete when its connection ends, and never when it is reset", "[process][gateway][unframed]")
{
    const std::string body(400000, 'x');
    BrokenOffFleet broken(body);
    const auto reset = broken.call("/once/x", body.size() - 1, ConnectionEnd::Reset);
    CHECK_FALSE((reset.status == 200 && reset.isComplete));
    const auto ended = broken.call("/once/x", body.size(), ConnectionEnd::Fin);
    CHECK(ended.isComplete);
    CHECK(ended.body == body);
}

namespace {

/** @brief Lets a server end its next response as a process that is killed does: no connection is accepted any more, and the open one ends with a FIN. */
void crashInResponse(harness::FakeBackendServer &server, const std::string &body, std::size_t bytes)
{
    server.setHandler([&server, body, bytes](const PlainRequest &request, PlainSocket &socket) {
        server.refuseConnections();
        return sendUnframed(request, socket, body, bytes, ConnectionEnd::Fin);
    });
}

/** @brief Lets servers answer whole, without a length: with a body, or with the rest of a stream. */
void answerUnframed(harness::FakeBackendServer &server, const std::string &body)
{
    server.setHandler([body](const PlainRequest &request, PlainSocket &socket) {
        const std::string last(request["Last-Event-Id"]);
        const auto rest = last.empty() ? body : eventsFrom(std::stoi(last) + 1);
        return sendUnframed(request, socket, rest, rest.size(), ConnectionEnd::Fin);
    });
}

/** @brief Sends an HTTP/1.1 request on a connection that the caller would keep, and returns all bytes up to its end. */
std::string callRaw(const std::string &address, const std::string &path)
{
    return harness::exchangeRaw(address,
                                "POST " + path
                                    + " HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key-1\r\nCyclamenspool-Request-Id: raw\r\n"
                                      "Cyclamenspool-Deadline-Ms: 2500\r\nContent-Length: 0\r\n\r\n",
                                false,
                                2s);
}

} // namespace

// Guards against a crash in the middle of a response without a length whose FIN is taken for the response's end.
TEST_CASE("a response without a length that ends as its server crashes does not look complete", "[process][gateway][unframed]")
{
    const auto events = eventsFrom(1);
    const auto whole = GENERATE(false, true); /* a server that has sent all, and is gone before it could be asked, proves nothing either */
    const auto cut = whole ? events.size() : serverSentEvent(1).size();
    const unsigned version = GENERATE(oldVersion, currentVersion);
    GatewayFleet fleet(1, 1);
    INFO("whole " << whole << ", HTTP version " << version);
    SECTION("buffered, not to be repeated")
    {
        crashInResponse(*fleet.backendServers[0], events, cut);
        const auto seen = callWithVersion(fleet.gateways[0].callerAddress, "/once/x", "r1", version);
        CHECK(seen.status == 502);
        CHECK(fleet.backendServers[0]->runCount("r1") == 1);
    }
    SECTION("too long to be buffered")
    {
        crashInResponse(*fleet.backendServers[0], std::string(500000, 'x'), whole ? 500000 : 400000);
        const auto seen = callWithVersion(fleet.gateways[0].callerAddress, "/once/x", "r1", version);
        CHECK_FALSE((seen.status == 200 && seen.isComplete));
    }
    SECTION("stream that cannot be resumed")
    {
        crashInResponse(*fleet.backendServers[0], events, cut);
        const auto seen = callWithVersion(fleet.gateways[0].callerAddress, "/stream/x", "r1", version);
        CHECK(seen.status == 200);
        CHECK_FALSE(seen.isComplete);
    }
    SECTION("resumable stream without another server")
    {
        crashInResponse(*fleet.backendServers[0], events, cut);
        const auto seen = callWithVersion(fleet.gateways[0].callerAddress, "/resumed/x", "r1", version);
        CHECK(seen.status == 200);
        CHECK_FALSE(seen.isComplete);
    }
}

// Guards against a request that could be repeated and is failed, or answered with a part, as its server crashed.
TEST_CASE("a repeatable request whose server crashes in a response without a length gets the whole one of another server", "[process][gateway][unframed]")
{
    const auto events = eventsFrom(1);
    const auto path = GENERATE(as<std::string>(), "/again/x", "/resumed/x");
    const unsigned version = GENERATE(oldVersion, currentVersion);
    GatewayFleet fleet(1, 2);
    INFO(path << ", HTTP version " << version);
    std::atomic<bool> isCrashed{false};
    for (auto &server : fleet.backendServers) {
        server->setHandler([&isCrashed, &server, &events](const PlainRequest &request, PlainSocket &socket) {
            const bool isFirst = !isCrashed.exchange(true);
            if (isFirst) {
                server->refuseConnections();
            }
            const std::string last(request["Last-Event-Id"]);
            const auto rest = last.empty() ? events : eventsFrom(std::stoi(last) + 1);
            return sendUnframed(request, socket, rest, isFirst ? serverSentEvent(1).size() : rest.size(), ConnectionEnd::Fin);
        });
    }
    const auto seen = callWithVersion(fleet.gateways[0].callerAddress, path, "r1", version);
    CHECK(seen.status == 200);
    CHECK(seen.isComplete);
    CHECK(seen.body == events);
    CHECK(fleet.backendServers[0]->runCount("r1") + fleet.backendServers[1]->runCount("r1") == 2);
}

// Guards against a length or last chunk of the gateway's own, which would make the end of the server's connection look certain.
TEST_CASE("a response without a length has none for its caller either, and ends with the connection", "[process][gateway][unframed]")
{
    const auto path = GENERATE(as<std::string>(), "/once/x", "/again/x", "/stream/x", "/resumed/x");
    INFO(path);
    const auto events = eventsFrom(1);
    GatewayFleet fleet(1, 1);
    answerUnframed(*fleet.backendServers[0], events);
    const auto received = callRaw(fleet.gateways[0].callerAddress, path);
    const auto head = received.substr(0, received.find("\r\n\r\n") + 4);
    CHECK(head.find("HTTP/1.1 200") == 0);
    CHECK(head.find("Content-Length") == std::string::npos);
    CHECK(head.find("Transfer-Encoding") == std::string::npos);
    CHECK(head.find("\r\nConnection: close\r\n") != std::string::npos);
    CHECK(received.substr(head.size()) == events);
}

// Guards against a stream that began in chunks and whose rest has an end that proves nothing.
TEST_CASE("a stream in chunks whose rest comes without a length ends with the last chunk only if no event was left", "[process][gateway][unframed]")
{
    const bool isRestEmpty = GENERATE(false, true);
    INFO("rest empty " << isRestEmpty);
    GatewayFleet fleet(1, 2);
    for (auto &server : fleet.backendServers) {
        server->setHandler([isRestEmpty](const PlainRequest &request, PlainSocket &socket) {
            if (!request["Last-Event-Id"].empty()) {
                return sendUnframed(request, socket, isRestEmpty ? "" : eventsFrom(2), isRestEmpty ? 0 : eventsFrom(2).size(), ConnectionEnd::Fin);
            }
            const auto sent = isRestEmpty ? eventsFrom(1) : serverSentEvent(1);
            harness::writeAll(socket, harness::responseHeadFor(request) + harness::chunk(sent));
            return false;
        });
    }
    const auto seen = callWithVersion(fleet.gateways[0].callerAddress, "/resumed/x", "r1", currentVersion);
    CHECK(seen.status == 200);
    CHECK(seen.body == eventsFrom(1));
    CHECK(seen.isComplete == isRestEmpty);
}

// Guards against a failed handler whose HTTP/1.0 caller takes the end of its connection for the end of the response.
TEST_CASE("a response that a failed handler leaves unfinished never looks complete", "[process][unframed]")
{
    const unsigned version = GENERATE(oldVersion, currentVersion);
    const bool isFailing = GENERATE(false, true);
    boost::asio::io_context context(1);
    const auto address = harness::findFreeAddress();
    const auto respond = [isFailing](const http::Request &, http::Responder &responder) -> boost::asio::awaitable<void> {
        co_await responder.beginChunked(200, {});
        co_await responder.writeChunk("first");
        if (isFailing) {
            throw std::runtime_error("failed in mid-response");
        }
        co_await responder.endChunked();
    };
    http::Server server(context, address, http::ServerLimits(), respond, nullptr);
    std::thread thread([&context] {
        context.run_for(3s);
    });
    const auto seen = callWithVersion(address, "/", "r1", version);
    context.stop();
    thread.join();
    CHECK(seen.status == 200);
    CHECK(seen.isComplete == !isFailing);
}
