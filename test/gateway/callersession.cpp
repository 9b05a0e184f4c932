#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/callersession.h>
#include <cyclamenspool/gateway/dispatcher.h>
#include <cyclamenspool/gateway/worker.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using gateway::CallerSession;

namespace {

const std::string completeRequest = "POST /once/x HTTP/1.1\r\nHost: desk.example\r\nCyclamenspool-Request-Id: r1\r\nContent-Length: 0\r\n\r\n";
const std::string streamRequest = "POST /stream/x HTTP/1.1\r\nHost: desk.example\r\nCyclamenspool-Request-Id: r2\r\nContent-Length: 0\r\n\r\n";
const std::string streamHead
    = "HTTP/1.1 200 OK\r\nCyclamenspool-Request-Id: r2\r\nCyclamenspool-Response-Seal: seal\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr int smallBufferBytes = 4096;
constexpr std::size_t longBodyBytes = 48UL * 1024; /* more than the small buffers of a connection hold */

bool isEnding(const std::string &text, const std::string &end)
{
    return text.size() >= end.size() && text.compare(text.size() - end.size(), end.size(), end) == 0;
}

/** @brief A worker whose event loop the test runs step by step, and a caller's connection to it over loopback. */
class SteppedWorker
{
public:
    /** @brief Connects the caller, whose receive buffer is small. @param sendBufferBytes Size of the worker's send buffer. */
    explicit SteppedWorker(int sendBufferBytes = smallBufferBytes)
        : dispatcher_(settings_)
        , worker(dispatcher_, 1)
        , acceptor_(context_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , backendAcceptor_(context_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , caller(context_)
    {
        caller.open(tcp::v4());
        caller.set_option(boost::asio::socket_base::receive_buffer_size(smallBufferBytes));
        caller.connect(acceptor_.local_endpoint());
        accepted_ = std::make_unique<tcp::socket>(acceptor_.accept(worker.context()));
        accepted_->set_option(boost::asio::socket_base::send_buffer_size(sendBufferBytes));
    }

    /** @brief Routes requests of the paths /once/ and /stream/ to a backend server that the test plays. @param idleTimeout Limit of a caller's pauses. */
    void addRouting(std::chrono::milliseconds idleTimeout = 5000ms)
    {
        world::RoutingConfig routing;
        routing.version = 1;
        routing.limits.idleTimeout = idleTimeout;
        routing.limits.headerTimeout = idleTimeout;
        routing.services["pool"].name = "pool";
        for (const auto &[name, kind] : {std::pair("once", world::RouteKind::NonIdempotent), std::pair("stream", world::RouteKind::Streaming)}) {
            world::Route route;
            route.name = name;
            route.host = "desk.example";
            route.prefix = "/" + route.name + "/";
            route.kind = kind;
            route.services = {{"pool", 1.0}};
            routing.routes.push_back(route);
        }
        dispatcher_.onRouting(std::move(routing));
        dispatcher_.withFleet([this](gateway::Fleet &fleet, core::MonotonicTime now) {
            world::BackendServer server;
            server.id = "i-0";
            server.service = "pool";
            server.address = "127.0.0.1:" + std::to_string(backendAcceptor_.local_endpoint().port());
            server.zone = settings_.zone;
            server.slots = 8;
            fleet.onServerListed(server, now);
        });
    }

    /** @brief Runs the event loop until the backend server has got a request, and responds with a stream that has not ended. @param body Bytes of the body. */
    void beginStream(const std::string &body)
    {
        run(50ms);
        backend_ = std::make_unique<tcp::socket>(backendAcceptor_.accept());
        run(50ms);
        std::string request;
        boost::asio::read_until(*backend_, boost::asio::dynamic_buffer(request), "\r\n\r\n");
        std::ostringstream size;
        size << std::hex << body.size();
        boost::asio::write(*backend_, boost::asio::buffer(streamHead + size.str() + "\r\n" + body + "\r\n"));
        run(50ms);
    }

    /** @brief Connects a further caller, whose session is started. @return Its connection. */
    tcp::socket connectFurther()
    {
        tcp::socket further(context_);
        further.connect(acceptor_.local_endpoint());
        auto accepted = std::make_shared<tcp::socket>(acceptor_.accept(worker.context()));
        boost::asio::post(worker.context(), [this, accepted] {
            std::make_shared<CallerSession>(worker, std::move(*accepted))->start();
        });
        return further;
    }

    /** @brief Returns the headers of the next request that the backend server gets on a new connection. */
    std::string nextBackendRequest()
    {
        auto connection = backendAcceptor_.accept();
        std::string request;
        boost::asio::read_until(connection, boost::asio::dynamic_buffer(request), "\r\n\r\n");
        return request;
    }

    /** @brief Ends the stream of beginStream(). */
    void endStream()
    {
        boost::asio::write(*backend_, boost::asio::buffer(std::string("0\r\n\r\n")));
        backend_->close();
    }

    /** @brief Queues the start of the connection's session, as after an accept. */
    void queueSession()
    {
        boost::asio::post(worker.context(), [this] {
            const auto started = std::make_shared<CallerSession>(worker, std::move(*accepted_));
            session = started;
            started->start();
        });
    }

    /** @brief Writes to the connection and waits until the bytes have arrived. */
    void send(const std::string &bytes)
    {
        boost::asio::write(caller, boost::asio::buffer(bytes));
        while (accepted_->is_open() && accepted_->available() < bytes.size()) {
            std::this_thread::sleep_for(1ms);
        }
    }

    /** @brief Runs the event loop for a time. */
    void run(std::chrono::milliseconds time)
    {
        worker.context().restart();
        worker.context().run_for(time);
    }

    /** @brief Runs the event loop and reads until the connection or what was received ends so, for 2 s at most. @return Received bytes. */
    std::string receiveUntil(const std::string &end)
    {
        const auto limit = std::chrono::steady_clock::now() + 2s;
        std::string received;
        while (!isEnding(received, end) && !isEnding(received, "closed") && !isEnding(received, "reset") && std::chrono::steady_clock::now() < limit) {
            received += runAndReceive(1ms);
        }
        return received;
    }

    /** @brief Queues a function to run after a number of other handlers that each queue the next. */
    void queueBehind(int handlers, const std::function<void()> &function)
    {
        boost::asio::post(worker.context(), [this, handlers, function] {
            if (handlers == 0) {
                function();
            } else {
                queueBehind(handlers - 1, function);
            }
        });
    }

    /** @brief Runs the event loop for a time and returns what the caller has received; "closed" if the connection ended without a byte, "reset" if it was
     * reset. */
    std::string runAndReceive(std::chrono::milliseconds time)
    {
        run(time);
        caller.non_blocking(true);
        std::string bytes(smallBufferBytes, '\0');
        boost::system::error_code error;
        bytes.resize(caller.read_some(boost::asio::buffer(bytes), error));
        if (error == boost::asio::error::eof) {
            return "closed";
        }
        return error == boost::asio::error::connection_reset ? "reset" : bytes;
    }

private:
    config::GatewaySettings settings_;
    gateway::Dispatcher dispatcher_;

public:
    gateway::Worker worker;

private:
    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
    tcp::acceptor backendAcceptor_;
    std::unique_ptr<tcp::socket> accepted_;
    std::unique_ptr<tcp::socket> backend_;

public:
    tcp::socket caller;
    std::weak_ptr<CallerSession> session; /* of the connection */
};

/** @brief Returns the times of a stop in which requests are accepted and responses announce that their connection closes. */
gateway::ShutdownPlan planWithOpenEnd()
{
    const auto now = std::chrono::steady_clock::now();
    return {now, now + 1h, now + 1h, now + 1h};
}

} // namespace

// Guards against a request that is read from the socket and then lost, as its connection counts as idle until the read's handler has run.
TEST_CASE("a request is answered although a late event loop closes idle connections just after it was read", "[gateway][session]")
{
    SteppedWorker stepped;
    stepped.send(completeRequest);
    stepped.queueSession();
    stepped.worker.closeIdleSessions();
    CHECK(stepped.runAndReceive(50ms).substr(0, 13) == "HTTP/1.1 503 ");
}

// Guards against a close that hides an idle connection's end from the caller, or that does not come.
TEST_CASE("an idle connection without unread bytes is closed", "[gateway][session]")
{
    SteppedWorker stepped;
    stepped.queueSession();
    stepped.worker.closeIdleSessions();
    CHECK(stepped.runAndReceive(50ms) == "closed");
}

// Guards against a connection that ends with its request, and a request that outlives it, once nothing more is read from the connection.
TEST_CASE("a request is answered although more is pipelined behind it than the session reads", "[gateway][session]")
{
    SteppedWorker stepped;
    stepped.addRouting();
    stepped.queueSession();
    stepped.send(streamRequest);
    stepped.beginStream("first");
    std::string pipelined;
    while (pipelined.size() < static_cast<std::size_t>(smallBufferBytes)) {
        pipelined += "GET /none/x HTTP/1.1\r\nHost: desk.example\r\n\r\n";
    }
    stepped.caller.non_blocking(true);
    for (int i = 0; i < 32; ++i) {
        boost::system::error_code ignored;
        stepped.caller.write_some(boost::asio::buffer(pipelined), ignored);
        stepped.run(2ms);
    }
    stepped.run(20ms);
    REQUIRE(!stepped.session.expired());
    stepped.endStream();
    CHECK(stepped.runAndReceive(50ms).find("\r\n0\r\n\r\nHTTP/1.1 404 ") != std::string::npos); /* the first response ends, and the second begins */
}

// Guards against the end of a request whose caller has left: the connection may exist until a cancelled write has run.
TEST_CASE("requests are ended at the exit although a caller has just left", "[gateway][session]")
{
    for (int handlers = 0; handlers < 6; ++handlers) {
        CAPTURE(handlers);
        SteppedWorker stepped;
        stepped.addRouting();
        stepped.queueSession();
        stepped.send(streamRequest);
        stepped.beginStream(std::string(longBodyBytes, 'x'));
        REQUIRE(!stepped.session.expired());
        stepped.caller.shutdown(tcp::socket::shutdown_send);
        stepped.queueBehind(handlers, [&stepped] {
            stepped.worker.endRequests();
        });
        stepped.run(20ms);
        CHECK(stepped.session.expired());
        CHECK(stepped.worker.tally().cut + stepped.worker.tally().callerGone == 1);
    }
}

// Guards against a request that is read in part when requests have been ended, and dropped by the exit.
TEST_CASE("a part of a request that arrives after requests were ended is refused at once", "[gateway][session]")
{
    SteppedWorker stepped;
    const auto now = std::chrono::steady_clock::now();
    stepped.worker.setShutdownPlan({now, now, now, now + 1h});
    stepped.queueSession();
    stepped.send(GENERATE(as<std::string>(), "P", "POST /once/x HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 9\r\n\r\nbody"));
    CHECK(stepped.runAndReceive(50ms).substr(0, 13) == "HTTP/1.1 503 ");
}

// Guards against a response that is broken off at the idle timeout and counts as complete.
TEST_CASE("a response that its caller stops reading counts as cut", "[gateway][session]")
{
    SteppedWorker stepped;
    stepped.addRouting(200ms);
    stepped.queueSession();
    stepped.send(streamRequest);
    stepped.beginStream(std::string(longBodyBytes, 'x'));
    stepped.endStream();
    stepped.run(500ms);
    CHECK(stepped.session.expired());
    CHECK(stepped.worker.tally().answered == 1);
    CHECK(stepped.worker.tally().cut == 1);
}

// Guards against a connection that stays open for good, as nothing limits the time to write the refusal of an incomplete request.
TEST_CASE("a caller that neither reads its response nor completes its next request is disconnected", "[gateway][session]")
{
    SteppedWorker stepped;
    stepped.addRouting(200ms);
    stepped.queueSession();
    stepped.send(streamRequest);
    stepped.beginStream(std::string(longBodyBytes, 'x'));
    stepped.endStream();
    stepped.run(50ms);
    boost::asio::write(stepped.caller, boost::asio::buffer(completeRequest.substr(0, 9)));
    stepped.run(1000ms);
    CHECK(stepped.session.expired());
}

// Guards against a reset that discards the end of a response which its caller has not received yet.
TEST_CASE("a slow caller gets the whole of its last response although a further request stays unread behind it", "[gateway][session]")
{
    constexpr int sendBufferBytes = 256 * 1024; /* holds the whole response */
    SteppedWorker stepped(sendBufferBytes);
    stepped.addRouting();
    stepped.worker.setShutdownPlan(planWithOpenEnd());
    stepped.queueSession();
    stepped.send(streamRequest);
    stepped.beginStream(std::string(longBodyBytes, 'x'));
    const bool isSentBefore = GENERATE(false, true); /* before the response is complete */
    CAPTURE(isSentBefore);
    if (isSentBefore) {
        boost::asio::write(stepped.caller, boost::asio::buffer(completeRequest));
    }
    stepped.endStream();
    stepped.run(50ms);
    if (!isSentBefore) {
        boost::asio::write(stepped.caller, boost::asio::buffer(completeRequest));
    }
    stepped.run(1500ms); /* longer than a caller that has received all gets for closing */
    CHECK(isEnding(stepped.receiveUntil("closed"), "\r\n0\r\n\r\nclosed"));
}

// Guards against a reset that meets a request which follows at once on a response whose headers kept the connection open.
TEST_CASE("a connection that a response has kept open is not closed before the caller's next request can arrive", "[gateway][session]")
{
    constexpr int sendBufferBytes = 256 * 1024; /* holds the whole response */
    SteppedWorker stepped(sendBufferBytes);
    stepped.addRouting();
    stepped.queueSession();
    stepped.send(streamRequest);
    stepped.beginStream("x");
    stepped.endStream();
    REQUIRE(isEnding(stepped.receiveUntil("\r\n0\r\n\r\n"), "\r\n0\r\n\r\n"));
    stepped.run(80ms); /* the caller's kernel acknowledges the response after up to 40 ms */
    stepped.worker.closeIdleSessions();
    stepped.run(20ms);
    boost::asio::write(stepped.caller, boost::asio::buffer(completeRequest));
    stepped.run(20ms);
    stepped.worker.closeIdleSessions();
    stepped.worker.endRequests();
    CHECK(isEnding(stepped.receiveUntil("\r\n\r\n").substr(0, 9), "HTTP/1.1 "));
}

// Guards against a close that a request can cross while the last response is on its way: the reset would discard the end of that response.
TEST_CASE("an idle connection is closed only after its last response was received", "[gateway][session]")
{
    constexpr int sendBufferBytes = 256 * 1024; /* holds the whole response */
    SteppedWorker stepped(sendBufferBytes);
    stepped.addRouting();
    stepped.queueSession();
    stepped.send(streamRequest);
    stepped.beginStream(std::string(longBodyBytes, 'x'));
    stepped.endStream();
    stepped.run(50ms);
    stepped.worker.closeIdleSessions();
    stepped.run(50ms);
    const bool isCrossing = GENERATE(false, true);
    CAPTURE(isCrossing);
    if (isCrossing) {
        boost::asio::write(stepped.caller, boost::asio::buffer(completeRequest));
    }
    stepped.run(50ms);
    CHECK(isEnding(stepped.receiveUntil("\r\n0\r\n\r\n"), "\r\n0\r\n\r\n"));
    stepped.run(100ms);
    stepped.worker.closeIdleSessions();
    CHECK((isCrossing || stepped.runAndReceive(50ms) == "closed"));
}

// Guards against requests that are refused, or overtake each other, although the routing is known a moment later.
TEST_CASE("requests that arrive while the gateway starts are held and then sent on in the order in which they came", "[gateway][session][start]")
{
    SteppedWorker stepped;
    stepped.worker.startQueue().begin({10, 10000});
    stepped.queueSession();
    const auto request = [](const std::string &path) {
        return "POST " + path + "HTTP/1.1\r\nHost: desk.example\r\nCyclamenspool-Deadline-Ms: 20000\r\n\r\n";
    };
    stepped.send(request("/once/x "));
    stepped.run(20ms);
    std::vector<tcp::socket> others;
    for (int i = 2; i <= 4; ++i) {
        others.push_back(stepped.connectFurther());
        boost::asio::write(others.back(), boost::asio::buffer(request("/once/" + std::to_string(i) + " ")));
        stepped.run(20ms);
    }
    REQUIRE(stepped.runAndReceive(20ms).empty());
    stepped.addRouting();
    stepped.worker.startQueue().setOutlook(gateway::StartOutlook::Known);
    stepped.run(50ms);
    REQUIRE_FALSE(stepped.worker.startQueue().isHolding());
    for (const std::string path : {"/once/x ", "/once/2 ", "/once/3 ", "/once/4 "}) {
        REQUIRE(stepped.nextBackendRequest().find(path) != std::string::npos);
    }
}

// Guards against a held request that has two owners, or none, when its caller leaves, its time is over or the process ends.
TEST_CASE("a request that is held while the gateway starts ends once, whatever ends it", "[gateway][session][start]")
{
    SteppedWorker stepped;
    stepped.worker.startQueue().begin({10, 10000});
    stepped.queueSession();
    stepped.send("POST /once/x HTTP/1.1\r\nHost: desk.example\r\nCyclamenspool-Deadline-Ms: 500\r\nContent-Length: 0\r\n\r\n");
    stepped.run(50ms);
    auto &tally = stepped.worker.tally();
    REQUIRE(tally.taken == 1);
    REQUIRE(tally.refused == 0);
    SECTION("its caller leaves")
    {
        stepped.caller.close();
        stepped.run(20ms);
        CHECK(tally.callerGone == 1);
        CHECK(stepped.session.expired());
        stepped.run(200ms);
        CHECK(tally.refused == 0);
    }
    SECTION("the process ends")
    {
        stepped.worker.endRequests();
        const auto response = stepped.receiveUntil("}\n");
        CHECK(response.substr(0, 13) == "HTTP/1.1 503 ");
        CHECK(response.find("shutting_down") != std::string::npos);
        stepped.run(200ms);
        CHECK(tally.refused == 1);
    }
    SECTION("it has waited for three tenths of its caller's time")
    {
        const auto response = stepped.receiveUntil("}\n");
        CHECK(response.find("stale_view") != std::string::npos);
        CHECK(response.find("Retry-After: ") != std::string::npos);
        CHECK(tally.refused == 1);
    }
    SECTION("nobody can say any more when the routing will be known")
    {
        stepped.worker.startQueue().setOutlook(gateway::StartOutlook::Away);
        const auto response = stepped.runAndReceive(30ms);
        CHECK(response.find("stale_view") != std::string::npos);
        CHECK(tally.refused == 1);
    }
    SECTION("the gateway stops")
    {
        const auto now = std::chrono::steady_clock::now();
        stepped.worker.setShutdownPlan({now, now, now + 1h, now + 1h});
        stepped.worker.startQueue().setOutlook(gateway::StartOutlook::Known);
        CHECK(stepped.runAndReceive(30ms).find("shutting_down") != std::string::npos);
        CHECK(tally.refused == 1);
    }
    stepped.worker.startQueue().setOutlook(gateway::StartOutlook::Known);
    stepped.run(20ms);
    CHECK_FALSE(stepped.worker.startQueue().isHolding());
}
