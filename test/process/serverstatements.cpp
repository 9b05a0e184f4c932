#include <catch2/catch.hpp>

#include <harness/gatewayfleet.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using harness::GatewayFleet;
using harness::PlainRequest;
using harness::PlainSocket;
using harness::writeAll;

namespace {

using Clock = std::chrono::steady_clock;

/** @brief Arrival times of requests at a backend server. Thread safe. */
class Arrivals
{
public:
    void add()
    {
        const std::lock_guard lock(mutex_);
        times_.push_back(Clock::now());
    }

    /** @brief Returns the greatest number of arrivals within 4 s of those after a time. */
    [[nodiscard]] std::size_t mostInFourSeconds(Clock::time_point after)
    {
        const std::lock_guard lock(mutex_);
        std::size_t most = 0;
        for (const auto first : times_) {
            const auto inWindow = std::count_if(times_.begin(), times_.end(), [first](Clock::time_point time) {
                return time >= first && time < first + 4s;
            });
            most = first < after ? most : std::max(most, static_cast<std::size_t>(inWindow));
        }
        return most;
    }

    [[nodiscard]] std::size_t count()
    {
        const std::lock_guard lock(mutex_);
        return times_.size();
    }

private:
    std::mutex mutex_;
    std::vector<Clock::time_point> times_;
};

/** @brief Returns a complete response with one more header line. */
std::string responseWith(const PlainRequest &request, const std::string &headerLine, const std::string &status = "200 OK")
{
    auto response = harness::formatResponseWithDigest(request, "hello", status);
    response.insert(response.find("\r\n") + 2, headerLine + "\r\n");
    return response;
}

/** @brief Makes a backend server count its requests and answer each after 150 ms, so that requests spread over the servers. */
void answerSlowly(harness::FakeBackendServer &server, Arrivals &arrivals, std::function<std::string(const PlainRequest &)> respond)
{
    server.setHandler([&arrivals, respond = std::move(respond)](const PlainRequest &request, PlainSocket &socket) {
        arrivals.add();
        std::this_thread::sleep_for(150ms);
        return writeAll(socket, respond(request));
    });
}

std::string plainResponse(const PlainRequest &request)
{
    return harness::formatResponseWithDigest(request, "hello");
}

/** @brief Sends requests to all gateways in turn, one each 40 ms. @return Number of them that were answered with 200. */
int sendFor(GatewayFleet &fleet, std::chrono::milliseconds time, const std::string &idPrefix)
{
    constexpr auto pause = 40ms;
    const auto end = Clock::now() + time;
    std::vector<std::future<int>> statuses;
    for (std::size_t i = 0; Clock::now() < end; ++i) {
        auto request = fleet.makeRequest(idPrefix + std::to_string(i), "/once/x", i % fleet.gateways.size());
        statuses.push_back(std::async(std::launch::async, [request] {
            return sendRequest(request).status;
        }));
        std::this_thread::sleep_for(pause);
    }
    int answered = 0;
    for (auto &status : statuses) {
        answered += status.get() == 200 ? 1 : 0;
    }
    return answered;
}

} // namespace

// Guards against more requests than a server's Server-Limit allows all gateways together, counted as the users do: one and a half times the limit, and 5.
TEST_CASE("a server that names a limit gets no more than that from all gateways together, and the others get the rest", "[process][gateway][statements]")
{
    const int gateways = GENERATE(1, 3);
    CAPTURE(gateways);
    GatewayFleet fleet(gateways, 2, gateways);
    constexpr double limit = 2.0; /* requests per second */
    Arrivals arrivals;
    std::atomic<bool> isLimited{true};
    Arrivals others;
    answerSlowly(*fleet.backendServers[0], arrivals, [&isLimited](const PlainRequest &request) {
        return isLimited ? responseWith(request, "Server-Limit: 2.0") : plainResponse(request);
    });
    answerSlowly(*fleet.backendServers[1], others, plainResponse);
    const auto start = Clock::now();
    constexpr auto duration = 9000ms;
    const int answered = sendFor(fleet, duration, "r");
    CHECK(arrivals.mostInFourSeconds(start + 3s) <= static_cast<std::size_t>(1.5 * limit * 4 + 5));
    CHECK(arrivals.count() >= 9); /* half of what the limit allows in the last 9 s */
    CHECK(answered >= 200); /* of about 225: the other server has room */
    isLimited = false;
    const auto before = arrivals.count();
    static_cast<void>(sendFor(fleet, 5000ms, "s"));
    CHECK(arrivals.count() - before > 25); /* a server without a limit is used again */
}

// Guards against requests to a server that has said in an answer that it leaves, while the store's list still has it.
TEST_CASE("a server that says in its answers that it leaves gets no request two seconds later", "[process][gateway][statements]")
{
    GatewayFleet fleet(2, 2, 2);
    Arrivals arrivals;
    Arrivals others;
    answerSlowly(*fleet.backendServers[0], arrivals, [](const PlainRequest &request) {
        return responseWith(request, "Server-Leaving: 1");
    });
    answerSlowly(*fleet.backendServers[1], others, plainResponse);
    static_cast<void>(sendFor(fleet, 1000ms, "r"));
    REQUIRE(arrivals.count() > 0);
    std::this_thread::sleep_for(2000ms);
    const auto before = arrivals.count();
    CHECK(sendFor(fleet, 2000ms, "s") > 40);
    CHECK(arrivals.count() == before);
}

// Guards against requests to a server that wants none for a while, which it says with a 503 and Retry-After.
TEST_CASE("a server that turns a request away with Retry-After gets no more than two requests of that gateway until then", "[process][gateway][statements]")
{
    GatewayFleet fleet(1, 2);
    Arrivals arrivals;
    Arrivals others;
    answerSlowly(*fleet.backendServers[0], arrivals, [](const PlainRequest &request) {
        return "HTTP/1.1 503 X\r\nCyclamenspool-Request-Id: " + std::string(request["Cyclamenspool-Request-Id"])
            + "\r\nCyclamenspool-Not-Executed: 1\r\nRetry-After: 4\r\nContent-Length: 0\r\n\r\n";
    });
    answerSlowly(*fleet.backendServers[1], others, plainResponse);
    static_cast<void>(sendFor(fleet, 500ms, "r"));
    REQUIRE(arrivals.count() > 0);
    const auto before = arrivals.count();
    CHECK(sendFor(fleet, 3000ms, "s") > 60);
    const auto after = arrivals.count();
    CHECK(after <= before + 2);
    static_cast<void>(sendFor(fleet, 3000ms, "t"));
    CHECK(arrivals.count() > after); /* used again after that time */
}
