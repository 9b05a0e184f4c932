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

HttpResponse watchItems(const FakeStore &store, const std::string &prefix, int after)
{
    HttpRequest call;
    call.address = store.address();
    call.target = "/-/kv-watch?prefix=" + prefix + "&after=" + std::to_string(after) + "&wait_ms=1000";
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
