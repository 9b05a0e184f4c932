#include <catch2/catch.hpp>

#include <harness/brokenoffserver.h>
#include <harness/platformfakes.h>

#include <cyclamenspool/http/client.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <exception>
#include <optional>
#include <string>
#include <thread>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using harness::BreakOff;
using harness::BrokenOffServer;

namespace {

/** @brief Result of a fetch. */
struct Fetched {
    std::optional<http::ClientResponse> response; /* empty: it failed */
    bool mayHaveBeenSent = false;
    std::string error;
};

/** @brief Fetches a response for at most 3 s. */
Fetched fetchFrom(boost::asio::io_context &context, const http::ClientRequest &request)
{
    Fetched fetched;
    bool isEnded = false;
    boost::asio::co_spawn(context, http::fetch(request), [&](const std::exception_ptr &failure, http::ClientResponse response) {
        isEnded = true;
        if (!failure) {
            fetched.response = std::move(response);
            return;
        }
        try {
            std::rethrow_exception(failure);
        } catch (const http::ClientError &error) {
            fetched.mayHaveBeenSent = error.mayHaveBeenSent();
            fetched.error = error.what();
        }
    });
    context.run_for(3s);
    REQUIRE(isEnded);
    return fetched;
}

/** @brief Fetches a response that its server breaks off. */
Fetched fetchBrokenOff(const harness::BrokenOffConnection &connection)
{
    boost::asio::io_context context(1);
    BrokenOffServer server(context);
    server.serve(connection);
    http::ClientRequest request;
    request.address = server.address();
    request.timeout = 2s;
    return fetchFrom(context, request);
}

} // namespace

// Guards against a model engine's or configuration service's response that ends early and is returned as complete.
TEST_CASE("a fetched response that is cut after any byte is returned only if its framing says that it is complete", "[http][answerends]")
{
    const auto end = GENERATE(BreakOff::Fin, BreakOff::Reset);
    const bool isBytewise = GENERATE(false, true);
    for (const auto &response : harness::wireResponses()) {
        // The client takes no response whose body ends with the connection.
        const bool isReadable = !response.isUnframed;
        for (std::size_t cut = 0; cut <= response.bytes().size(); ++cut) {
            const auto fetched = fetchBrokenOff({"", response.bytes().substr(0, cut), end, isBytewise});
            INFO(response.name << ", bytes " << cut << " of " << response.bytes().size() << ", error " << fetched.error);
            CHECK(fetched.response.has_value() == (isReadable && response.isComplete(cut, end)));
            CHECK((!fetched.response || fetched.response->head.status == static_cast<int>(response.status)));
            CHECK((!fetched.response || fetched.response->body == response.content));
            CHECK((fetched.response || fetched.mayHaveBeenSent));
        }
    }
}

// Guards against a model engine whose response never ends, whose bytes are all kept, and on which the process waits for good.
TEST_CASE("a fetched response without end fails: in its head, in its body, and at any rate", "[http]")
{
    const auto [head, filler, pause] = GENERATE(table<std::string, std::string, std::chrono::milliseconds>({
        {"HTTP/1.1 200 OK\r\nX-Filler: ", std::string(16384, 'x'), 0ms},
        {"HTTP/1.1 200 OK\r\n", "X-Filler: x\r\n", 0ms},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4000\r\n" + std::string(16384, 'x') + "\r\n", 0ms},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: x\r\n", 0ms},
        {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", std::string(16384, 'x'), 0ms},
        {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "x", 50ms},
    }));
    CAPTURE(head, pause.count());
    std::atomic<std::size_t> written{0};
    harness::ThreadedServer server([&, head = head, filler = filler, pause = pause](const harness::PlainRequest &, harness::PlainSocket &socket) {
        const auto end = std::chrono::steady_clock::now() + 4s;
        bool isOpen = harness::writeAll(socket, head);
        while (isOpen && std::chrono::steady_clock::now() < end) {
            isOpen = harness::writeAll(socket, filler);
            written += filler.size();
            std::this_thread::sleep_for(pause);
        }
        return false;
    });
    boost::asio::io_context context(1);
    http::ClientRequest request;
    request.address = server.address();
    request.timeout = 1s;
    const auto fetched = fetchFrom(context, request);
    CHECK_FALSE(fetched.response);
    CHECK(written < 2 * request.maxBodyBytes);
}

// Guards against a head that the parser accepts, although it is none, from an engine, a service or another process.
TEST_CASE("a fetched response with an invalid status, a folded line or an invalid name fails", "[http][answerends]")
{
    for (const auto &response : harness::invalidResponses()) {
        const auto fetched = fetchBrokenOff({"", response, BreakOff::Fin});
        INFO(response);
        CHECK_FALSE(fetched.response.has_value());
        CHECK(fetched.mayHaveBeenSent);
    }
}
