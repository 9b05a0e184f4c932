#include <catch2/catch.hpp>

#include <harness/brokenoffserver.h>
#include <harness/earlyanswer.h>

#include <cyclamenspool/gateway/backendcall.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <thread>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using gateway::BackendCall;
using gateway::BackendConnectionPool;
using gateway::BackendRequest;
using harness::BreakOff;
using harness::BrokenOffServer;
using harness::WireResponse;

namespace {

/** @brief Records what a call reports. */
class RecordingHandler : public gateway::BackendCallHandler
{
public:
    bool isStillWanted() override
    {
        return true;
    }

    void onConnectFailed(const std::string &reason) override
    {
        ++endCount;
        error = reason;
    }

    void onResponseHeaders(unsigned received, const platform::Fields & /*fields*/, const platform::ResponseHead & /*head*/) override
    {
        ++headCount;
        status = received;
    }

    bool onResponseBody(std::string bytes) override
    {
        body += bytes;
        return true;
    }

    void onResponseComplete() override
    {
        ++endCount;
        isComplete = true;
    }

    void onResponseError(const std::string &reason) override
    {
        ++endCount;
        error = reason;
    }

    int headCount = 0;
    int endCount = 0;
    unsigned status = 0;
    std::string body;
    bool isComplete = false;
    std::string error;
};

/** @brief A worker's connections, and a server that breaks off the response to the request "r1". */
class BrokenOffCall
{
public:
    /** @brief Sends a request and waits for its end. */
    RecordingHandler call(const std::string &requestId, bool isHeadRequest = false)
    {
        RecordingHandler handler;
        BackendRequest request;
        request.serverId = "i-1";
        request.address = server.address();
        request.requestId = requestId;
        request.bytes = std::string(isHeadRequest ? "HEAD" : "GET") + " / HTTP/1.1\r\nHost: desk.example\r\n\r\n";
        request.isHeadRequest = isHeadRequest;
        request.maxIdleTime = 10s;
        const auto call = std::make_shared<BackendCall>(pool, request, handler);
        call->start();
        runUntil([&handler] {
            return handler.endCount > 0;
        });
        call->cancel();
        return handler;
    }

    /** @brief Serves one connection and sends the request "r1" on it, after an earlier request if there is a response to one. */
    RecordingHandler callBrokenOff(const harness::BrokenOffConnection &connection, bool isHeadRequest = false)
    {
        server.serve(connection);
        if (!connection.earlierResponse.empty()) {
            REQUIRE(call("r0").isComplete);
        }
        auto result = call("r1", isHeadRequest);
        runUntil([this] {
            return server.isClosed();
        });
        REQUIRE(server.isClosed());
        return result;
    }

    boost::asio::io_context context{1};
    BackendConnectionPool pool{context};
    BrokenOffServer server{context};

private:
    template<class Condition>
    void runUntil(const Condition &condition)
    {
        const auto limit = std::chrono::steady_clock::now() + 2s;
        while (!condition() && std::chrono::steady_clock::now() < limit) {
            context.run_one_for(100ms);
        }
    }
};

const std::string earlier = "HTTP/1.1 200 OK\r\nCyclamenspool-Response-Seal: s\r\nCyclamenspool-Request-Id: r0\r\nContent-Length: 2\r\n\r\nok";

/** @brief Checks a call whose response was cut. @param cut Bytes that were sent. */
void checkCut(const RecordingHandler &seen, const WireResponse &response, std::size_t cut, BreakOff end)
{
    INFO(response.name << ", bytes " << cut << " of " << response.bytes().size() << ", reset " << (end == BreakOff::Reset) << ", error " << seen.error);
    const bool isHeadSent = cut >= response.head.size();
    CHECK(seen.isComplete == response.isComplete(cut, end));
    CHECK(seen.endCount == 1);
    CHECK(seen.headCount == (isHeadSent ? 1 : 0));
    CHECK(seen.status == (isHeadSent ? response.status : 0));
    CHECK((!seen.isComplete || response.isUnframed || seen.body == response.content));
    CHECK((!seen.isComplete || !response.isUnframed || seen.body.size() == cut - response.head.size()));
    CHECK(response.content.compare(0, seen.body.size(), seen.body) == 0);
}

} // namespace

// Guards against a response that ends inside its head or body and is taken for a complete one.
TEST_CASE("a backend server's response that is cut after any byte is complete only where its framing says so", "[gateway][answerends]")
{
    BrokenOffCall broken;
    const auto end = GENERATE(BreakOff::Fin, BreakOff::Reset);
    const auto earlierResponse = GENERATE(as<std::string>(), "", earlier);
    for (const auto &response : harness::wireResponses()) {
        for (std::size_t cut = 0; cut <= response.bytes().size(); ++cut) {
            const auto seen = broken.callBrokenOff({earlierResponse, response.bytes().substr(0, cut), end});
            checkCut(seen, response, cut, end);
            CHECK(broken.server.requestCount() == (earlierResponse.empty() ? 1 : 2));
        }
    }
}

// Guards against a parser that loses its place when the bytes of a response arrive one by one.
TEST_CASE("a response whose bytes arrive one by one and end early is complete only where its framing says so", "[gateway][answerends]")
{
    BrokenOffCall broken;
    for (const auto &response : harness::wireResponses()) {
        for (std::size_t cut = 0; cut <= response.bytes().size(); ++cut) {
            checkCut(broken.callBrokenOff({"", response.bytes().substr(0, cut), BreakOff::Fin, true}), response, cut, BreakOff::Fin);
        }
    }
}

// Guards against a response to HEAD, whose length is that of no body, that is taken for complete before its blank line.
TEST_CASE("a response to HEAD is complete exactly when its blank line was received", "[gateway][answerends]")
{
    BrokenOffCall broken;
    const auto end = GENERATE(BreakOff::Fin, BreakOff::Reset);
    for (const auto &response : harness::wireResponses()) {
        for (std::size_t cut = 0; cut <= response.head.size(); ++cut) {
            INFO(response.name << ", bytes " << cut);
            const auto seen = broken.callBrokenOff({"", response.head.substr(0, cut), end}, true);
            CHECK(seen.isComplete == (cut == response.head.size()));
            CHECK(seen.body.empty());
        }
    }
}

// Guards against the rest of another request's response, or the connection's end after it, that is taken for the request's own.
TEST_CASE("a connection that ends after another request's response ends the call as failed", "[gateway][answerends]")
{
    BrokenOffCall broken;
    const auto end = GENERATE(BreakOff::Fin, BreakOff::Reset);
    const bool isUnframed = GENERATE(false, true);
    const std::string foreign = "HTTP/1.1 200 OK\r\nCyclamenspool-Response-Seal: s\r\nCyclamenspool-Request-Id: r0\r\n"
        + std::string(isUnframed ? "\r\n" : "Content-Length: 5\r\n\r\n") + "stale";
    for (std::size_t cut = 0; cut <= foreign.size(); ++cut) {
        INFO("bytes " << cut);
        const auto seen = broken.callBrokenOff({earlier, foreign.substr(0, cut), end});
        CHECK_FALSE(seen.isComplete);
        CHECK(seen.headCount == 0);
        CHECK(seen.body.empty());
    }
}

// Guards against a response with an unknown end of its body that is taken for one that ends with the connection.
TEST_CASE("a response with any transfer coding but chunked fails", "[gateway][answerends]")
{
    BrokenOffCall broken;
    const auto coding = GENERATE(as<std::string>(), "gzip", "chunked, gzip", "gzip, chunked", "chunked;q=1", "identity");
    INFO(coding);
    const std::string head = "HTTP/1.1 200 OK\r\nCyclamenspool-Response-Seal: s\r\nCyclamenspool-Request-Id: r1\r\nTransfer-Encoding: " + coding + "\r\n\r\n";
    const std::string body = "5\r\nwhole\r\n0\r\n\r\n";
    for (std::size_t cut = 0; cut <= body.size(); ++cut) {
        const auto seen = broken.callBrokenOff({"", head + body.substr(0, cut), BreakOff::Fin});
        CHECK_FALSE(seen.isComplete);
        CHECK(seen.headCount == 0);
    }
}

// Guards against a response that is read together with the beginning of another one which broke off before it on the connection.
TEST_CASE("a response behind a part of another one's head is none", "[gateway][answerends]")
{
    BrokenOffCall broken;
    const auto earlierResponse = GENERATE(as<std::string>(), "", earlier);
    const auto status = GENERATE(as<std::string>(), "200 OK", "204 No Content", "500 Internal Server Error", "421 Misdirected Request", "103 Early Hints");
    const auto ownStatus = GENERATE(as<std::string>(), "200 OK", "500 Internal Server Error");
    const std::string stray = "HTTP/1.1 " + status
        + "\r\nDate: Sat, 05 Dec 2026 12:00:00 GMT\r\nCyclamenspool-Request-Id: r0\r\nCyclamenspool-Response-Seal: s0\r\nContent-Length: 2\r\n\r\n";
    const std::string own = "HTTP/1.1 " + ownStatus + "\r\nCyclamenspool-Request-Id: r1\r\nCyclamenspool-Response-Seal: s1\r\nContent-Length: 4\r\n\r\nbody";
    for (std::size_t cut = 1; cut < stray.size(); ++cut) {
        INFO("bytes " << cut << " of " << stray << own);
        const auto seen = broken.callBrokenOff({earlierResponse, stray.substr(0, cut) + own, BreakOff::Fin});
        CHECK(seen.endCount == 1);
        CHECK(seen.headCount == 0);
        CHECK_FALSE(seen.isComplete);
    }
}

// Guards against a response that is taken for the request's own, or for a complete one, by the first of two statements that differ.
TEST_CASE("a response whose head contradicts itself is none", "[gateway][answerends]")
{
    BrokenOffCall broken;
    const auto extra = GENERATE(as<std::string>(),
                                "Content-Length: 3\r\n",
                                "Transfer-Encoding: chunked\r\n",
                                "Cyclamenspool-Request-Id: r2\r\n",
                                "Cyclamenspool-Response-Seal: s2\r\n",
                                "X-Note: HTTP/1.1 200 OK\r\n",
                                "X-Note: xHTTP/1.0 500\r\n");
    const bool isFirst = GENERATE(false, true);
    INFO(extra << ", first " << isFirst);
    const std::string fields = "Cyclamenspool-Request-Id: r1\r\nCyclamenspool-Response-Seal: s1\r\nContent-Length: 4\r\n";
    const auto seen = broken.callBrokenOff({"", "HTTP/1.1 200 OK\r\n" + (isFirst ? extra + fields : fields + extra) + "\r\nbody", BreakOff::Fin});
    CHECK(seen.endCount == 1);
    CHECK(seen.headCount == 0);
    CHECK_FALSE(seen.isComplete);
}

TEST_CASE("a response whose head says the same twice, or names HTTP, is the server's own", "[gateway][answerends]")
{
    BrokenOffCall broken;
    const auto extra = GENERATE(as<std::string>(),
                                "Cyclamenspool-Request-Id: r1\r\n",
                                "Cyclamenspool-Response-Seal: s1\r\n",
                                "Via: HTTP/1.1 proxy\r\n",
                                "X-Link: /HTTP/1.1\r\n",
                                "Set-Cookie: a=1\r\nSet-Cookie: a=2\r\n");
    INFO(extra);
    const auto seen = broken.callBrokenOff(
        {earlier,
         "HTTP/1.1 200 HTTP is fine\r\nCyclamenspool-Request-Id: r1\r\nCyclamenspool-Response-Seal: s1\r\nContent-Length: 4\r\n" + extra + "\r\nbody",
         BreakOff::Fin});
    CHECK(seen.isComplete);
    CHECK(seen.body == "body");
}

// Guards against a request that is cut on a connection that was established in time, as the event loop was late.
TEST_CASE("a request is sent and answered although a late event loop finds the time limit of its connect expired", "[gateway][late]")
{
    boost::asio::io_context context{1};
    BackendConnectionPool pool(context);
    boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
    BackendRequest request;
    request.serverId = "i-1";
    request.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    request.requestId = "r1";
    request.bytes = "GET / HTTP/1.1\r\n\r\n";
    RecordingHandler handler;
    const auto call = std::make_shared<BackendCall>(pool, std::move(request), handler);
    call->start();
    auto socket = acceptor.accept();
    std::this_thread::sleep_for(300ms); /* longer than the time limit of a connect */
    context.run_for(20ms);
    boost::system::error_code error;
    std::string received(64, '\0');
    received.resize(socket.read_some(boost::asio::buffer(received), error));
    CHECK(received == "GET / HTTP/1.1\r\n\r\n");
    boost::asio::write(socket, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nCyclamenspool-Request-Id: r1\r\nContent-Length: 2\r\n\r\nok")), error);
    context.run_for(20ms);
    CHECK(handler.body == "ok");
    CHECK(handler.isComplete);
}

namespace {

/** @brief Backend server with a small receive buffer, which sends a stream before it reads the body of the request; on a thread of its own. */
class EarlyServer
{
public:
    using Script = std::function<void(boost::asio::ip::tcp::socket &)>;

    /** @brief Listens, and plays a script with the first connection. */
    explicit EarlyServer(Script script)
    {
        acceptor_.open(boost::asio::ip::tcp::v4());
        acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(8192));
        acceptor_.bind({boost::asio::ip::address_v4::loopback(), 0});
        acceptor_.listen();
        thread_ = std::thread([this, script = std::move(script)] {
            auto socket = acceptor_.accept();
            script(socket);
        });
    }
    ~EarlyServer()
    {
        thread_.join();
    }
    EarlyServer(const EarlyServer &) = delete;
    EarlyServer &operator=(const EarlyServer &) = delete;

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    /** @brief Sends the head of a chunked response to the request "r1". */
    static void sendHead(boost::asio::ip::tcp::socket &socket)
    {
        send(socket, "HTTP/1.1 200 OK\r\nCyclamenspool-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    static void send(boost::asio::ip::tcp::socket &socket, const std::string &bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
    }

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_{context_};
    std::thread thread_;
};

BackendRequest longRequest(const std::string &address)
{
    constexpr std::size_t bodyBytes = 72000;
    BackendRequest request;
    request.serverId = "i-1";
    request.address = address;
    request.requestId = "r1";
    request.bytes = "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'b');
    return request;
}

constexpr auto noticeTime = 2500ms; /* after which a server that is gone is noticed */

} // namespace

// Guards against a sound server whose response is cut as it does not take the request's body meanwhile.
TEST_CASE("a backend server that sends for long before it reads the request is heard to the end", "[gateway][early]")
{
    constexpr int pieces = 18;
    std::size_t readBytes = 0;
    EarlyServer server([&readBytes](boost::asio::ip::tcp::socket &socket) {
        EarlyServer::sendHead(socket);
        for (int i = 0; i < pieces; ++i) {
            std::this_thread::sleep_for(200ms);
            EarlyServer::send(socket, "1\r\nx\r\n");
        }
        std::string received(100000, '\0');
        boost::system::error_code error;
        while (!error && readBytes < 72000) {
            readBytes += socket.read_some(boost::asio::buffer(received), error);
        }
        EarlyServer::send(socket, "0\r\n\r\n");
    });
    boost::asio::io_context context{1};
    BackendConnectionPool pool(context);
    RecordingHandler handler;
    const auto request = longRequest(server.address());
    const auto call = std::make_shared<BackendCall>(pool, request, handler);
    call->start();
    const auto limit = std::chrono::steady_clock::now() + 6s;
    while (handler.endCount == 0 && std::chrono::steady_clock::now() < limit) {
        context.run_one_for(100ms);
    }
    call->cancel();
    CHECK(handler.error.empty());
    CHECK(handler.isComplete);
    CHECK(handler.body == std::string(pieces, 'x'));
    CHECK(readBytes >= 72000);
}

// Guards against a server that is noticed late, or never, since its window is closed.
TEST_CASE("a backend server that neither sends nor reads is noticed, also in the middle of its response", "[gateway][early]")
{
    const int pieces = GENERATE(0, 6);
    INFO("pieces " << pieces);
    std::atomic<bool> isNoticed{false};
    EarlyServer server([&isNoticed, pieces](boost::asio::ip::tcp::socket &socket) {
        if (pieces > 0) {
            EarlyServer::sendHead(socket);
        }
        for (int i = 0; i < pieces; ++i) {
            std::this_thread::sleep_for(200ms);
            EarlyServer::send(socket, "1\r\nx\r\n");
        }
        const auto limit = std::chrono::steady_clock::now() + 8s;
        while (!isNoticed && std::chrono::steady_clock::now() < limit) {
            std::this_thread::sleep_for(10ms);
        }
    });
    boost::asio::io_context context{1};
    BackendConnectionPool pool(context);
    RecordingHandler handler;
    const auto call = std::make_shared<BackendCall>(pool, longRequest(server.address()), handler);
    call->start();
    auto lastProgressAt = std::chrono::steady_clock::now();
    std::size_t seenBytes = 0;
    while (handler.endCount == 0 && std::chrono::steady_clock::now() < lastProgressAt + 6s) {
        context.run_one_for(100ms);
        lastProgressAt = handler.body.size() > seenBytes ? std::chrono::steady_clock::now() : lastProgressAt;
        seenBytes = handler.body.size();
    }
    const auto took = std::chrono::steady_clock::now() - lastProgressAt;
    isNoticed = true;
    call->cancel();
    CHECK(handler.endCount == 1);
    CHECK_FALSE(handler.isComplete);
    CHECK(handler.body == std::string(static_cast<std::size_t>(pieces), 'x'));
    CHECK(took < noticeTime + 700ms);
}

// Guards against a head that the parser accepts and that is passed on, or whose body is another one than the server's.
TEST_CASE("a response with an invalid status, a folded line or an invalid name fails, whatever comes before and after it", "[gateway][answerends]")
{
    BrokenOffCall broken;
    const auto earlierResponse = GENERATE(as<std::string>(), "", earlier);
    const auto interim = GENERATE(as<std::string>(), "", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n");
    const std::string own = "HTTP/1.1 200 OK\r\nCyclamenspool-Request-Id: r1\r\nCyclamenspool-Response-Seal: s1\r\nContent-Length: 4\r\n\r\nbody";
    for (const auto &response : harness::invalidResponses()) {
        const auto seen = broken.callBrokenOff({earlierResponse, interim + response + own, BreakOff::Fin});
        INFO(response);
        CHECK(seen.endCount == 1);
        CHECK(seen.headCount == 0);
        CHECK_FALSE(seen.isComplete);
    }
}

// Guards against a reset that the failed write of the request was told of, so that the read takes the end of a part for the end of the body.
TEST_CASE("an early response without a length whose connection is reset during the upload is incomplete", "[gateway][answerends]")
{
    const auto resetAfter = GENERATE(0ms, 20ms, 150ms);
    const auto status = GENERATE(as<std::string>(), "200 OK", "500 Internal Server Error");
    const bool hasLength = GENERATE(false, true);
    harness::EarlyAnswerServer server({status, hasLength ? "Content-Length: 4\r\n" : "", "part", resetAfter});
    boost::asio::io_context context{1};
    BackendConnectionPool pool{context};
    RecordingHandler handler;
    BackendRequest request;
    request.serverId = "i-1";
    request.address = server.address();
    request.requestId = "r1";
    constexpr std::size_t bodyBytes = 16UL * 1024 * 1024;
    request.bytes = "POST / HTTP/1.1\r\nHost: desk.example\r\nCyclamenspool-Request-Id: r1\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
    request.bytes.append(bodyBytes, 'x');
    const auto call = std::make_shared<BackendCall>(pool, request, handler);
    call->start();
    const auto limit = std::chrono::steady_clock::now() + 2s;
    while (handler.endCount == 0 && std::chrono::steady_clock::now() < limit) {
        context.run_one_for(100ms);
    }
    call->cancel();
    INFO("reset after " << resetAfter.count() << " ms, error " << handler.error);
    CHECK(handler.endCount == 1);
    // A reset may also overtake the response.
    CHECK(handler.isComplete == (hasLength && handler.headCount == 1));
    CHECK((resetAfter == 0ms || handler.headCount == 1));
}
