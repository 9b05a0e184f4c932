#include <catch2/catch.hpp>

#include <harness/brokenoffserver.h>

#include <cyclamenspool/platform/storeconnection.h>
#include <cyclamenspool/platform/storepage.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <cstddef>
#include <exception>
#include <optional>
#include <string>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using harness::BreakOff;
using harness::BrokenOffServer;

namespace {

constexpr unsigned successStatus = 200;

/** @brief A connection to a store that breaks off its responses. */
class BrokenOffStore
{
public:
    /** @brief Sends a request and waits for the end of its response. @return Body; empty if the call fails. */
    std::optional<std::string> get()
    {
        std::optional<std::string> body;
        bool isEnded = false;
        boost::asio::co_spawn(context, connection.get("/-/kv-range", {500ms}), [&](const std::exception_ptr &failure, const platform::StoreResponse &received) {
            isEnded = true;
            // As content(), which throws for any other status.
            if (!failure && received.status == successStatus) {
                body = received.content();
            }
        });
        const auto limit = std::chrono::steady_clock::now() + 2s;
        while (!isEnded && std::chrono::steady_clock::now() < limit) {
            context.run_one_for(100ms);
        }
        REQUIRE(isEnded);
        return body;
    }

    boost::asio::io_context context{1};
    BrokenOffServer server{context};
    platform::StoreConnection connection{context, server.address()};
};

const std::string earlier = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

} // namespace

// Guards against a list or change of the store that ends early and is applied as complete.
TEST_CASE("a store's response that is cut after any byte is returned only where its framing says that it is complete", "[platform][answerends]")
{
    const auto end = GENERATE(BreakOff::Fin, BreakOff::Reset);
    const auto earlierResponse = GENERATE(as<std::string>(), "", earlier);
    for (const auto &response : harness::wireResponses()) {
        for (std::size_t cut = 0; cut <= response.bytes().size(); ++cut) {
            BrokenOffStore store;
            store.server.serve({earlierResponse, response.bytes().substr(0, cut), end});
            REQUIRE((earlierResponse.empty() || store.get() == "{}"));
            const auto body = store.get();
            INFO(response.name << ", bytes " << cut << " of " << response.bytes().size());
            const bool isUsable = response.status == 200 && response.name.find("interim") == std::string::npos;
            CHECK(body.has_value() == (isUsable && response.isComplete(cut, end)));
            CHECK((!body || *body == (response.isUnframed ? response.content.substr(0, cut - response.head.size()) : response.content)));
        }
    }
}

// Guards against a response without a length that ends early: its framing does not tell, so its text must.
TEST_CASE("no beginning of a store's page is read as a page", "[platform][answerends]")
{
    constexpr std::uint64_t era = 1;
    const std::string list = R"({"items":[{"key":"op/config","value":"e30=","revision":7}],"more_pages":false,"store_revision":9})";
    const std::string watch = R"({"events":[{"key":"op/config","value":"e30=","revision":7},{"key":"b","revision":8,"deleted":true}],"store_revision":9})";
    CHECK(platform::readListPage(list, era, nullptr).items.size() == 1);
    CHECK(platform::readWatchPage(watch, era, nullptr).items.size() == 2);
    for (std::size_t cut = 0; cut < list.size(); ++cut) {
        CHECK_THROWS(platform::readListPage(list.substr(0, cut), era, nullptr));
    }
    for (std::size_t cut = 0; cut < watch.size(); ++cut) {
        CHECK_THROWS(platform::readWatchPage(watch.substr(0, cut), era, nullptr));
    }
}

// Guards against a second response on a kept connection that is taken for the response to the next call.
TEST_CASE("bytes after a store's response are never taken for the response to the next call", "[platform][answerends]")
{
    const auto second = GENERATE(as<std::string>(), "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale", "HTTP/1.1 200 OK\r\nContent-Le", "x");
    BrokenOffStore store;
    store.server.serve({earlier + second, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown", BreakOff::Fin});
    REQUIRE(store.get() == "{}");
    // The second connection, if one is opened, gets its own response.
    store.server.serve({"", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown", BreakOff::Fin});
    CHECK(store.get().value_or("the call failed") == "own");
}

// Guards against a head that the parser accepts, although it is none, and a page behind it that is applied.
TEST_CASE("a store's response with an invalid status, a folded line or an invalid name fails", "[platform][answerends]")
{
    const auto earlierResponse = GENERATE(as<std::string>(), "", earlier);
    for (const auto &response : harness::invalidResponses()) {
        BrokenOffStore store;
        store.server.serve({earlierResponse, response, BreakOff::Fin});
        REQUIRE((earlierResponse.empty() || store.get() == "{}"));
        INFO(response);
        CHECK_FALSE(store.get().has_value());
    }
}

namespace {

/** @brief Store that sends a response in pieces at a fixed pace, and then nothing more. */
struct PacedResponse {
    std::size_t length = 0; /* as the head says */
    std::size_t pieceBytes = 0;
    int pieces = 0;
    std::chrono::milliseconds gap{0};
};

/** @brief Reads a paced response. @return Size of the body; empty if the call fails. */
std::optional<std::size_t> readPaced(const PacedResponse &response, const platform::StoreCallLimits &limits)
{
    boost::asio::io_context context{1};
    boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
    const auto serve = [&]() -> boost::asio::awaitable<void> {
        auto socket = co_await acceptor.async_accept(boost::asio::use_awaitable);
        boost::asio::steady_timer timer(context);
        const auto head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(response.length) + "\r\n\r\n";
        co_await boost::asio::async_write(socket, boost::asio::buffer(head), boost::asio::use_awaitable);
        const std::string piece(response.pieceBytes, 'x');
        for (int i = 0; i < response.pieces; ++i) {
            co_await boost::asio::async_write(socket, boost::asio::buffer(piece), boost::asio::use_awaitable);
            timer.expires_after(response.gap);
            co_await timer.async_wait(boost::asio::use_awaitable);
        }
        timer.expires_after(10s);
        co_await timer.async_wait(boost::asio::use_awaitable);
    };
    boost::asio::co_spawn(context, serve(), boost::asio::detached);
    platform::StoreConnection connection(context, "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
    std::optional<std::size_t> size;
    bool isEnded = false;
    boost::asio::co_spawn(context, connection.get("/", limits), [&](const std::exception_ptr &failure, const platform::StoreResponse &received) {
        isEnded = true;
        size = failure ? std::nullopt : std::optional(received.body.size());
        context.stop();
    });
    context.run_for(3s);
    CHECK(isEnded);
    connection.close();
    return size;
}

} // namespace

// Guards against a large response that a slow link never carries within the time of a call, so that it is begun again and again.
TEST_CASE("slow link: a store's response may take longer than the timeout while it arrives, and fails when it stalls or trickles", "[platform][slowlink]")
{
    constexpr platform::StoreCallLimits limits{200ms, 1'000'000};
    constexpr std::size_t pieceBytes = 40'000;
    CHECK(readPaced({10 * pieceBytes, pieceBytes, 10, 100ms}, limits) == 10 * pieceBytes);
    CHECK_FALSE(readPaced({10 * pieceBytes, pieceBytes, 3, 100ms}, limits).has_value());
    CHECK_FALSE(readPaced({1000, 1, 1000, 20ms}, limits).has_value());
    CHECK_FALSE(readPaced({2'000'000, pieceBytes, 50, 1ms}, limits).has_value());
}
