#include <catch2/catch.hpp>

#include <cyclamenspool/http/refusal.h>
#include <cyclamenspool/http/server.h>

#include <boost/asio/write.hpp>

#include <array>
#include <string>
#include <thread>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using Socket = boost::asio::ip::tcp::socket;

namespace {

constexpr int maxSteps = 40; /* handlers that run before the close; a request is answered within fewer */
const std::string getRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

/** @brief What a caller has seen on its connection so far. */
struct Seen {
    std::string bytes;
    bool isEnded = false; /**< The server has ended the connection: the caller's request was read, or nothing was sent. */
    bool isReset = false; /**< The connection was reset: the server closed it without reading what the caller had sent. */

    [[nodiscard]] int answers() const
    {
        int count = 0;
        for (auto at = bytes.find("HTTP/1.1 200"); at != std::string::npos; at = bytes.find("HTTP/1.1 200", at + 1)) {
            ++count;
        }
        return count;
    }
};

/** @brief Collects what has arrived on a connection. */
void readAvailable(Socket &socket, Seen &seen)
{
    socket.non_blocking(true);
    boost::system::error_code error;
    while (!error) {
        std::array<char, 4096> space{};
        const auto count = socket.read_some(boost::asio::buffer(space), error);
        seen.bytes.append(space.data(), count);
    }
    seen.isEnded = error == boost::asio::error::eof;
    seen.isReset = error == boost::asio::error::connection_reset;
}

/** @brief Server on loopback whose handlers run only when the test drives its context. */
class DrivenServer
{
public:
    explicit DrivenServer(http::RequestHandler handler, const http::ServerLimits &limits = {})
        : server(context, "127.0.0.1:0", limits, std::move(handler), http::refuseWithNewId)
    {
    }

    /** @brief Opens a connection; the kernel completes it without the server. */
    [[nodiscard]] Socket connect()
    {
        Socket socket(callers_);
        socket.connect(server.endpoint());
        return socket;
    }

    /** @brief Runs the server's handlers for a time. */
    void drive(std::chrono::milliseconds duration)
    {
        context.run_for(duration);
        context.restart();
    }

    /** @brief Runs the server's handlers and collects what a caller receives, until the connection ends or for 300 ms. */
    void receive(Socket &socket, Seen &seen)
    {
        for (int step = 0; step < 300 && !seen.isEnded && !seen.isReset; ++step) {
            drive(1ms);
            readAvailable(socket, seen);
        }
    }

    boost::asio::io_context context{1};
    http::Server server;

private:
    boost::asio::io_context callers_;
};

boost::asio::awaitable<void> answer(const http::Request &, http::Responder &responder)
{
    co_await responder.send(200, {}, "ok");
}

void send(Socket &socket, const std::string &bytes)
{
    boost::asio::write(socket, boost::asio::buffer(bytes));
}

} // namespace

// Guards against a listener that is closed over a queue of connections that the kernel has completed.
TEST_CASE("a request in the accept queue is answered when the server closes", "[http]")
{
    DrivenServer driven(answer);
    auto socket = driven.connect();
    send(socket, getRequest);
    driven.server.close();
    Seen seen;
    driven.receive(socket, seen);
    CHECK(seen.answers() == 1);
    CHECK(seen.bytes.find("Connection: close") != std::string::npos);
}

// Guards against a server that reads a request and drops it, because it closes after a response that promised to keep the connection.
TEST_CASE("a request behind a response that promised keep-alive is answered when the server closes in between", "[http]")
{
    http::Server *server = nullptr;
    int calls = 0;
    DrivenServer driven([&](const http::Request &, http::Responder &responder) -> boost::asio::awaitable<void> {
        ++calls;
        co_await responder.beginChunked(200, {});
        server->close();
        co_await responder.endChunked();
    });
    server = &driven.server;
    auto socket = driven.connect();
    send(socket, getRequest + getRequest);
    Seen seen;
    driven.receive(socket, seen);
    CHECK(calls == 2);
    CHECK(seen.answers() == 2);
    const auto announcement = seen.bytes.find("Connection: close");
    CHECK(announcement != std::string::npos);
    CHECK(announcement > seen.bytes.rfind("HTTP/1.1 200"));
}

// Guards against an idle connection that outlives the close until a request on it is cut by the process's exit.
TEST_CASE("an idle connection is closed unread when the server closes", "[http]")
{
    DrivenServer driven(answer);
    auto socket = driven.connect();
    send(socket, getRequest);
    Seen seen;
    driven.drive(20ms);
    driven.server.close();
    driven.receive(socket, seen);
    CHECK(seen.answers() == 1);
    CHECK(seen.isReset);
    CHECK_FALSE(seen.isEnded);
}

// Guards against a server that takes the moment between a completed read and its handler for an idle connection, or for the end of its work.
TEST_CASE("a request is answered or its connection reset unread at whatever step the server closes", "[http]")
{
    const bool isKept = GENERATE(false, true);
    const int steps = GENERATE(range(0, maxSteps));
    CAPTURE(isKept, steps);
    DrivenServer driven(answer);
    auto socket = driven.connect();
    if (isKept) {
        send(socket, getRequest);
        driven.drive(10ms);
    }
    send(socket, getRequest);
    for (int step = 0; step < steps; ++step) {
        driven.context.poll_one();
        driven.context.restart();
    }
    int quietCalls = 0;
    driven.server.close([&] {
        ++quietCalls;
        driven.context.stop(); // No handler runs after it: the process may exit here.
    });
    driven.context.run_for(2s);
    CHECK(quietCalls == 1);
    const auto counts = driven.server.counts();
    Seen seen;
    readAvailable(socket, seen);
    CHECK(counts.cut == 0);
    CHECK(counts.taken == counts.answered);
    CHECK(seen.answers() == static_cast<int>(counts.answered));
    CHECK(counts.answered == (isKept ? 2 : 1));
}

// Guards against an exit between the halves of a request.
TEST_CASE("a request read in part when the server closes is awaited, answered and counted", "[http]")
{
    DrivenServer driven(answer);
    auto socket = driven.connect();
    send(socket, getRequest.substr(0, 9));
    driven.drive(10ms);
    bool isQuiet = false;
    driven.server.close([&] {
        isQuiet = true;
    });
    driven.drive(30ms);
    CHECK_FALSE(isQuiet);
    CHECK(driven.server.counts().taken == 1);
    send(socket, getRequest.substr(9));
    Seen seen;
    driven.receive(socket, seen);
    driven.drive(1100ms); // A connection that waits for an acknowledgement ends after 1 s.
    CHECK(isQuiet);
    CHECK(seen.answers() == 1);
    CHECK(seen.bytes.find("Connection: close") != std::string::npos);
    CHECK(driven.server.counts().answered == 1);
}

// Guards against an exit that counts a request which was read as nothing owed.
TEST_CASE("a request that is open when the process ends overdue is counted as cut", "[http]")
{
    DrivenServer driven(answer);
    auto socket = driven.connect();
    send(socket, getRequest.substr(0, 9));
    driven.drive(10ms);
    driven.server.cutOpenRequests();
    const auto counts = driven.server.counts();
    CHECK(counts.taken == 1);
    CHECK(counts.cut == 1);
    CHECK(counts.answered == 0);
}

// Guards against a handler that fails over a request that was read: its connection closed in order, without a response.
TEST_CASE("a request whose handler fails before the first byte is answered with status 500", "[http]")
{
    enum class Failure : int { Exception, SystemError, Other, Silence };
    const auto failure = GENERATE(Failure::Exception, Failure::SystemError, Failure::Other, Failure::Silence);
    CAPTURE(static_cast<int>(failure));
    DrivenServer driven([failure](const http::Request &, http::Responder &responder) -> boost::asio::awaitable<void> {
        responder.setRequestId("the-id");
        switch (failure) {
        case Failure::Exception:
            throw std::runtime_error("failed");
        case Failure::SystemError: // As of a call that has nothing to do with the caller's connection.
            throw boost::system::system_error(boost::asio::error::no_descriptors);
        case Failure::Other:
            throw 1;
        case Failure::Silence:
            co_return;
        }
    });
    auto socket = driven.connect();
    send(socket, getRequest);
    Seen seen;
    driven.receive(socket, seen);
    CHECK(seen.bytes.find("HTTP/1.1 500") == 0);
    CHECK(seen.bytes.find("X-Request-Id: the-id") != std::string::npos);
    CHECK(seen.bytes.find("Connection: close") != std::string::npos);
    CHECK(seen.isEnded);
    const auto counts = driven.server.counts();
    CHECK(counts.taken == 1);
    CHECK(counts.answered == 1);
    int quietCalls = 0;
    driven.server.close([&] {
        ++quietCalls;
    });
    driven.drive(50ms);
    CHECK(quietCalls == 1);
}

// Guards against a response that was begun and is taken for complete, because its handler failed.
TEST_CASE("a request whose handler fails within its response is cut and counted", "[http]")
{
    DrivenServer driven([](const http::Request &, http::Responder &responder) -> boost::asio::awaitable<void> {
        co_await responder.beginChunked(200, {});
        throw std::runtime_error("failed");
    });
    auto socket = driven.connect();
    send(socket, getRequest);
    Seen seen;
    driven.receive(socket, seen);
    CHECK(seen.bytes.find("HTTP/1.1 200") == 0);
    CHECK(seen.bytes.find("0\r\n\r\n") == std::string::npos);
    CHECK((seen.isEnded || seen.isReset));
    CHECK(driven.server.counts().cut == 1);
}

// Guards against an idle timeout that ends a connection in order, so that a request which crosses the end looks as if it was read.
TEST_CASE("a connection is closed unread at the idle timeout", "[http]")
{
    const bool isKept = GENERATE(false, true);
    CAPTURE(isKept);
    http::ServerLimits limits;
    limits.idleTimeout = 30ms;
    DrivenServer driven(answer, limits);
    auto socket = driven.connect();
    if (isKept) {
        send(socket, getRequest);
    }
    Seen seen;
    driven.receive(socket, seen);
    CHECK(seen.answers() == (isKept ? 1 : 0));
    CHECK(seen.isReset);
    CHECK_FALSE(seen.isEnded);
    CHECK(driven.server.counts().taken == driven.server.counts().answered);
    driven.drive(5ms);
    CHECK(driven.server.counts().closedUnread == 1);
}

// Guards against a read timeout that expires between two reads of one request and cancels neither: the request stays open for good.
TEST_CASE("an incomplete request is refused at the read timeout at whatever step it expires", "[http]")
{
    const int steps = GENERATE(range(0, 20));
    CAPTURE(steps);
    http::ServerLimits limits;
    limits.readTimeout = 10ms;
    DrivenServer driven(answer, limits);
    auto socket = driven.connect();
    send(socket, getRequest.substr(0, 16) + "X-Long: " + std::string(6000, 'x')); // More than the first read takes.
    for (int step = 0; step < steps; ++step) {
        driven.context.poll_one();
        driven.context.restart();
    }
    std::this_thread::sleep_for(2 * limits.readTimeout);
    Seen seen;
    driven.receive(socket, seen);
    CHECK(seen.bytes.find("HTTP/1.1 408") == 0);
    CHECK(driven.server.counts().refused == 1);
}
