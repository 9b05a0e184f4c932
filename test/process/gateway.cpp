#include <catch2/catch.hpp>

#include <harness/eventstream.h>
#include <harness/gatewayfleet.h>
#include <harness/localfleet.h>

#include <cyclamenspool/wire/endpoint.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/json/parse.hpp>

#include <atomic>
#include <csignal>
#include <future>
#include <thread>

using namespace cyclamenspool;
using namespace std::chrono_literals;
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

/** @brief Waits until a gateway accepts requests with an API key. @param gateway Index of the gateway. @return False if it does not within the time limit. */
bool waitUntilKeyAccepted(const GatewayFleet &fleet, const std::string &key, std::chrono::milliseconds limit, std::size_t gateway = 0)
{
    auto call = fleet.makeRequest("probe", "/once/x", gateway);
    call.headers[3].second = "Bearer " + key;
    return LocalFleet::waitUntil(
        [&call] {
            return sendRequest(call).status == 200;
        },
        limit);
}

} // namespace

TEST_CASE("a request is forwarded unchanged, with the workspace instead of the API key", "[process][gateway]")
{
    GatewayFleet fleet(1, 1);
    auto call = fleet.makeRequest("r1", "/once/a/b?c=d%20e");
    call.headers.emplace_back("Cyclamenspool-Tenant", "forged");
    call.headers.emplace_back("Kv-From", "forged");
    call.headers.emplace_back("X-Other", "kept");
    call.body = "the body";
    const auto response = sendRequest(call);
    CHECK(response.status == 200);
    CHECK(response.body == "hello");
    CHECK(response.header("cyclamenspool-response-seal") == "seal");
    const auto forwarded = fleet.backendServers[0]->lastRequest();
    CHECK(forwarded.target() == "/once/a/b?c=d%20e");
    CHECK(forwarded.body() == "the body");
    CHECK(forwarded["Cyclamenspool-Tenant"] == "desk");
    CHECK(forwarded["X-Other"] == "kept");
    CHECK(forwarded.count("Authorization") == 0);
    CHECK(forwarded.count("Kv-From") == 0);
    const auto remainingMs = std::stoi(std::string(forwarded["Cyclamenspool-Deadline-Ms"]));
    CHECK(remainingMs > 1000);
    CHECK(remainingMs <= 2500);
}

TEST_CASE("a request with an unknown route or API key is refused and not run", "[process][gateway]")
{
    GatewayFleet fleet(1, 1);
    CHECK(sendRequest(fleet.makeRequest("r1", "/unknown/x")).status == 404);
    auto call = fleet.makeRequest("r2");
    call.headers[3].second = "Bearer other";
    CHECK(sendRequest(call).status == 401);
    CHECK(fleet.backendServers[0]->totalRunCount() == 0);
}

TEST_CASE("a non-idempotent request runs once whatever fault its backend server has", "[process][gateway]")
{
    GatewayFleet fleet(1, 3);
    const int fault = GENERATE(0, 1, 2, 3, 4);
    for (auto &server : fleet.backendServers) {
        server->setHandler([fault](const PlainRequest &request, PlainSocket &socket) {
            switch (fault) {
            case 0: // connection reset without a response
                return resetConnection(socket);
            case 1: // truncated body
                writeAll(socket, "HTTP/1.1 200 OK\r\nCyclamenspool-Response-Seal: s\r\nContent-Length: 100\r\n\r\nhalf");
                return false;
            case 2: // malformed response
                return writeAll(socket, "these bytes are no answer\r\n\r\n") && false;
            case 3: // no digest header
                return writeAll(socket, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbare");
            default: // error status of the backend server
                return writeAll(socket, formatResponseWithDigest(request, "failed", "500 Internal Server Error"));
            }
        });
    }
    const auto response = sendRequest(fleet.makeRequest("r1"));
    CHECK(response.status == (fault == 4 ? 500 : 502));
    int runs = 0;
    for (auto &server : fleet.backendServers) {
        runs += server->runCount("r1");
    }
    CHECK(runs == 1);
}

// Guards against a backend server's 503 after a run that makes the caller send the request again.
TEST_CASE("a status that promises that a request has not run is passed on only if the request may be repeated", "[process][gateway]")
{
    GatewayFleet fleet(1, 2);
    const std::string status = GENERATE("408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable");
    for (auto &server : fleet.backendServers) {
        server->setHandler([&status](const PlainRequest &request, PlainSocket &socket) {
            return writeAll(socket, formatResponseWithDigest(request, "failed", status));
        });
    }
    for (const std::string route : {"once", "stream"}) {
        const auto response = sendRequest(fleet.makeRequest(route, "/" + route + "/x"));
        CAPTURE(route, status);
        CHECK(response.status == 502);
        CHECK(response.header("cyclamenspool-response-seal").empty());
        CHECK(response.header("retry-after").empty());
        CHECK(fleet.backendServers[0]->runCount(route) + fleet.backendServers[1]->runCount(route) == 1);
    }
    for (const std::string route : {"again", "resumed"}) {
        const auto response = sendRequest(fleet.makeRequest(route, "/" + route + "/x"));
        CAPTURE(route, status);
        CHECK(response.status == std::stoi(status));
        CHECK(response.header("cyclamenspool-response-seal") == "seal");
        CHECK(response.body == "failed");
    }
}

// Guards against a head that the parser accepts and that reaches the caller, or whose body is another one than the server's.
TEST_CASE("a response with an invalid status or a folded line never reaches the caller", "[process][gateway][answerends]")
{
    const std::string identity = "Cyclamenspool-Request-Id: r1\r\nCyclamenspool-Response-Seal: s\r\n";
    const std::string response = GENERATE_COPY("HTTP/1.1 000 OK\r\n" + identity + "Content-Length: 4\r\n\r\nbody",
                                               "HTTP/1.1 600 OK\r\n" + identity + "Content-Length: 4\r\n\r\nbody",
                                               "HTTP/1.1 200 OK\r\n" + identity + " Content-Length: 4\r\n\r\nbodymore",
                                               "HTTP/1.1 200 OK\r\n" + identity + "\tTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                                               "HTTP/1.1 200 OK\r\n" + identity + "Content-Length: 4\r\n \r\n\r\nbody");
    const std::string route = GENERATE(as<std::string>(), "once", "again", "stream");
    GatewayFleet fleet(1, 1);
    fleet.backendServers[0]->setHandler([&response](const PlainRequest &, PlainSocket &socket) {
        return writeAll(socket, response) && false;
    });
    const auto received = sendRequest(fleet.makeRequest("r1", "/" + route + "/x"));
    CAPTURE(response, route);
    CHECK(received.status == 502);
    CHECK(received.header("cyclamenspool-response-seal").empty());
}

TEST_CASE("an idempotent request is retried once after a connection reset", "[process][gateway]")
{
    GatewayFleet fleet(1, 3);
    std::atomic<int> attempts{0};
    for (auto &server : fleet.backendServers) {
        server->setHandler([&attempts](const PlainRequest &request, PlainSocket &socket) {
            return ++attempts == 1 ? resetConnection(socket) : writeAll(socket, formatResponseWithDigest(request, "second"));
        });
    }
    const auto response = sendRequest(fleet.makeRequest("r1", "/again/x"));
    CHECK(response.status == 200);
    CHECK(response.body == "second");
    CHECK(attempts == 2);
}

TEST_CASE("responses to other requests and bytes after a response are not forwarded", "[process][gateway]")
{
    GatewayFleet fleet(1, 1);
    fleet.backendServers[0]->setHandler([](const PlainRequest &request, PlainSocket &socket) {
        PlainRequest otherRequest = request;
        otherRequest.set("Cyclamenspool-Request-Id", "another");
        return writeAll(socket,
                        formatResponseWithDigest(otherRequest, "stray") + formatResponseWithDigest(request, "own")
                            + formatResponseWithDigest(otherRequest, "extra"));
    });
    for (int i = 0; i < 10; ++i) {
        CHECK(sendRequest(fleet.makeRequest("r" + std::to_string(i))).body == "own");
    }
}

TEST_CASE("a response without a length is complete when its connection is closed, and fails when it is reset", "[process][gateway]")
{
    GatewayFleet fleet(1, 1);
    const bool isReset = GENERATE(false, true);
    fleet.backendServers[0]->setHandler([isReset](const PlainRequest &, PlainSocket &socket) {
        writeAll(socket, "HTTP/1.1 200 OK\r\nCyclamenspool-Response-Seal: s\r\n\r\nunframed");
        if (isReset) {
            std::this_thread::sleep_for(50ms);
            return resetConnection(socket);
        }
        return false;
    });
    const auto response = sendRequest(fleet.makeRequest("r1"));
    CHECK(response.status == (isReset ? 502 : 200));
    CHECK((isReset || response.body == "unframed"));
}

TEST_CASE("a resumable stream continues at another backend server without a gap", "[process][gateway]")
{
    GatewayFleet fleet(1, 2);
    std::atomic<int> attempts{0};
    for (auto &server : fleet.backendServers) {
        server->setHandler([&attempts](const PlainRequest &request, PlainSocket &socket) {
            if (++attempts == 1) {
                // The connection is reset in the middle of the third event.
                writeAll(socket, responseHeadFor(request) + chunk(serverSentEvent(1) + serverSentEvent(2) + "id: 3\nda"));
                std::this_thread::sleep_for(50ms);
                return resetConnection(socket);
            }
            const int from = std::stoi(std::string(request["Last-Event-Id"])) + 1;
            std::string bytes = responseHeadFor(request);
            for (int id = from; id <= 5; ++id) {
                bytes += chunk(serverSentEvent(id));
            }
            return writeAll(socket, bytes + "0\r\n\r\n");
        });
    }
    const auto response = sendRequest(fleet.makeRequest("r1", "/resumed/x"));
    CHECK(response.isComplete);
    CHECK(response.body == serverSentEvent(1) + serverSentEvent(2) + serverSentEvent(3) + serverSentEvent(4) + serverSentEvent(5));
    CHECK(attempts == 2);
}

TEST_CASE("a stream that is not resumable is cut and does not look complete", "[process][gateway]")
{
    GatewayFleet fleet(1, 2);
    for (auto &server : fleet.backendServers) {
        server->setHandler([](const PlainRequest &request, PlainSocket &socket) {
            writeAll(socket, responseHeadFor(request) + chunk(serverSentEvent(1)));
            std::this_thread::sleep_for(50ms);
            return resetConnection(socket);
        });
    }
    const auto response = sendRequest(fleet.makeRequest("r1", "/stream/x"));
    CHECK_FALSE(response.isComplete);
    CHECK(fleet.backendServers[0]->runCount("r1") + fleet.backendServers[1]->runCount("r1") == 1);
}

TEST_CASE("the connection to the backend server is closed when the caller disconnects", "[process][gateway]")
{
    GatewayFleet fleet(1, 1);
    std::promise<bool> connectionClosed;
    fleet.backendServers[0]->setHandler([&connectionClosed](const PlainRequest &request, PlainSocket &socket) {
        writeAll(socket, responseHeadFor(request));
        char byte = 0;
        boost::system::error_code error;
        socket.read_some(boost::asio::buffer(&byte, 1), error);
        connectionClosed.set_value(static_cast<bool>(error));
        return false;
    });
    const std::string bytes = "POST /stream/x HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n";
    static_cast<void>(harness::exchangeRaw(fleet.gateways[0].callerAddress, bytes, false, 300ms));
    auto result = connectionClosed.get_future();
    REQUIRE(result.wait_for(2s) == std::future_status::ready);
    CHECK(result.get());
}

TEST_CASE("a draining backend server gets no new requests after two seconds, also while the store is unavailable to a gateway", "[process][gateway]")
{
    GatewayFleet fleet(2, 2);
    const bool isStoreUnavailable = GENERATE(false, true);
    if (isStoreUnavailable) {
        fleet.turnAway(1);
    }
    fleet.store.put("servers/i-0", fleet.backendServers[0]->listEntry("pool", "draining"));
    std::this_thread::sleep_for(2000ms); /* maximum time until every gateway knows the new state */
    const int before = fleet.backendServers[0]->totalRunCount();
    for (int i = 0; i < 20; ++i) {
        CHECK(sendRequest(fleet.makeRequest("r" + std::to_string(i), "/once/x", static_cast<std::size_t>(i % 2))).status == 200);
    }
    CHECK(fleet.backendServers[0]->totalRunCount() == before);
}

TEST_CASE("a new routing version is in force within two seconds, and an older one is ignored afterwards", "[process][gateway]")
{
    GatewayFleet fleet(2, 1);
    fleet.publishRouting(5, "pool", {"key-1", "key-2"});
    const auto isNewKeyAccepted = [&fleet](std::size_t gateway) {
        auto call = fleet.makeRequest("probe", "/once/x", gateway);
        call.headers[3].second = "Bearer key-2";
        return sendRequest(call).status == 200;
    };
    CHECK(LocalFleet::waitUntil(
        [&] {
            return isNewKeyAccepted(0) && isNewKeyAccepted(1);
        },
        2000ms));
    fleet.publishRouting(4, "pool", {"key-1"});
    std::this_thread::sleep_for(500ms);
    CHECK(isNewKeyAccepted(0));
    CHECK(isNewKeyAccepted(1));
}

TEST_CASE("a gateway whose store is unavailable gets the routing from its peers within two seconds", "[process][gateway]")
{
    GatewayFleet fleet(2, 1);
    fleet.turnAway(1);
    fleet.publishRouting(2, "pool", {"key-1", "key-2"});
    CHECK(waitUntilKeyAccepted(fleet, "key-2", 2000ms, 1));
    CHECK(GatewayFleet::readLog(fleet.gateways[1]).find("\"source\":\"peer\"") != std::string::npos);
    fleet.publishRouting(3, "pool", {"key-1"});
    auto call = fleet.makeRequest("probe", "/once/x", 1);
    call.headers[3].second = "Bearer key-2";
    CHECK(LocalFleet::waitUntil(
        [&call] {
            return sendRequest(call).status == 401;
        },
        2000ms));
}

TEST_CASE("gateways of two zones know the requests in flight and the peers of both, and share the routing while the store is unavailable", "[process][gateway]")
{
    GatewayFleet fleet(4, 1, 2);
    std::atomic<bool> isReleased{false};
    fleet.backendServers[0]->setHandler([&isReleased](const PlainRequest &request, PlainSocket &socket) {
        while (!isReleased) {
            std::this_thread::sleep_for(10ms);
        }
        return writeAll(socket, formatResponseWithDigest(request, "done"));
    });
    std::vector<std::future<HttpResponse>> responses;
    for (std::size_t i = 0; i < 4; ++i) {
        responses.push_back(std::async(std::launch::async, [&fleet, i] {
            return sendRequest(fleet.makeRequest("r" + std::to_string(i), "/once/x", i));
        }));
    }
    const auto statusOf = [&fleet](std::size_t gateway) {
        harness::HttpRequest call;
        call.address = fleet.gateways[gateway].metricsAddress;
        call.target = "/status";
        return boost::json::parse(sendRequest(call).body).as_object();
    };
    for (std::size_t i = 0; i < 4; ++i) {
        CHECK(LocalFleet::waitUntil(
            [&statusOf, i] {
                const auto status = statusOf(i);
                return status.at("backend_servers").as_array().at(0).at("outstanding_everywhere") == 4;
            },
            2000ms));
        harness::HttpRequest call;
        call.address = fleet.gateways[i].metricsAddress;
        call.target = "/metrics";
        CHECK(sendRequest(call).body.find("cyclamenspool_peers 3\n") != std::string::npos);
    }
    isReleased = true;
    for (auto &response : responses) {
        CHECK(response.get().status == 200);
    }
    for (const auto &gateway : fleet.gateways) {
        CHECK(GatewayFleet::readLog(gateway).find("peer_message_unreadable") == std::string::npos);
    }
    fleet.turnAway(1);
    fleet.gateways[3].process.kill(); /* the only peer in the zone of the gateway */
    fleet.publishRouting(2, "pool", {"key-1", "key-2"});
    CHECK(waitUntilKeyAccepted(fleet, "key-2", 2000ms, 1));
}

TEST_CASE("lost answers of the store: a change of the configuration is in force within two seconds of the recovery", "[process][gateway]")
{
    GatewayFleet fleet(2, 1);
    fleet.useSecondStoreAddress(1);
    std::this_thread::sleep_for(1500ms); /* both gateways wait for a change */
    fleet.store.setLosingSecondResponses(true);
    fleet.publishRouting(2, "pool", {"key-1", "key-2"});
    std::this_thread::sleep_for(200ms);
    fleet.store.setLosingSecondResponses(false);
    CHECK(waitUntilKeyAccepted(fleet, "key-2", 2000ms, 1));
    // The call that was not answered has been replaced: the next change needs no peer.
    fleet.gateways[0].process.kill();
    fleet.publishRouting(3, "pool", {"key-1", "key-3"});
    CHECK(waitUntilKeyAccepted(fleet, "key-3", 2000ms, 1));
}

TEST_CASE("a store without changes of the list: a gateway that starts after another change makes the others replace no call", "[process][gateway]")
{
    GatewayFleet fleet(3, 1);
    fleet.store.setMaxWatchTime(8000ms);
    std::this_thread::sleep_for(2500ms);
    fleet.publishRouting(2);
    std::this_thread::sleep_for(300ms);
    fleet.gateways[2].process.kill();
    fleet.start(fleet.gateways[2]);
    std::this_thread::sleep_for(2500ms);
    for (const auto &gateway : fleet.gateways) {
        CHECK(GatewayFleet::readLog(gateway).find("store_call_replaced") == std::string::npos);
    }
}

TEST_CASE("lost answers of the store: a leaving server gets nothing two seconds after the recovery, whichever gateway watches the list", "[process][gateway]")
{
    GatewayFleet fleet(2, 2);
    fleet.useSecondStoreAddress(1);
    std::atomic<bool> isStopped{false};
    auto reports = std::async(std::launch::async, [&] {
        while (!isStopped) {
            fleet.store.put("servers/i-1", fleet.backendServers[1]->listEntry("pool"));
            std::this_thread::sleep_for(100ms);
        }
    });
    std::this_thread::sleep_for(1500ms);
    fleet.store.setLosingSecondResponses(true);
    std::this_thread::sleep_for(800ms); /* longer than the pause between two calls for the list */
    fleet.store.setLosingSecondResponses(false);
    fleet.store.put("servers/i-0", fleet.backendServers[0]->listEntry("pool", "draining"));
    std::this_thread::sleep_for(2000ms);
    const int runs = fleet.backendServers[0]->totalRunCount();
    for (int i = 0; i < 10; ++i) {
        CHECK(sendRequest(fleet.makeRequest("r" + std::to_string(i), "/once/x", 1)).status == 200);
    }
    CHECK(fleet.backendServers[0]->totalRunCount() == runs);
    isStopped = true;
    reports.get();
}

TEST_CASE("one gateway of a zone watches the list of servers for the others, and they watch it themselves once it is gone", "[process][gateway]")
{
    GatewayFleet fleet(4, 2);
    std::atomic<bool> isStopped{false};
    auto reports = std::async(std::launch::async, [&] {
        while (!isStopped) {
            fleet.store.put("servers/i-1", fleet.backendServers[1]->listEntry("pool"));
            std::this_thread::sleep_for(100ms);
        }
    });
    std::this_thread::sleep_for(1500ms);
    const int before = fleet.store.callCount("servers/");
    std::this_thread::sleep_for(4000ms);
    const int calls = fleet.store.callCount("servers/") - before;
    // One gateway calls every 0.67 s, a third of the default time until a leaving server gets nothing; four would make 24 calls.
    CHECK(calls >= 4);
    CHECK(calls <= 10);
    for (std::size_t stopped = 0; stopped < 3; ++stopped) {
        fleet.gateways[stopped].process.kill();
    }
    fleet.store.put("servers/i-0", fleet.backendServers[0]->listEntry("pool", "draining"));
    std::this_thread::sleep_for(2000ms);
    const int runs = fleet.backendServers[0]->totalRunCount();
    for (int i = 0; i < 10; ++i) {
        CHECK(sendRequest(fleet.makeRequest("r" + std::to_string(i), "/once/x", 3)).status == 200);
    }
    CHECK(fleet.backendServers[0]->totalRunCount() == runs);
    isStopped = true;
    reports.get();
}

TEST_CASE("a store that has always forgotten the requested history is not called without a pause", "[process][gateway]")
{
    GatewayFleet fleet(1, 1);
    std::atomic<bool> isStopped{false};
    auto compactions = std::async(std::launch::async, [&] {
        while (!isStopped) {
            fleet.store.put("other/key", "value");
            fleet.store.compact();
            std::this_thread::sleep_for(1ms);
        }
    });
    std::this_thread::sleep_for(500ms);
    const int before = fleet.store.callCount("op/");
    std::this_thread::sleep_for(2000ms);
    // Pairs of a watch and a list, with pauses of at least 0.2 s in between.
    CHECK(fleet.store.callCount("op/") - before <= 22);
    fleet.publishRouting(2, "pool", {"key-1", "key-2"});
    CHECK(waitUntilKeyAccepted(fleet, "key-2", 2000ms));
    isStopped = true;
    compactions.get();
}

TEST_CASE("malformed server entries are named in the log, and the valid ones stay in use", "[process][gateway]")
{
    GatewayFleet fleet(1, 1);
    fleet.store.put("servers/bad-1", "\x01\xff not JSON");
    fleet.store.put("servers/bad-2", R"({"service":"pool","address":7,"zone":"az-a","slots":1,"state":"ready"})");
    fleet.store.put("servers/bad-3", R"({"service":"pool","address":"10.0.0.1:1","zone":"az-a","slots":1,"state":"sleeping"})");
    REQUIRE(LocalFleet::waitUntil([&fleet] {
        const auto log = GatewayFleet::readLog(fleet.gateways[0]);
        return log.find("bad-1") != std::string::npos && log.find("bad-2") != std::string::npos && log.find("bad-3") != std::string::npos;
    }));
    for (int i = 0; i < 10; ++i) {
        CHECK(sendRequest(fleet.makeRequest("r" + std::to_string(i))).status == 200);
    }
}

TEST_CASE("requests succeed during a store outage, and changes from it are in force afterwards although the store was compacted", "[process][gateway]")
{
    GatewayFleet fleet(1, 1);
    fleet.store.setStatus(503);
    std::this_thread::sleep_for(700ms);
    CHECK(sendRequest(fleet.makeRequest("r1")).status == 200);
    CHECK(GatewayFleet::isReady(fleet.gateways[0]));
    const auto log = GatewayFleet::readLog(fleet.gateways[0]);
    const std::string event = "\"event\":\"store_lost\",\"section\":\"op/\"";
    const auto lost = log.find(event);
    REQUIRE(lost != std::string::npos);
    CHECK(log.find(event, lost + 1) == std::string::npos); /* once for a loss, whatever the number of failed calls */
    CHECK(log.find("/include/") == std::string::npos);
    fleet.publishRouting(2, "pool", {"key-1", "key-2"});
    fleet.store.compact();
    fleet.store.setStatus(200);
    CHECK(LocalFleet::waitUntil(
        [&fleet] {
            auto call = fleet.makeRequest("r2");
            call.headers[3].second = "Bearer key-2";
            return sendRequest(call).status == 200;
        },
        3000ms));
}

TEST_CASE("a graceful shutdown reports not ready first and lets an open stream complete", "[process][gateway]")
{
    GatewayFleet fleet(1, 1);
    fleet.backendServers[0]->setHandler([](const PlainRequest &request, PlainSocket &socket) {
        std::string head = responseHeadFor(request);
        bool isOpen = writeAll(socket, head);
        for (int id = 1; id <= 20 && isOpen; ++id) {
            isOpen = writeAll(socket, chunk(serverSentEvent(id)));
            std::this_thread::sleep_for(100ms);
        }
        return writeAll(socket, "0\r\n\r\n");
    });
    auto stream = std::async(std::launch::async, [&fleet] {
        return sendRequest(fleet.makeRequest("r1", "/stream/x"));
    });
    std::this_thread::sleep_for(200ms);
    auto &gateway = fleet.gateways[0];
    gateway.process.signal(SIGTERM);
    std::this_thread::sleep_for(200ms);
    CHECK_FALSE(GatewayFleet::isReady(gateway));
    CHECK(stream.get().isComplete);
    CHECK(gateway.process.wait(6s) == 0);
}

TEST_CASE("slow, oversized and malformed requests are refused and not run", "[process][gateway]")
{
    GatewayFleet fleet(1, 1);
    const auto &address = fleet.gateways[0].callerAddress;
    const std::string start = "POST /once/x HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key-1\r\n";
    CHECK(harness::exchangeRaw(address, start, false, 2s).find(" 408 ") != std::string::npos);
    CHECK(harness::exchangeRaw(address, start + "X: " + std::string(20000, 'x') + "\r\n\r\n", false, 2s).find(" 431 ") != std::string::npos);
    CHECK(harness::exchangeRaw(address, start + "Content-Length: 200000\r\n\r\n", false, 2s).find(" 413 ") != std::string::npos);
    CHECK(harness::exchangeRaw(address, start + "Transfer-Encoding: gzip\r\n\r\n", false, 2s).find(" 400 ") != std::string::npos);
    CHECK(harness::exchangeRaw(address, start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false, 2s).find(" 400 ")
          != std::string::npos);
    CHECK(harness::exchangeRaw(address, "nonsense\r\n\r\n", false, 2s).find(" 400 ") != std::string::npos);
    CHECK(fleet.backendServers[0]->totalRunCount() == 0);
}

TEST_CASE("pipelined requests are answered in order", "[process][gateway]")
{
    GatewayFleet fleet(1, 1);
    fleet.backendServers[0]->setHandler([](const PlainRequest &request, PlainSocket &socket) {
        return writeAll(socket, formatResponseWithDigest(request, "answer to " + request.body()));
    });
    const std::string start = "POST /once/x HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key-1\r\nContent-Length: 1\r\n\r\n";
    const auto bytes = harness::exchangeRaw(fleet.gateways[0].callerAddress, start + "1" + start + "2" + start + "3", false, 1s);
    const auto first = bytes.find("answer to 1");
    const auto second = bytes.find("answer to 2");
    const auto third = bytes.find("answer to 3");
    REQUIRE(third != std::string::npos);
    CHECK(first < second);
    CHECK(second < third);
}

TEST_CASE("an unresponsive backend server keeps its request while no other one can take over", "[process][gateway]")
{
    GatewayFleet fleet(1, 1);
    const std::string path = GENERATE("/resumed/x", "/again/x");
    fleet.backendServers[0]->setHandler([path](const PlainRequest &request, PlainSocket &socket) {
        if (path == "/again/x") {
            std::this_thread::sleep_for(1600ms);
            return writeAll(socket, formatResponseWithDigest(request, "late"));
        }
        writeAll(socket, responseHeadFor(request) + chunk(serverSentEvent(1)));
        std::this_thread::sleep_for(1600ms);
        return writeAll(socket, chunk(serverSentEvent(2)) + "0\r\n\r\n");
    });
    const auto response = sendRequest(fleet.makeRequest("r1", path));
    CHECK(response.status == 200);
    CHECK(response.isComplete);
    CHECK(response.body == (path == "/again/x" ? "late" : serverSentEvent(1) + serverSentEvent(2)));
}

TEST_CASE("SIGHUP applies changed settings, rejects and names invalid ones, and requests still succeed", "[process][gateway]")
{
    GatewayFleet fleet(1, 1);
    auto &gateway = fleet.gateways[0];
    const auto before = fleet.readSettings(gateway);
    fleet.writeSettings(gateway, before + "retry_slack: many\n");
    gateway.process.signal(SIGHUP);
    REQUIRE(LocalFleet::waitUntil([&gateway] {
        return GatewayFleet::readLog(gateway).find("refused, the previous settings stay in force") != std::string::npos;
    }));
    CHECK(GatewayFleet::readLog(gateway).find("retry_slack") != std::string::npos);
    CHECK(sendRequest(fleet.makeRequest("r1")).status == 200);
    fleet.writeSettings(gateway, before + "retry_slack: 7\n");
    gateway.process.signal(SIGHUP);
    REQUIRE(LocalFleet::waitUntil([&gateway] {
        return GatewayFleet::readLog(gateway).find("in force\"") != std::string::npos;
    }));
    CHECK(sendRequest(fleet.makeRequest("r2")).status == 200);
}

TEST_CASE("during a graceful shutdown, a request on an idle connection is answered while the load balancer may still send it", "[process][gateway]")
{
    GatewayFleet fleet(1, 1);
    boost::asio::io_context context;
    PlainSocket socket(context);
    socket.connect(wire::parseEndpoint(fleet.gateways[0].callerAddress));
    const auto sendRequest = [&socket](const std::string &id) {
        writeAll(socket,
                 "POST /once/x HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key-1\r\nCyclamenspool-Request-Id: " + id
                     + "\r\nContent-Length: 0\r\n\r\n");
        boost::beast::flat_buffer buffer;
        boost::beast::http::response<boost::beast::http::string_body> response;
        boost::system::error_code error;
        boost::beast::http::read(socket, buffer, response, error);
        return error ? 0U : response.result_int();
    };
    CHECK(sendRequest("r1") == 200);
    fleet.gateways[0].process.signal(SIGTERM);
    std::this_thread::sleep_for(2700ms);
    CHECK(sendRequest("r2") == 200);
    CHECK(fleet.gateways[0].process.wait(5s) == 0);
}
