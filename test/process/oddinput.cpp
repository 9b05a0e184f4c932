#include <catch2/catch.hpp>

#include <harness/eventstream.h>
#include <harness/gatewayfleet.h>
#include <harness/localfleet.h>

#include <atomic>
#include <string>
#include <thread>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using harness::chunk;
using harness::formatResponseWithDigest;
using harness::GatewayFleet;
using harness::LocalFleet;
using harness::PlainRequest;
using harness::PlainSocket;
using harness::resetConnection;
using harness::responseHeadFor;
using harness::serverSentEvent;
using harness::writeAll;

namespace {

std::string entryWith(const std::string &field, const std::string &value)
{
    const std::string address = field == "address" ? value : "\"127.0.0.1:9\"";
    const std::string slots = field == "slots" ? value : "8";
    const std::string born = field == "born" ? value : "1";
    const std::string zone = field == "zone" ? value : "\"az-a\"";
    return R"({"service":"pool","state":"ready","address":)" + address + R"(,"zone":)" + zone + R"(,"slots":)" + slots + R"(,"born":)" + born + "}";
}

} // namespace

// Guards against entries of other writers that end the gateway or keep it from following the list, in a change as well as in a list that it reads anew.
TEST_CASE("odd entries among those of the servers name no server, and the list is followed beyond them", "[process][gateway][odd]")
{
    GatewayFleet fleet(1, 2);
    fleet.store.put("servers/a-deep", std::string(100000, '[') + std::string(100000, ']'));
    fleet.store.put("servers/b-deep-field", entryWith("zone", std::string(5000, '[') + std::string(5000, ']')));
    fleet.store.put("servers/c-number", entryWith("slots", "1e999999"));
    fleet.store.put("servers/d-number", entryWith("born", "1" + std::string(500, '0')));
    fleet.store.put("servers/e-port", entryWith("address", "\"127.0.0.1:70000\""));
    fleet.store.put("servers/f-port", entryWith("address", "\"127.0.0.1:99999999999999999999\""));
    fleet.store.put("servers/b-z&after=z#h ?x%41", entryWith("", ""));
    fleet.store.put("servers/d-z\r\nX-Injected: 1", entryWith("", ""));
    fleet.store.put("servers/i-0", fleet.backendServers[0]->listEntry("pool", "draining"));
    const bool isListedAnew = GENERATE(false, true);
    auto &gateway = fleet.gateways[0];
    if (isListedAnew) {
        gateway.process.kill();
        fleet.start(gateway);
    }
    CHECK(LocalFleet::waitUntil(
        [&] {
            const auto request = fleet.makeRequest("probe", "/again/x");
            return GatewayFleet::isReady(gateway) && sendRequest(request).status == 200;
        },
        5000ms));
    std::this_thread::sleep_for(1000ms);
    const int before = fleet.backendServers[0]->totalRunCount();
    for (int i = 0; i < 20; ++i) {
        CHECK(sendRequest(fleet.makeRequest("r" + std::to_string(i))).status == 200);
    }
    CHECK(fleet.backendServers[0]->totalRunCount() == before); /* the change after the odd ones is known */
    CHECK(GatewayFleet::readLog(gateway).find("X-Injected: 1\",\"service") == std::string::npos);
    const auto log = GatewayFleet::readLog(gateway);
    CHECK(log.find("\"started\"", log.find("\"started\"") + 1) == (isListedAnew ? log.rfind("\"started\"") : std::string::npos));
}

// Guards against a refusal of an earlier request, written once more on a kept connection, that is taken for the answer to the next request.
TEST_CASE("an earlier refusal that is written once more on a kept connection says nothing of the next request", "[process][gateway][odd]")
{
    GatewayFleet fleet(1, 2);
    const bool hasId = GENERATE(false, true);
    for (auto &server : fleet.backendServers) {
        server->setHandler([hasId](const PlainRequest &request, PlainSocket &socket) {
            static thread_local std::string previous;
            const std::string id(request["Cyclamenspool-Request-Id"]);
            if (!previous.empty()) {
                const auto idLine = hasId ? "Cyclamenspool-Request-Id: " + previous + "\r\n" : std::string();
                writeAll(socket, "HTTP/1.1 503 X\r\n" + idLine + "Cyclamenspool-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                std::this_thread::sleep_for(20ms);
            }
            previous = id;
            return writeAll(socket, formatResponseWithDigest(request, "own"));
        });
    }
    for (int i = 0; i < 20; ++i) {
        const auto id = "r" + std::to_string(i);
        const auto response = sendRequest(fleet.makeRequest(id));
        CHECK(response.status != 503);
        CHECK((response.status != 200 || response.body == "own"));
        CHECK(fleet.backendServers[0]->runCount(id) + fleet.backendServers[1]->runCount(id) == 1);
    }
}

// Guards against an answer that is no continuation of a stream in the middle of it, and against a stream that looks complete after one.
TEST_CASE("a stream whose next server answers with anything but a stream of events is cut, without bytes of that answer", "[process][gateway][odd]")
{
    const std::string digest = "Cyclamenspool-Response-Seal: s\r\n";
    const std::string json = "Content-Type: application/json\r\nContent-Length: 17\r\n\r\n{\"error\":\"no\"}\n\n\n";
    const std::string error = GENERATE_COPY("HTTP/1.1 500 X\r\n" + digest + json,
                                            "HTTP/1.1 404 X\r\n" + digest + json,
                                            "HTTP/1.1 200 OK\r\n" + digest + json,
                                            "HTTP/1.1 200 OK\r\n" + json,
                                            "HTTP/1.1 202 X\r\n" + digest + "Content-Type: text/event-stream\r\nContent-Length: 9\r\n\r\nerror: 1\n",
                                            "HTTP/1.1 204 X\r\n" + digest + "\r\n",
                                            "HTTP/1.1 302 X\r\n" + digest + "Location: /\r\nContent-Length: 0\r\n\r\n",
                                            std::string("error: no stream here\n\n"));
    CAPTURE(error);
    GatewayFleet fleet(1, 2);
    std::atomic<int> attempts{0};
    for (auto &server : fleet.backendServers) {
        server->setHandler([&](const PlainRequest &request, PlainSocket &socket) {
            if (++attempts > 1) {
                writeAll(socket, error);
                std::this_thread::sleep_for(50ms);
                return false;
            }
            writeAll(socket, responseHeadFor(request) + chunk(serverSentEvent(1)) + chunk(serverSentEvent(2)));
            std::this_thread::sleep_for(50ms);
            return resetConnection(socket);
        });
    }
    const auto response = sendRequest(fleet.makeRequest("r1", "/resumed/x"));
    CHECK(attempts == 2);
    CHECK(response.status == 200);
    CHECK(response.body == serverSentEvent(1) + serverSentEvent(2));
    CHECK_FALSE(response.isComplete);
}
