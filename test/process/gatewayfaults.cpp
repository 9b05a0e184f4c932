#include <catch2/catch.hpp>

#include <harness/eventstream.h>
#include <harness/gatewayfleet.h>
#include <harness/localfleet.h>

#include <cyclamenspool/wire/endpoint.h>
#include <cyclamenspool/wire/peerconnectionpool.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>

#include <atomic>
#include <csignal>
#include <future>
#include <sstream>
#include <thread>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using namespace std::string_literals;
using harness::chunk;
using harness::formatResponseWithDigest;
using harness::GatewayFleet;
using harness::HttpResponse;
using harness::LocalFleet;
using harness::PlainRequest;
using harness::PlainSocket;
using harness::resetConnection;
using harness::responseHeadFor;
using harness::serverSentEvent;
using harness::writeAll;

namespace {

const std::string staleResponse = "HTTP/1.1 200 OK\r\nCyclamenspool-Response-Seal: s\r\nContent-Length: 5\r\n\r\nstale";
const std::string staleRefusal = "HTTP/1.1 503 X\r\nCyclamenspool-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/** @brief Writes the same bytes again and again. @return Whether the peer closed the connection within the time limit. */
bool writeUntilClosed(PlainSocket &socket, const std::string &bytes, std::chrono::milliseconds pause, std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        if (!writeAll(socket, bytes)) {
            return true;
        }
        std::this_thread::sleep_for(pause);
    }
    return false;
}

/** @brief Returns a gateway's peak memory in bytes, from its metrics. */
double peakMemoryOf(const GatewayFleet &fleet)
{
    harness::HttpRequest call;
    call.address = fleet.gateways[0].metricsAddress;
    call.target = "/metrics";
    const auto metrics = sendRequest(call).body;
    const std::string name = "cyclamenspool_peak_memory_bytes ";
    return std::stod(metrics.substr(metrics.find(name) + name.size()));
}

/** @brief Result of one request on a kept connection. */
struct KeptResult {
    bool isSent = false; /**< The whole request was written. */
    unsigned status = 0; /**< 0: no complete response. */
    bool isClosing = false; /**< The response announces that the connection is closed, or there was none. */
};

KeptResult sendOn(PlainSocket &socket, const std::string &id, const std::string &path = "/once/x")
{
    KeptResult result;
    result.isSent = writeAll(socket,
                             "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key-1\r\nCyclamenspool-Request-Id: " + id
                                 + "\r\nCyclamenspool-Deadline-Ms: 2500\r\nContent-Length: 0\r\n\r\n");
    boost::beast::flat_buffer buffer;
    boost::beast::http::response<boost::beast::http::string_body> response;
    boost::system::error_code error;
    boost::beast::http::read(socket, buffer, response, error);
    result.status = error ? 0 : response.result_int();
    result.isClosing = error || !response.keep_alive();
    return result;
}

} // namespace

TEST_CASE("a late second copy of a response without an id on a reused connection is not given to the next caller", "[process][gateway][faults]")
{
    GatewayFleet fleet(1, 1);
    const std::string copy = GENERATE(staleResponse, staleRefusal);
    std::atomic<int> runs{0};
    fleet.backendServers[0]->setHandler([&](const PlainRequest &request, PlainSocket &socket) {
        // Each connection has a thread of its own: from the second request on, the copy of the response before comes first.
        static thread_local int requestsOnConnection = 0;
        ++runs;
        const bool isCopySent = ++requestsOnConnection > 1 && writeAll(socket, copy);
        std::this_thread::sleep_for(isCopySent ? 20ms : 0ms);
        return writeAll(socket, formatResponseWithDigest(request, "own"));
    });
    int reused = 0;
    for (int i = 0; i < 10; ++i) {
        const int before = runs;
        const auto response = sendRequest(fleet.makeRequest("r" + std::to_string(i)));
        CHECK(response.body != "stale");
        // The request ran, so its caller must not be told that it did not.
        CHECK((response.status == 200 || response.status == 502));
        CHECK(runs == before + 1);
        reused += response.status == 502 ? 1 : 0;
    }
    CHECK(reused > 0);
}

TEST_CASE("a late second copy of a response is not given to a next request that has no id", "[process][gateway][faults]")
{
    GatewayFleet fleet(1, 1);
    fleet.backendServers[0]->setHandler([](const PlainRequest &request, PlainSocket &socket) {
        static thread_local int requestsOnConnection = 0;
        const bool isCopySent = ++requestsOnConnection > 1 && writeAll(socket, staleResponse);
        std::this_thread::sleep_for(isCopySent ? 20ms : 0ms);
        return writeAll(socket, formatResponseWithDigest(request, "own"));
    });
    for (int i = 0; i < 10; ++i) {
        CHECK(sendRequest(fleet.makeRequest("r" + std::to_string(i))).body != "stale");
        auto withoutId = fleet.makeRequest("");
        withoutId.headers.erase(withoutId.headers.begin() + 1);
        const auto response = sendRequest(withoutId);
        CHECK(response.body != "stale");
        CHECK(response.status >= 200);
    }
}

TEST_CASE("bytes without end that are no response end the call: memory stays bounded and the caller is told the truth", "[process][gateway][faults]")
{
    GatewayFleet fleet(1, 1);
    const std::string filler(16384, 'x');
    const int form = GENERATE(0, 1, 2, 3, 4, 5, 6);
    CAPTURE(form);
    std::promise<bool> closed;
    fleet.backendServers[0]->setHandler([&](const PlainRequest &request, PlainSocket &socket) {
        const auto head = responseHeadFor(request);
        bool isClosed = false;
        switch (form) {
        case 0: // header without end
            isClosed = writeAll(socket, "HTTP/1.1 200 OK\r\nX-Filler: ") && writeUntilClosed(socket, filler, 1ms, 5s);
            break;
        case 1: // chunk header without end
            isClosed = writeAll(socket, head + "5;x=") && writeUntilClosed(socket, filler, 1ms, 5s);
            break;
        case 2: // interim responses without end
            isClosed = writeUntilClosed(socket, "HTTP/1.1 102 Processing\r\n\r\n", 0ms, 5s);
            break;
        case 3: // response to another request, without end
            isClosed = writeAll(socket, "HTTP/1.1 200 OK\r\nCyclamenspool-Request-Id: other\r\n\r\n") && writeUntilClosed(socket, filler, 1ms, 5s);
            break;
        case 4: // event without end
            isClosed = writeAll(socket, head) && writeUntilClosed(socket, chunk(filler), 1ms, 5s);
            break;
        case 5: // no HTTP at all
            isClosed = writeUntilClosed(socket, filler, 1ms, 5s);
            break;
        default: // trailer without end
            isClosed = writeAll(socket, head + "0\r\n") && writeUntilClosed(socket, "X-Filler: x\r\n", 0ms, 5s);
        }
        closed.set_value(isClosed);
        return false;
    });
    const auto started = std::chrono::steady_clock::now();
    const auto response = sendRequest(fleet.makeRequest("r1", form == 4 ? "/resumed/x" : "/stream/x"));
    CHECK(std::chrono::steady_clock::now() - started < 2300ms); /* well before the caller's deadline */
    // Only a head that has arrived can have been relayed, and its stream must not look complete.
    CHECK((response.status == 502 || (form == 1 && !response.isComplete)));
    auto result = closed.get_future();
    REQUIRE(result.wait_for(6s) == std::future_status::ready);
    CHECK(result.get());
    CHECK(peakMemoryOf(fleet) < 64e6);
    fleet.backendServers[0]->setHandler([](const PlainRequest &request, PlainSocket &socket) {
        return writeAll(socket, formatResponseWithDigest(request, "hello"));
    });
    CHECK(sendRequest(fleet.makeRequest("r2")).status == 200);
}

TEST_CASE("a response body without end is relayed within bounded memory and ends at the deadline as incomplete", "[process][gateway][faults]")
{
    GatewayFleet fleet(1, 1);
    const std::string filler(16384, 'x');
    fleet.backendServers[0]->setHandler([&filler](const PlainRequest &request, PlainSocket &socket) {
        const std::string id(request["Cyclamenspool-Request-Id"]);
        writeAll(socket, "HTTP/1.1 200 OK\r\nCyclamenspool-Response-Seal: s\r\nCyclamenspool-Request-Id: " + id + "\r\n\r\n");
        writeUntilClosed(socket, filler, 1ms, 5s);
        return false;
    });
    auto call = fleet.makeRequest("r1");
    call.headers[2].second = "800";
    const auto response = sendRequest(call);
    CHECK_FALSE(response.isComplete);
    CHECK(peakMemoryOf(fleet) < 64e6);
}

TEST_CASE("a stream whose server sends bytes but no event continues at another server; a slow one stays where it is", "[process][gateway][faults]")
{
    GatewayFleet fleet(1, 2);
    const bool isSound = GENERATE(false, true);
    CAPTURE(isSound);
    std::atomic<int> attempts{0};
    for (auto &server : fleet.backendServers) {
        server->setHandler([&attempts, isSound](const PlainRequest &request, PlainSocket &socket) {
            const bool isFirst = ++attempts == 1;
            const auto lastId = std::string(request["Last-Event-Id"]);
            bool isOpen = writeAll(socket, responseHeadFor(request));
            if (isFirst && !isSound) {
                isOpen = writeAll(socket, chunk(serverSentEvent(1) + "id: 2\ndata: "));
                writeUntilClosed(socket, chunk("x"), 100ms, 3s);
                return false;
            }
            // Each pause is longer than the route's objective of 400 ms.
            for (int id = lastId.empty() ? 1 : std::stoi(lastId) + 1; id <= 4 && isOpen; ++id) {
                isOpen = writeAll(socket, chunk(serverSentEvent(id)));
                std::this_thread::sleep_for(isSound ? 600ms : 10ms);
            }
            return isOpen && writeAll(socket, "0\r\n\r\n");
        });
    }
    auto call = fleet.makeRequest("r1", "/resumed/x");
    call.headers[2].second = "3000";
    const auto response = sendRequest(call);
    CHECK(response.isComplete);
    CHECK(response.body == serverSentEvent(1) + serverSentEvent(2) + serverSentEvent(3) + serverSentEvent(4));
    CHECK(attempts == (isSound ? 1 : 2));
}

TEST_CASE("a request whose answer is lost after it ran neither runs again nor is reported as not run", "[process][gateway][faults]")
{
    GatewayFleet fleet(1, 3);
    const bool isSilent = GENERATE(false, true);
    for (auto &server : fleet.backendServers) {
        server->setHandler([isSilent](const PlainRequest &, PlainSocket &socket) {
            if (!isSilent) {
                return resetConnection(socket);
            }
            std::this_thread::sleep_for(1500ms);
            return false;
        });
    }
    for (const std::string path : {"/once/x", "/stream/x"}) {
        auto call = fleet.makeRequest("lost-" + path, path);
        call.headers[2].second = "700";
        const auto response = sendRequest(call);
        CHECK((response.status == 502 || response.status == 504));
        int runs = 0;
        for (auto &server : fleet.backendServers) {
            runs += server->runCount("lost-" + path);
        }
        CHECK(runs == 1);
    }
}

TEST_CASE("a server that is silent for a while keeps work that may run once only, and its late answer is delivered", "[process][gateway][faults]")
{
    GatewayFleet fleet(1, 3);
    for (auto &server : fleet.backendServers) {
        server->setHandler([](const PlainRequest &request, PlainSocket &socket) {
            std::this_thread::sleep_for(1800ms);
            return writeAll(socket, formatResponseWithDigest(request, "late"));
        });
    }
    std::vector<std::future<HttpResponse>> responses;
    for (int i = 0; i < 6; ++i) {
        responses.push_back(std::async(std::launch::async, [&fleet, i] {
            return sendRequest(fleet.makeRequest("r" + std::to_string(i)));
        }));
    }
    for (auto &response : responses) {
        CHECK(response.get().body == "late");
    }
    int runs = 0;
    for (auto &server : fleet.backendServers) {
        runs += server->totalRunCount();
    }
    CHECK(runs == 6);
}

TEST_CASE("planned stop under load: every request that ran is answered in full", "[process][gateway][faults]")
{
    GatewayFleet fleet(1, 2);
    for (auto &server : fleet.backendServers) {
        server->setHandler([](const PlainRequest &request, PlainSocket &socket) {
            std::this_thread::sleep_for(30ms);
            return writeAll(socket, formatResponseWithDigest(request, "done"));
        });
    }
    auto &gateway = fleet.gateways[0];
    const bool isGraceShort = GENERATE(false, true);
    CAPTURE(isGraceShort);
    if (isGraceShort) {
        GatewayFleet::setGracePeriod(gateway, 1500ms); /* shorter than the time after which requests are refused */
    }
    std::atomic<bool> isProcessGone{false};
    std::atomic<int> cut{0};
    std::atomic<int> answered{0};
    const auto client = [&](int number) {
        boost::asio::io_context context;
        for (int i = 0; !isProcessGone; ++i) {
            PlainSocket socket(context);
            boost::system::error_code error;
            socket.connect(wire::parseEndpoint(gateway.callerAddress), error);
            bool isOpen = !error;
            // Odd clients keep their connections; the others use a new one for each request.
            for (int j = 0; isOpen && !isProcessGone; ++j) {
                const auto id = std::to_string(number) + "-" + std::to_string(i) + "-" + std::to_string(j);
                const auto result = sendOn(socket, id);
                const bool hasRun = fleet.backendServers[0]->runCount(id) + fleet.backendServers[1]->runCount(id) > 0;
                cut += hasRun && result.status == 0 ? 1 : 0;
                answered += result.status == 200 ? 1 : 0;
                isOpen = !result.isClosing && number % 2 == 1;
            }
        }
    };
    std::vector<std::future<void>> clients;
    for (int number = 0; number < 16; ++number) {
        clients.push_back(std::async(std::launch::async, client, number));
    }
    std::this_thread::sleep_for(300ms);
    gateway.process.signal(SIGTERM);
    CHECK(gateway.process.wait(8s) == 0);
    isProcessGone = true;
    for (auto &each : clients) {
        each.get();
    }
    CHECK(answered > 100);
    CHECK(cut == 0);
}

TEST_CASE("a request that outlasts the grace period of a planned stop is answered before the process exits", "[process][gateway][faults]")
{
    GatewayFleet fleet(1, 1);
    auto &gateway = fleet.gateways[0];
    GatewayFleet::setGracePeriod(gateway, 1500ms);
    fleet.backendServers[0]->setHandler([](const PlainRequest &, PlainSocket &) {
        std::this_thread::sleep_for(3000ms);
        return false;
    });
    auto response = std::async(std::launch::async, [&fleet] {
        return sendRequest(fleet.makeRequest("r1"));
    });
    std::this_thread::sleep_for(200ms);
    gateway.process.signal(SIGTERM);
    CHECK(response.get().status == 502); /* it may have run */
    CHECK(gateway.process.wait(3s) == 0);
}

TEST_CASE("a planned stop with callers that keep their connections open exits cleanly", "[process][gateway][faults]")
{
    GatewayFleet fleet(1, 1);
    auto &gateway = fleet.gateways[0];
    GatewayFleet::setGracePeriod(gateway, 1500ms);
    fleet.backendServers[0]->setHandler([](const PlainRequest &, PlainSocket &) {
        std::this_thread::sleep_for(3000ms);
        return false;
    });
    // Each connection stays open after its response until the process has exited.
    boost::asio::io_context context;
    std::vector<PlainSocket> sockets;
    std::vector<std::future<KeptResult>> results;
    for (int i = 0; i < 24; ++i) {
        sockets.emplace_back(context).connect(wire::parseEndpoint(gateway.callerAddress));
    }
    for (auto &socket : sockets) {
        const auto id = "kept-" + std::to_string(results.size());
        results.push_back(std::async(std::launch::async, [&socket, id] {
            return sendOn(socket, id);
        }));
    }
    std::this_thread::sleep_for(200ms);
    gateway.process.signal(SIGTERM);
    CHECK(gateway.process.wait(3s) == 0);
    for (auto &result : results) {
        CHECK(result.get().status != 0);
    }
}

TEST_CASE("slow gateway: a request whose caller has left before it was read is not sent on", "[process][gateway][faults]")
{
    GatewayFleet fleet(1, 2);
    auto &gateway = fleet.gateways[0];
    CHECK(sendRequest(fleet.makeRequest("warm")).status == 200);
    gateway.process.signal(SIGSTOP);
    boost::asio::io_context context;
    for (int i = 0; i < 10; ++i) {
        PlainSocket socket(context);
        socket.connect(wire::parseEndpoint(gateway.callerAddress));
        writeAll(socket,
                 "POST /once/x HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key-1\r\nCyclamenspool-Request-Id: left-" + std::to_string(i)
                     + "\r\nContent-Length: 0\r\n\r\n");
    }
    gateway.process.signal(SIGCONT);
    CHECK(sendRequest(fleet.makeRequest("after")).status == 200);
    int runs = 0;
    for (int i = 0; i < 10; ++i) {
        for (auto &server : fleet.backendServers) {
            runs += server->runCount("left-" + std::to_string(i));
        }
    }
    CHECK(runs == 0);
}

TEST_CASE("malformed input from callers, peers, the balancer and the store does not end the process", "[process][gateway][faults]")
{
    GatewayFleet fleet(2, 1);
    const auto &gateway = fleet.gateways[0];
    const auto garbage = "\x00\xff\x16\x03\x01 GET \r\n\r\n PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\xff\xff\xff\xff\xff\xff"s;
    for (const auto &address : {gateway.callerAddress, gateway.peerAddress, gateway.readyAddress, gateway.metricsAddress}) {
        static_cast<void>(harness::exchangeRaw(address, garbage, true, 300ms));
    }
    for (const std::string value :
         {"[]", "7", "{}", "{\"version\":1e300}", "{\"version\":9,\"routes\":7}", "{\"version\":10,\"routes\":[{\"name\":[]}],\"tenants\":{}}"}) {
        fleet.store.put("op/config", value);
        fleet.store.put("op/evacuate/", value);
        fleet.store.put("servers/odd", value);
        fleet.store.put("servers/", value);
    }
    fleet.store.put("servers/odd",
                    R"({"service":"pool","address":"nowhere:0","zone":"az-a","slots":1,"state":"ready","cold_remaining_ms":1e308,"born":-1e308})");
    fleet.publishRouting(20, "pool", {"key-1", "key-2"});
    auto call = fleet.makeRequest("probe");
    call.headers[3].second = "Bearer key-2";
    CHECK(LocalFleet::waitUntil(
        [&call] {
            return sendRequest(call).status == 200;
        },
        3000ms));
    for (const std::string deadline : {"9223372036854775807", "-1", "1e9", "0", "99999999999999999999"}) {
        auto odd = fleet.makeRequest("odd");
        odd.headers[2].second = deadline;
        const auto response = sendRequest(odd);
        CHECK(response.status >= 200);
        CHECK(response.header("cyclamenspool-request-id") == "odd");
    }
    for (auto &each : fleet.gateways) {
        CHECK(each.process.wait(0ms) == -1);
        CHECK(GatewayFleet::isReady(each));
        CHECK(GatewayFleet::readLog(each).find("handler_failed") == std::string::npos);
    }
}

TEST_CASE("a caller that reads slowly gets the whole response although it takes longer than the idle timeout", "[process][gateway][faults]")
{
    GatewayFleet fleet(1, 1);
    const std::string body(3000000, 'b');
    fleet.backendServers[0]->setHandler([&body](const PlainRequest &request, PlainSocket &socket) {
        return writeAll(socket, formatResponseWithDigest(request, body));
    });
    fleet.publishRouting(2, "pool", {"key-1"}, 400ms);
    REQUIRE(LocalFleet::waitUntil([&fleet] {
        return GatewayFleet::readLog(fleet.gateways[0]).find("\"version\":2") != std::string::npos;
    }));
    boost::asio::io_context context;
    PlainSocket socket(context);
    socket.open(boost::asio::ip::tcp::v4());
    socket.set_option(boost::asio::socket_base::receive_buffer_size(16384));
    socket.connect(wire::parseEndpoint(fleet.gateways[0].callerAddress));
    writeAll(socket, "POST /once/x HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n");
    std::size_t received = 0;
    std::string bytes(64UL * 1024, ' ');
    boost::system::error_code error;
    for (int i = 0; received < body.size() && !error; ++i) {
        // The pauses are shorter than the idle timeout, their sum is longer.
        std::this_thread::sleep_for(i < 8 ? 200ms : 0ms);
        received += socket.read_some(boost::asio::buffer(bytes), error);
    }
    CHECK(received >= body.size());
}

TEST_CASE("a stream to an HTTP/1.0 caller ends with its connection, and a refusal to HEAD has no body", "[process][gateway][faults]")
{
    GatewayFleet fleet(1, 1);
    fleet.backendServers[0]->setHandler([](const PlainRequest &request, PlainSocket &socket) {
        return writeAll(socket, responseHeadFor(request) + chunk(serverSentEvent(1)) + "0\r\n\r\n");
    });
    const auto &address = fleet.gateways[0].callerAddress;
    const auto started = std::chrono::steady_clock::now();
    const auto bytes = harness::exchangeRaw(
        address,
        "POST /stream/x HTTP/1.0\r\nConnection: keep-alive\r\nHost: desk.example\r\nAuthorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n",
        false,
        4s);
    CHECK(std::chrono::steady_clock::now() - started < 3s);
    CHECK(bytes.find("Connection: close") != std::string::npos);
    CHECK(bytes.find("token1") != std::string::npos);
    const auto refusal = harness::exchangeRaw(
        address, "HEAD /once/x HTTP/1.1\r\nHost: desk.example\r\nCyclamenspool-Request-Id: r7\r\nTransfer-Encoding: gzip\r\n\r\n", false, 2s);
    CHECK(refusal.find(" 400 ") != std::string::npos);
    CHECK(refusal.find("Cyclamenspool-Request-Id: r7") != std::string::npos);
    CHECK(refusal.substr(refusal.find("\r\n\r\n")) == "\r\n\r\n");
}

TEST_CASE("a stream whose server fails just before the deadline is cut, without a second response in it", "[process][gateway][faults]")
{
    GatewayFleet fleet(1, 2);
    for (auto &server : fleet.backendServers) {
        server->setHandler([](const PlainRequest &request, PlainSocket &socket) {
            writeAll(socket, responseHeadFor(request) + chunk(serverSentEvent(1)));
            std::this_thread::sleep_for(296ms);
            return resetConnection(socket);
        });
    }
    for (int i = 0; i < 10; ++i) {
        auto call = fleet.makeRequest("r" + std::to_string(i), "/resumed/x");
        call.headers[2].second = "300";
        const auto response = sendRequest(call);
        CHECK_FALSE(response.isComplete);
        CHECK(response.body.find("HTTP/1.1") == std::string::npos);
        CHECK(response.body.find("error") == std::string::npos);
    }
}

TEST_CASE("a peer that sends bytes beyond its message, without end, is cut off within bounded memory", "[process][gateway][faults]")
{
    GatewayFleet fleet(1, 1);
    boost::asio::io_context context;
    PlainSocket socket(context);
    socket.connect(wire::parseEndpoint(fleet.gateways[0].peerAddress));
    // HTTP/2 by hand: preface, empty SETTINGS, HEADERS of a POST to /news (static table and literals), then DATA frames without end.
    const std::string preface("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00", 33);
    const std::string block = std::string("\x83\x86\x04\x05/news\x01\x04peer", 15);
    std::string headers("\x00\x00\x00\x01\x04\x00\x00\x00\x01", 9);
    headers[2] = static_cast<char>(block.size());
    writeAll(socket, preface + headers + block);
    std::string data("\x00\x40\x00\x00\x00\x00\x00\x00\x01", 9);
    // The record announces five bytes.
    const std::string payload = std::string("\x00\x00\x00\x05", 4) + std::string(16380, 'x');
    static_cast<void>(writeUntilClosed(socket, data + payload, 0ms, 3s));
    CHECK(peakMemoryOf(fleet) < 64e6);
    CHECK(sendRequest(fleet.makeRequest("r1")).status == 200);
}

TEST_CASE("a malformed peer address is refused at once and leaves no connection attempt behind", "[process][gateway][faults]")
{
    boost::asio::io_context context;
    wire::PeerConnectionPool pool(context, {});
    for (int i = 0; i < 2; ++i) {
        wire::StreamCallbacks callbacks;
        callbacks.onEnd = [](const wire::StreamEnd &) {};
        CHECK_THROWS(pool.submit("no address", "/news", "message", std::move(callbacks)));
    }
}
