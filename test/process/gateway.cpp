#include <catch2/catch.hpp>

#include <harness/gatewayfleet.h>
#include <harness/localfleet.h>

#include <cyclamenspool/wire/endpoint.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>

#include <atomic>
#include <csignal>
#include <future>
#include <sstream>
#include <thread>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using harness::Answer;
using harness::GatewayFleet;
using harness::LocalFleet;
using harness::PlainRequest;
using harness::PlainSocket;
using harness::sealed;
using harness::writeAll;

namespace {

const std::string streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCyclamenspool-Response-Seal: seal\r\nTransfer-Encoding: chunked\r\n";

std::string chunk(const std::string &bytes)
{
    std::ostringstream out;
    out << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return out.str();
}

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: token" + std::to_string(id) + "\n\n";
}

std::string headFor(const PlainRequest &request)
{
    return streamHead + "Cyclamenspool-Request-Id: " + std::string(request["Cyclamenspool-Request-Id"]) + "\r\n\r\n";
}

/** @brief Resets the connection. */
bool reset(PlainSocket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
    return false;
}

/** @brief Makes the store answer 503 to one gateway and serve the others. */
void turnAway(GatewayFleet &fleet, std::size_t index)
{
    auto &gateway = fleet.gateways[index];
    auto settings = GatewayFleet::readSettings(gateway);
    const auto &address = fleet.store.address();
    settings.replace(settings.find("store_address: " + address), 15 + address.size(), "store_address: " + fleet.store.sideAddress());
    GatewayFleet::writeSettings(gateway, settings);
    gateway.process.kill();
    fleet.start(gateway);
    REQUIRE(LocalFleet::await([&gateway] {
        return GatewayFleet::isReady(gateway);
    }));
    fleet.store.setSideStatus(503);
    // The watch in progress may still bring a change.
    std::this_thread::sleep_for(300ms);
}

} // namespace

TEST_CASE("a request reaches its backend server unchanged, with the workspace in place of the key", "[process][gateway]")
{
    GatewayFleet fleet(1, 1);
    auto call = fleet.call("r1", "/once/a/b?c=d%20e");
    call.headers.emplace_back("Cyclamenspool-Tenant", "forged");
    call.headers.emplace_back("Kv-From", "forged");
    call.headers.emplace_back("X-Other", "kept");
    call.body = "the body";
    const auto answer = run(call);
    CHECK(answer.status == 200);
    CHECK(answer.body == "hello");
    CHECK(answer.header("cyclamenspool-response-seal") == "seal");
    const auto seen = fleet.runners[0]->last();
    CHECK(seen.target() == "/once/a/b?c=d%20e");
    CHECK(seen.body() == "the body");
    CHECK(seen["Cyclamenspool-Tenant"] == "desk");
    CHECK(seen["X-Other"] == "kept");
    CHECK(seen.count("Authorization") == 0);
    CHECK(seen.count("Kv-From") == 0);
    const auto left = std::stoi(std::string(seen["Cyclamenspool-Deadline-Ms"]));
    CHECK(left > 1000);
    CHECK(left <= 2500);
}

TEST_CASE("unknown routes and keys are refused, and nothing runs", "[process][gateway]")
{
    GatewayFleet fleet(1, 1);
    CHECK(run(fleet.call("r1", "/unknown/x")).status == 404);
    auto call = fleet.call("r2");
    call.headers[3].second = "Bearer other";
    CHECK(run(call).status == 401);
    CHECK(fleet.runners[0]->runs() == 0);
}

TEST_CASE("a request that must not be repeated runs once, whatever its backend server does", "[process][gateway]")
{
    GatewayFleet fleet(1, 3);
    const int fault = GENERATE(0, 1, 2, 3, 4);
    for (auto &runner : fleet.runners) {
        runner->onRequest([fault](const PlainRequest &request, PlainSocket &socket) {
            switch (fault) {
            case 0:
                return reset(socket);
            case 1:
                writeAll(socket, "HTTP/1.1 200 OK\r\nCyclamenspool-Response-Seal: s\r\nContent-Length: 100\r\n\r\nhalf");
                return false;
            case 2:
                return writeAll(socket, "these bytes are no answer\r\n\r\n") && false;
            case 3:
                return writeAll(socket, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbare");
            default:
                return writeAll(socket, sealed(request, "failed", "500 Internal Server Error"));
            }
        });
    }
    const auto answer = run(fleet.call("r1"));
    CHECK(answer.status == (fault == 4 ? 500 : 502));
    int runs = 0;
    for (auto &runner : fleet.runners) {
        runs += runner->runsOf("r1");
    }
    CHECK(runs == 1);
}

TEST_CASE("an idempotent request is sent once more after a failure", "[process][gateway]")
{
    GatewayFleet fleet(1, 3);
    std::atomic<int> calls{0};
    for (auto &runner : fleet.runners) {
        runner->onRequest([&calls](const PlainRequest &request, PlainSocket &socket) {
            return ++calls == 1 ? reset(socket) : writeAll(socket, sealed(request, "second"));
        });
    }
    const auto answer = run(fleet.call("r1", "/again/x"));
    CHECK(answer.status == 200);
    CHECK(answer.body == "second");
    CHECK(calls == 2);
}

TEST_CASE("an answer to another request and bytes after an answer reach no caller", "[process][gateway]")
{
    GatewayFleet fleet(1, 1);
    fleet.runners[0]->onRequest([](const PlainRequest &request, PlainSocket &socket) {
        PlainRequest other = request;
        other.set("Cyclamenspool-Request-Id", "another");
        return writeAll(socket, sealed(other, "stray") + sealed(request, "own") + sealed(other, "extra"));
    });
    for (int i = 0; i < 10; ++i) {
        CHECK(run(fleet.call("r" + std::to_string(i))).body == "own");
    }
}

TEST_CASE("an answer without a length ends with its connection; one that is reset is not whole", "[process][gateway]")
{
    GatewayFleet fleet(1, 1);
    const bool isReset = GENERATE(false, true);
    fleet.runners[0]->onRequest([isReset](const PlainRequest &, PlainSocket &socket) {
        writeAll(socket, "HTTP/1.1 200 OK\r\nCyclamenspool-Response-Seal: s\r\n\r\nunframed");
        if (isReset) {
            std::this_thread::sleep_for(50ms);
            return reset(socket);
        }
        return false;
    });
    const auto answer = run(fleet.call("r1"));
    CHECK(answer.status == (isReset ? 502 : 200));
    CHECK((isReset || answer.body == "unframed"));
}

TEST_CASE("a stream that may be resumed goes on at another backend server without a gap", "[process][gateway]")
{
    GatewayFleet fleet(1, 2);
    std::atomic<int> calls{0};
    for (auto &runner : fleet.runners) {
        runner->onRequest([&calls](const PlainRequest &request, PlainSocket &socket) {
            if (++calls == 1) {
                // The third event is cut in its middle.
                writeAll(socket, headFor(request) + chunk(event(1) + event(2) + "id: 3\nda"));
                std::this_thread::sleep_for(50ms);
                return reset(socket);
            }
            const int from = std::stoi(std::string(request["Last-Event-Id"])) + 1;
            std::string bytes = headFor(request);
            for (int id = from; id <= 5; ++id) {
                bytes += chunk(event(id));
            }
            return writeAll(socket, bytes + "0\r\n\r\n");
        });
    }
    const auto answer = run(fleet.call("r1", "/resumed/x"));
    CHECK(answer.whole);
    CHECK(answer.body == event(1) + event(2) + event(3) + event(4) + event(5));
    CHECK(calls == 2);
}

TEST_CASE("a stream that must not be resumed is cut and does not look whole", "[process][gateway]")
{
    GatewayFleet fleet(1, 2);
    for (auto &runner : fleet.runners) {
        runner->onRequest([](const PlainRequest &request, PlainSocket &socket) {
            writeAll(socket, headFor(request) + chunk(event(1)));
            std::this_thread::sleep_for(50ms);
            return reset(socket);
        });
    }
    const auto answer = run(fleet.call("r1", "/stream/x"));
    CHECK_FALSE(answer.whole);
    CHECK(fleet.runners[0]->runsOf("r1") + fleet.runners[1]->runsOf("r1") == 1);
}

TEST_CASE("a caller that leaves ends the work at the backend server", "[process][gateway]")
{
    GatewayFleet fleet(1, 1);
    std::promise<bool> ended;
    fleet.runners[0]->onRequest([&ended](const PlainRequest &request, PlainSocket &socket) {
        writeAll(socket, headFor(request));
        char byte = 0;
        boost::system::error_code error;
        socket.read_some(boost::asio::buffer(&byte, 1), error);
        ended.set_value(static_cast<bool>(error));
        return false;
    });
    const std::string bytes = "POST /stream/x HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n";
    static_cast<void>(harness::exchangeRaw(fleet.gateways[0].caller, bytes, false, 300ms));
    auto result = ended.get_future();
    REQUIRE(result.wait_for(2s) == std::future_status::ready);
    CHECK(result.get());
}

TEST_CASE("a backend server that leaves gets nothing new, also while the store turns the gateway away", "[process][gateway]")
{
    GatewayFleet fleet(2, 2);
    const bool isTurnedAway = GENERATE(false, true);
    if (isTurnedAway) {
        turnAway(fleet, 1);
    }
    fleet.store.put("servers/i-0", fleet.runners[0]->entry("pool", "draining"));
    std::this_thread::sleep_for(2000ms); /* the time in which it must be known */
    const int before = fleet.runners[0]->runs();
    for (int i = 0; i < 20; ++i) {
        CHECK(run(fleet.call("r" + std::to_string(i), "/once/x", static_cast<std::size_t>(i % 2))).status == 200);
    }
    CHECK(fleet.runners[0]->runs() == before);
}

TEST_CASE("a configuration is in force in time, and an older one never comes back", "[process][gateway]")
{
    GatewayFleet fleet(2, 1);
    fleet.publishRouting(5, "pool", {"key-1", "key-2"});
    const auto isKnown = [&fleet](std::size_t gateway) {
        auto call = fleet.call("probe", "/once/x", gateway);
        call.headers[3].second = "Bearer key-2";
        return run(call).status == 200;
    };
    CHECK(LocalFleet::await(
        [&] {
            return isKnown(0) && isKnown(1);
        },
        2000ms));
    fleet.publishRouting(4, "pool", {"key-1"});
    std::this_thread::sleep_for(500ms);
    CHECK(isKnown(0));
    CHECK(isKnown(1));
}

TEST_CASE("a gateway that the store turns away has the configuration from its peers in time", "[process][gateway]")
{
    GatewayFleet fleet(2, 1);
    turnAway(fleet, 1);
    fleet.publishRouting(2, "pool", {"key-1", "key-2"});
    auto call = fleet.call("probe", "/once/x", 1);
    call.headers[3].second = "Bearer key-2";
    CHECK(LocalFleet::await(
        [&call] {
            return run(call).status == 200;
        },
        2000ms));
    CHECK(GatewayFleet::logOf(fleet.gateways[1]).find("\"source\":\"peer\"") != std::string::npos);
    fleet.publishRouting(3, "pool", {"key-1"});
    CHECK(LocalFleet::await(
        [&call] {
            return run(call).status == 401;
        },
        2000ms));
}

TEST_CASE("entries that cannot be read are named in the log and the others hold", "[process][gateway]")
{
    GatewayFleet fleet(1, 1);
    fleet.store.put("servers/bad-1", "\x01\xff not JSON");
    fleet.store.put("servers/bad-2", R"({"service":"pool","address":7,"zone":"az-a","slots":1,"state":"ready"})");
    fleet.store.put("servers/bad-3", R"({"service":"pool","address":"10.0.0.1:1","zone":"az-a","slots":1,"state":"sleeping"})");
    REQUIRE(LocalFleet::await([&fleet] {
        const auto log = GatewayFleet::logOf(fleet.gateways[0]);
        return log.find("bad-1") != std::string::npos && log.find("bad-2") != std::string::npos && log.find("bad-3") != std::string::npos;
    }));
    for (int i = 0; i < 10; ++i) {
        CHECK(run(fleet.call("r" + std::to_string(i))).status == 200);
    }
}

TEST_CASE("the store's outage and its lost history change nothing that is in force", "[process][gateway]")
{
    GatewayFleet fleet(1, 1);
    fleet.store.setStatus(503);
    std::this_thread::sleep_for(700ms);
    CHECK(run(fleet.call("r1")).status == 200);
    CHECK(GatewayFleet::isReady(fleet.gateways[0]));
    fleet.publishRouting(2, "pool", {"key-1", "key-2"});
    fleet.store.compact();
    fleet.store.setStatus(200);
    CHECK(LocalFleet::await(
        [&fleet] {
            auto call = fleet.call("r2");
            call.headers[3].second = "Bearer key-2";
            return run(call).status == 200;
        },
        3000ms));
}

TEST_CASE("a planned stop says not ready first, and cuts no stream and no request", "[process][gateway]")
{
    GatewayFleet fleet(1, 1);
    fleet.runners[0]->onRequest([](const PlainRequest &request, PlainSocket &socket) {
        std::string head = headFor(request);
        bool isOpen = writeAll(socket, head);
        for (int id = 1; id <= 20 && isOpen; ++id) {
            isOpen = writeAll(socket, chunk(event(id)));
            std::this_thread::sleep_for(100ms);
        }
        return writeAll(socket, "0\r\n\r\n");
    });
    auto stream = std::async(std::launch::async, [&fleet] {
        return run(fleet.call("r1", "/stream/x"));
    });
    std::this_thread::sleep_for(200ms);
    auto &gateway = fleet.gateways[0];
    gateway.process.signal(SIGTERM);
    std::this_thread::sleep_for(200ms);
    CHECK_FALSE(GatewayFleet::isReady(gateway));
    CHECK(stream.get().whole);
    CHECK(gateway.process.wait(6s) == 0);
}

TEST_CASE("slow, long and malformed requests are refused and run nowhere", "[process][gateway]")
{
    GatewayFleet fleet(1, 1);
    const auto &address = fleet.gateways[0].caller;
    const std::string start = "POST /once/x HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key-1\r\n";
    CHECK(harness::exchangeRaw(address, start, false, 2s).find(" 408 ") != std::string::npos);
    CHECK(harness::exchangeRaw(address, start + "X: " + std::string(20000, 'x') + "\r\n\r\n", false, 2s).find(" 431 ") != std::string::npos);
    CHECK(harness::exchangeRaw(address, start + "Content-Length: 200000\r\n\r\n", false, 2s).find(" 413 ") != std::string::npos);
    CHECK(harness::exchangeRaw(address, start + "Transfer-Encoding: gzip\r\n\r\n", false, 2s).find(" 400 ") != std::string::npos);
    CHECK(harness::exchangeRaw(address, start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false, 2s).find(" 400 ")
          != std::string::npos);
    CHECK(harness::exchangeRaw(address, "nonsense\r\n\r\n", false, 2s).find(" 400 ") != std::string::npos);
    CHECK(fleet.runners[0]->runs() == 0);
}

TEST_CASE("pipelined requests are answered in their order", "[process][gateway]")
{
    GatewayFleet fleet(1, 1);
    fleet.runners[0]->onRequest([](const PlainRequest &request, PlainSocket &socket) {
        return writeAll(socket, sealed(request, "answer to " + request.body()));
    });
    const std::string start = "POST /once/x HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key-1\r\nContent-Length: 1\r\n\r\n";
    const auto bytes = harness::exchangeRaw(fleet.gateways[0].caller, start + "1" + start + "2" + start + "3", false, 1s);
    const auto first = bytes.find("answer to 1");
    const auto second = bytes.find("answer to 2");
    const auto third = bytes.find("answer to 3");
    REQUIRE(third != std::string::npos);
    CHECK(first < second);
    CHECK(second < third);
}

TEST_CASE("silence of a backend server ends no answer while no other one can go on with it", "[process][gateway]")
{
    GatewayFleet fleet(1, 1);
    const std::string path = GENERATE("/resumed/x", "/again/x");
    fleet.runners[0]->onRequest([path](const PlainRequest &request, PlainSocket &socket) {
        if (path == "/again/x") {
            std::this_thread::sleep_for(1600ms);
            return writeAll(socket, sealed(request, "late"));
        }
        writeAll(socket, headFor(request) + chunk(event(1)));
        std::this_thread::sleep_for(1600ms);
        return writeAll(socket, chunk(event(2)) + "0\r\n\r\n");
    });
    const auto answer = run(fleet.call("r1", path));
    CHECK(answer.status == 200);
    CHECK(answer.whole);
    CHECK(answer.body == (path == "/again/x" ? "late" : event(1) + event(2)));
}

TEST_CASE("settings that changed are taken, bad ones are refused and named, and no request is cut", "[process][gateway]")
{
    GatewayFleet fleet(1, 1);
    auto &gateway = fleet.gateways[0];
    const auto before = fleet.readSettings(gateway);
    fleet.writeSettings(gateway, before + "retry_slack: many\n");
    gateway.process.signal(SIGHUP);
    REQUIRE(LocalFleet::await([&gateway] {
        return GatewayFleet::logOf(gateway).find("refused, the settings before stay in force") != std::string::npos;
    }));
    CHECK(GatewayFleet::logOf(gateway).find("retry_slack") != std::string::npos);
    CHECK(run(fleet.call("r1")).status == 200);
    fleet.writeSettings(gateway, before + "retry_slack: 7\n");
    gateway.process.signal(SIGHUP);
    REQUIRE(LocalFleet::await([&gateway] {
        return GatewayFleet::logOf(gateway).find("in force\"") != std::string::npos;
    }));
    CHECK(run(fleet.call("r2")).status == 200);
}

TEST_CASE("a planned stop answers a request that comes on an idle connection while the balancer still counts on it", "[process][gateway]")
{
    GatewayFleet fleet(1, 1);
    boost::asio::io_context context;
    PlainSocket socket(context);
    socket.connect(wire::endpointOf(fleet.gateways[0].caller));
    const auto ask = [&socket](const std::string &id) {
        writeAll(socket,
                 "POST /once/x HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key-1\r\nCyclamenspool-Request-Id: " + id
                     + "\r\nContent-Length: 0\r\n\r\n");
        boost::beast::flat_buffer buffer;
        boost::beast::http::response<boost::beast::http::string_body> response;
        boost::system::error_code error;
        boost::beast::http::read(socket, buffer, response, error);
        return error ? 0U : response.result_int();
    };
    CHECK(ask("r1") == 200);
    fleet.gateways[0].process.signal(SIGTERM);
    std::this_thread::sleep_for(2700ms);
    CHECK(ask("r2") == 200);
    CHECK(fleet.gateways[0].process.wait(5s) == 0);
}
