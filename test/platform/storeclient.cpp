#include <catch2/catch.hpp>

#include <cyclamenspool/platform/storeclient.h>
#include <cyclamenspool/platform/storepoller.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using member::StorePosition;
namespace asio = boost::asio;
namespace bhttp = boost::beast::http;

namespace {

/** @brief Response of the scripted store. */
struct Reply {
    std::string era; /* empty: no header */
    std::string body;
    unsigned status = 200;
};

Reply listOf(const std::string &era, int revision, const std::string &key, bool hasMore = false)
{
    return {era,
            R"({"store_revision":)" + std::to_string(revision) + R"(,"more_pages":)" + (hasMore ? "true" : "false") + R"(,"items":[{"key":")" + key
                + R"(","value":"YQ==","revision":3}]})"};
}

Reply changeOf(const std::string &era, int revision, const std::string &key)
{
    return {era,
            R"({"store_revision":)" + std::to_string(revision) + R"(,"events":[{"key":")" + key + R"(","value":"YQ==","revision":)" + std::to_string(revision)
                + "}]}"};
}

/** @brief Store that gives prepared responses in their order to calls on any connection, and none once they are used up. */
class ScriptedStore
{
public:
    ScriptedStore(asio::io_context &context, std::deque<Reply> replies)
        : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0})
        , replies_(std::move(replies))
    {
        asio::co_spawn(context, listen(), asio::detached);
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    /** @brief Returns the paths of the calls with their first letters only: "r" for a list, "w" and the revision for a watch. */
    [[nodiscard]] const std::vector<std::string> &calls() const
    {
        return calls_;
    }

private:
    asio::awaitable<void> listen()
    {
        while (true) {
            auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
            asio::co_spawn(acceptor_.get_executor(), serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket socket)
    {
        boost::beast::flat_buffer buffer;
        while (true) {
            bhttp::request<bhttp::empty_body> request;
            co_await bhttp::async_read(socket, buffer, request, asio::use_awaitable);
            const std::string target(request.target());
            const auto after = target.find("&after=");
            calls_.push_back(target.find("kv-range") != std::string::npos ? std::string("r")
                                                                          : "w" + target.substr(after + 7, target.find('&', after + 1) - after - 7));
            if (replies_.empty()) {
                continue;
            }
            const auto reply = replies_.front();
            replies_.pop_front();
            bhttp::response<bhttp::string_body> response(bhttp::status(reply.status), 11);
            if (!reply.era.empty()) {
                response.set("Store-Era", reply.era);
            }
            response.body() = reply.body;
            response.prepare_payload();
            co_await bhttp::async_write(socket, response, asio::use_awaitable);
        }
    }

    asio::ip::tcp::acceptor acceptor_;
    std::deque<Reply> replies_;
    std::vector<std::string> calls_;
};

constexpr std::uint64_t maxBytes = 10000;

/** @brief A gateway's copy of one section that a store client keeps up to date. */
struct Copy {
    Copy(std::deque<Reply> replies, StorePosition start)
        : store(context, std::move(replies))
        , position(start)
        , era(start.era)
    {
        platform::StoreCallbacks callbacks;
        callbacks.onList = [this](const member::StoreSnapshot &list) {
            position = list.position;
            lists.push_back(list);
        };
        callbacks.onChanges = [this](const platform::StoreChanges &read) {
            position = read.position;
            changes.insert(changes.end(), read.items.begin(), read.items.end());
        };
        callbacks.onEra = [this](std::uint64_t reported) {
            return onEra(reported);
        };
        callbacks.onRead = [](const char *, const platform::StoreResponse &) {};
        callbacks.onWatchGivenUp = [] {};
        callbacks.onFailure = [this](const std::string &reason) {
            failures.push_back(reason);
        };
        callbacks.onMalformed = [](const std::string &, const std::string &) {};
        callbacks.position = [this] {
            return position.era < era ? StorePosition(era, 0) : position;
        };
        callbacks.listDelay = [this] {
            return listDelay;
        };
        callbacks.pauseLeft = [] {
            return 0ms;
        };
        callbacks.watchTime = [] {
            return 100ms;
        };
        callbacks.maxWatchBytes = [] {
            return maxBytes;
        };
        client = std::make_unique<platform::StoreClient>(context, store.address(), "op/", std::move(callbacks));
    }

    bool onEra(std::uint64_t reported)
    {
        era = std::max(era, reported);
        return reported == era;
    }

    void run(std::chrono::milliseconds time = 150ms)
    {
        client->start();
        context.run_for(time);
    }

    asio::io_context context;
    ScriptedStore store;
    StorePosition position;
    std::uint64_t era;
    std::chrono::milliseconds listDelay{0};
    std::vector<member::StoreSnapshot> lists;
    std::vector<member::StoreItem> changes;
    std::vector<std::string> failures;
    std::unique_ptr<platform::StoreClient> client;
};

} // namespace

// Guards against changes that are missing for good: the restored store has passed the copy's revision again and answers the watch without 410.
TEST_CASE("restored store: the answer to a watch from the era before is not used, the section is listed and watched from there", "[platform][era]")
{
    const auto status = GENERATE(200U, 410U);
    auto first = changeOf("2", 12, "op/late");
    first.status = status;
    Copy copy({first, listOf("2", 13, "op/config"), changeOf("2", 14, "op/config")}, {1, 10});
    copy.run();
    REQUIRE(copy.lists.size() == 1);
    CHECK(copy.lists.front().position == StorePosition(2, 13));
    CHECK(copy.lists.front().items.front().position == StorePosition(2, 3));
    REQUIRE(copy.changes.size() == 1);
    CHECK(copy.changes.front().position == StorePosition(2, 14));
    CHECK(copy.failures.empty());
    CHECK(copy.store.calls() == std::vector<std::string>{"w10", "r", "w13", "w14"});
}

// Guards against a store that begins with a later era than 1, or rises by more than one while a gateway is suspended.
TEST_CASE("restored store: an era that has risen by any amount is a new history", "[platform][era]")
{
    Copy copy({changeOf("9", 12, "op/late"), listOf("9", 12, "op/config")}, {1, 10});
    copy.run();
    REQUIRE(copy.lists.size() == 1);
    CHECK(copy.position == StorePosition(9, 12));
}

// Guards against a copy whose pages are of two histories.
TEST_CASE("restored store: a list whose pages are of two eras is started anew", "[platform][era]")
{
    Copy copy({listOf("1", 10, "op/a", true), listOf("2", 8, "op/b"), listOf("2", 8, "op/a", true), listOf("2", 9, "op/c")}, {});
    copy.run();
    REQUIRE(copy.lists.size() == 1);
    CHECK(copy.lists.front().position == StorePosition(2, 8));
    REQUIRE(copy.lists.front().items.size() == 2);
    CHECK(copy.lists.front().items[0].key == "op/a");
    CHECK(copy.lists.front().items[1].key == "op/c");
}

// Guards against the answer of a dead history that arrives once the new era is known.
TEST_CASE("restored store: an answer of an era that has ended, and one without an era, fails and is not used", "[platform][era]")
{
    const auto era = GENERATE(as<std::string>(), "", "1", "x");
    Copy copy({changeOf(era, 900, "op/dead"), changeOf("2", 11, "op/config")}, {2, 10});
    copy.run(400ms);
    REQUIRE(copy.failures.size() == 1);
    REQUIRE(copy.changes.size() == 1);
    CHECK(copy.changes.front().position == StorePosition(2, 11));
    CHECK(copy.lists.empty());
}

// Guards against a new era that is noticed only when the store serves again.
TEST_CASE("restored store: the era of a refused call counts", "[platform][era]")
{
    const auto status = GENERATE(404U, 429U, 503U);
    Copy copy({Reply{"2", "", status}, listOf("2", 8, "op/config")}, {1, 10});
    copy.run(400ms);
    CHECK(copy.failures.size() == 1);
    REQUIRE(copy.lists.size() == 1);
    CHECK(copy.position == StorePosition(2, 8));
}

// Guards against hundreds of gateways that list at once although one of each zone passes its copy on.
TEST_CASE("restored store: a gateway that gets the copy of the new era from a peer does not list", "[platform][era]")
{
    Copy copy({changeOf("2", 12, "op/late")}, {1, 10});
    copy.listDelay = 10s;
    copy.client->start();
    copy.context.run_for(100ms);
    CHECK(copy.store.calls() == std::vector<std::string>{"w10"});
    copy.position = {2, 13};
    copy.context.run_for(150ms);
    CHECK(copy.store.calls() == std::vector<std::string>{"w10", "w13"});
}

// Guards against a gateway whose zone gets no copy from the gateway that checks the store.
TEST_CASE("restored store: a gateway that gets no copy from a peer lists once the delay is over", "[platform][era]")
{
    Copy copy({changeOf("2", 12, "op/late"), listOf("2", 13, "op/config")}, {1, 10});
    copy.listDelay = 10s;
    copy.client->start();
    copy.context.run_for(100ms);
    copy.listDelay = 0ms;
    copy.context.run_for(150ms);
    CHECK(copy.position == StorePosition(2, 13));
}

// Guards against a poll whose changes belong to another history than the copy, and against a poll that reports them as a failure of the store.
TEST_CASE("restored store: a poll from the era before reports the era and nothing else", "[platform][era]")
{
    const auto status = GENERATE(200U, 410U);
    auto reply = changeOf("2", 12, "servers/late");
    reply.status = status;
    Copy copy({reply, changeOf("2", 13, "servers/s0"), changeOf("1", 900, "servers/dead")}, {1, 10});
    int results = 0;
    std::vector<StorePosition> read;
    std::vector<std::string> failures;
    platform::StorePollCallbacks callbacks;
    callbacks.onChanges = [&](const platform::StoreChanges &changes) {
        read.push_back(changes.position);
    };
    callbacks.onRead = [](const platform::StoreResponse &) {};
    callbacks.onListNeeded = [&] {
        ++results;
    };
    callbacks.onFailure = [&](const std::string &reason) {
        failures.push_back(reason);
    };
    callbacks.onEra = [&](std::uint64_t era) {
        return copy.onEra(era);
    };
    platform::StorePoller poller(copy.context, copy.store.address());
    const auto poll = [&](StorePosition from) {
        poller.poll("servers/", from, maxBytes, callbacks);
        copy.context.run_for(100ms);
    };
    poll({1, 10});
    CHECK(copy.era == 2);
    CHECK(results == 0);
    CHECK(read.empty());
    CHECK(failures.empty());
    poll({2, 12});
    CHECK(read == std::vector<StorePosition>{{2, 13}});
    poll({2, 13});
    CHECK(read.size() == 1);
    REQUIRE(failures.size() == 1);
    CHECK_THAT(failures.front(), Catch::Contains("era that has ended"));
}

// Guards against changes that wait for the pauses of two failures, one of which is a compaction: the watch was cut, and the history dropped.
TEST_CASE("compacted store: the list that follows is not delayed by a call that failed before, only by a second compaction", "[platform][watches]")
{
    const bool isCompactedTwice = GENERATE(false, true);
    std::deque<Reply> replies{{"", "", 503}, {"", "", 410}, listOf("", 12, "op/config")};
    if (isCompactedTwice) {
        replies.push_back({"", "", 410});
    }
    replies.push_back(listOf("", 14, "op/config"));
    Copy copy(std::move(replies), {0, 10});
    copy.run(350ms);
    CHECK(copy.lists.size() == 1);
    CHECK(copy.position == StorePosition(0, 12));
}

// Guards against changes that reach a gateway with a slow link later and later, as it reads each version of a large item.
TEST_CASE("slow link: a watch that returns more than a list is given up for a list, whose size is not limited, and is no failure", "[platform][slowlink]")
{
    auto versions = changeOf("1", 12, "op/config");
    auto list = listOf("1", 13, "op/config");
    versions.body += std::string(maxBytes, ' ');
    list.body += std::string(2 * maxBytes, ' ');
    Copy copy({versions, list, changeOf("1", 14, "op/config")}, {1, 10});
    copy.run();
    REQUIRE(copy.lists.size() == 1);
    CHECK(copy.lists.front().position == StorePosition(1, 13));
    REQUIRE(copy.changes.size() == 1);
    CHECK(copy.changes.front().position == StorePosition(1, 14));
    CHECK(copy.failures.empty());
    CHECK(copy.store.calls() == std::vector<std::string>{"w10", "r", "w13", "w14"});
}

// Guards against a check that reads each version of a large item beside the section's own call.
TEST_CASE("slow link: a poll that returns more than a list asks for a list, and is no failure", "[platform][slowlink]")
{
    auto versions = changeOf("1", 12, "op/config");
    versions.body += std::string(maxBytes, ' ');
    Copy copy({versions}, {1, 10});
    int needed = 0;
    platform::StorePollCallbacks callbacks;
    callbacks.onRead = [](const platform::StoreResponse &) {};
    callbacks.onListNeeded = [&] {
        ++needed;
    };
    callbacks.onFailure = [](const std::string &reason) {
        FAIL(reason);
    };
    callbacks.onEra = [](std::uint64_t) {
        return true;
    };
    platform::StorePoller poller(copy.context, copy.store.address());
    poller.poll("op/", {1, 10}, maxBytes, callbacks);
    copy.context.run_for(100ms);
    CHECK(needed == 1);
}
