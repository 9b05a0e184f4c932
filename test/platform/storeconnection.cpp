#include <catch2/catch.hpp>

#include <harness/brokenoffserver.h>

#include <cyclamenspool/platform/storeconnection.h>
#include <cyclamenspool/platform/storepage.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <exception>
#include <optional>

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
        boost::asio::co_spawn(context, connection.get("/-/kv-range", 500ms), [&](const std::exception_ptr &failure, const platform::StoreResponse &received) {
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
