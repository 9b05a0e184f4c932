#include <catch2/catch.hpp>

#include <harness/httprequest.h>
#include <harness/platformfakes.h>

#include <future>
#include <string>
#include <thread>

using namespace cyclamenspool;
using namespace cyclamenspool::harness;
using namespace std::chrono_literals;

namespace {

HttpResponse watchItems(const FakeStore &store, const std::string &prefix, std::uint64_t after, std::chrono::milliseconds wait = 1000ms)
{
    HttpRequest call;
    call.address = store.address();
    call.target = "/-/kv-watch?prefix=" + prefix + "&after=" + std::to_string(after) + "&wait_ms=" + std::to_string(wait.count());
    return sendRequest(call);
}

HttpResponse readPath(const std::string &address, const std::string &path)
{
    HttpRequest call;
    call.address = address;
    call.target = path;
    return sendRequest(call);
}

} // namespace

TEST_CASE("the fake store drops no change that a waiting watch has not received", "[process][harness]")
{
    FakeStore store;
    constexpr int rounds = 50;
    int lost = 0;
    for (int round = 0; round < rounds; ++round) {
        const std::string key = "op/" + std::to_string(round);
        const int revision = round + 1;
        auto response = std::async(std::launch::async, [&store, revision] {
            return watchItems(store, "op/", revision);
        });
        std::this_thread::sleep_for(5ms);
        store.put(key, "value");
        store.compact();
        const auto received = response.get();
        const bool isTold = received.status == 410 || received.body.find(key) != std::string::npos;
        lost += isTold ? 0 : 1;
    }
    CHECK(lost == 0);
}

TEST_CASE("the fake store returns from a copy with the items and the revision of then and gives the later revisions out again", "[process][harness]")
{
    FakeStore store;
    store.put("op/a", "first");
    const auto copy = store.copy();
    const auto copyRevision = store.revision();
    const auto listAtCopy = readPath(store.address(), "/-/kv-range?prefix=op/").body;
    store.put("op/a", "lost");
    store.put("op/b", "lost");
    store.remove("op/a");
    const auto lostRevision = store.revision();
    store.restore(copy);
    CHECK(store.revision() == copyRevision);
    CHECK(readPath(store.address(), "/-/kv-range?prefix=op/").body == listAtCopy);
    CHECK(watchItems(store, "op/", lostRevision).status == 410);
    CHECK(watchItems(store, "op/", copyRevision + 1).status == 410);
    CHECK(watchItems(store, "op/", copyRevision, 1ms).body.find("op/") == std::string::npos);
    for (auto revision = copyRevision; revision < lostRevision; ++revision) {
        store.put("op/c", "after the restore");
    }
    const auto passed = watchItems(store, "op/", lostRevision, 1ms);
    CHECK(passed.status == 200);
    CHECK(passed.body.find("op/") == std::string::npos);
    const auto changes = watchItems(store, "op/", copyRevision);
    CHECK(changes.status == 200);
    CHECK(changes.body.find("op/c") != std::string::npos);
    CHECK(changes.body.find("op/b") == std::string::npos);
}

TEST_CASE("the fake store names its era in all answers at both addresses and raises it by one with each restore", "[process][harness]")
{
    FakeStore store;
    store.put("op/a", "value");
    const auto copy = store.copy();
    for (const std::string era : {"1", "2", "3"}) {
        CHECK(readPath(store.address(), "/-/kv-range?prefix=op/").header("store-era") == era);
        CHECK(readPath(store.secondAddress(), "/-/kv-range?prefix=op/").header("store-era") == era);
        CHECK(watchItems(store, "op/", 0).header("store-era") == era);
        const auto gone = watchItems(store, "op/", store.revision() + 1);
        CHECK(gone.status == 410);
        CHECK(gone.header("store-era") == era);
        const auto missing = readPath(store.address(), "/-/nothing");
        CHECK(missing.status == 404);
        CHECK(missing.header("store-era") == era);
        store.setStatus(503);
        const auto refused = readPath(store.address(), "/-/kv-range?prefix=op/");
        CHECK(refused.status == 503);
        CHECK(refused.header("store-era") == era);
        store.setStatus(200);
        store.restore(copy);
    }
    store.setSendingEra(false);
    CHECK(readPath(store.address(), "/-/kv-range?prefix=op/").headers.count("store-era") == 0);
}

TEST_CASE("the fake store cuts a watch that waits while it is restored", "[process][harness]")
{
    FakeStore store;
    const auto copy = store.copy();
    auto response = std::async(std::launch::async, [&store] {
        return watchItems(store, "op/", store.revision());
    });
    std::this_thread::sleep_for(100ms);
    store.restore(copy);
    store.put("op/a", "after the restore");
    CHECK(response.get().status == 0);
}
