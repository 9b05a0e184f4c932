// Starts a small fleet, sends several requests per chat and some bookings, evacuates an availability zone meanwhile and prints the results.

#include "../harness/localfleet.h"

#include <boost/json/parse.hpp>

#include <atomic>
#include <iomanip>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

namespace cyclamenspool::example {

using harness::HttpResponse;
using harness::LocalFleet;

constexpr int chatCount = 50;
constexpr int turnCount = 4;
constexpr int bookingCount = 8;
constexpr int callerCount = 8;
constexpr int phrasesPerTurn = 60;

struct Totals {
    std::mutex mutex;
    int completed = 0;
    int failed = 0;
    long promptTokens = 0;
    long cachedTokens = 0;
    std::map<std::string, int> failuresByKind;
};

void addToTotals(const HttpResponse &response, Totals &totals)
{
    const std::lock_guard lock(totals.mutex);
    if (response.status == 200 && response.isComplete) {
        ++totals.completed;
        const auto body = boost::json::parse(response.body).as_object();
        if (body.contains("prompt_tokens")) {
            totals.promptTokens += body.at("prompt_tokens").to_number<long>();
            totals.cachedTokens += body.at("cached_tokens").to_number<long>();
        }
        return;
    }
    ++totals.failed;
    std::string kind = "no response";
    if (!response.body.empty()) {
        const auto body = boost::json::parse(response.body).as_object();
        kind = std::string(body.at("error").as_object().at("kind").as_string());
    }
    ++totals.failuresByKind[kind];
}

std::string chatHistory(int turn)
{
    std::string text;
    for (int i = 0; i < turn * phrasesPerTurn; ++i) {
        text += "brass lamp ";
    }
    return text;
}

void sendChats(const LocalFleet &fleet, int turn, Totals &totals)
{
    std::atomic<int> nextChat{0};
    std::vector<std::thread> threads;
    for (int caller = 0; caller < callerCount; ++caller) {
        threads.emplace_back([&, caller] {
            for (int chat = nextChat++; chat < chatCount; chat = nextChat++) {
                const auto router = static_cast<std::size_t>(caller) % fleet.routers.size();
                addToTotals(sendRequest(fleet.makeChatRequest(router, "chat-" + std::to_string(chat), chatHistory(turn), 8)), totals);
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
}

void sendBookings(const LocalFleet &fleet, Totals &totals)
{
    for (int i = 0; i < bookingCount; ++i) {
        addToTotals(sendRequest(fleet.makeBookingRequest(static_cast<std::size_t>(i) % fleet.routers.size(), "", "{\"slot\":" + std::to_string(i) + "}")),
                    totals);
    }
}

void print(const LocalFleet &fleet, const Totals &totals)
{
    std::cout << std::left;
    const auto row = [](const std::string &name, const std::string &value) {
        std::cout << std::setw(34) << name << value << '\n';
    };
    row("completed requests", std::to_string(totals.completed) + " of " + std::to_string(totals.completed + totals.failed));
    const double cacheHitRatio = totals.promptTokens == 0 ? 0.0 : static_cast<double>(totals.cachedTokens) / static_cast<double>(totals.promptTokens);
    std::ostringstream ratioText;
    ratioText << std::fixed << std::setprecision(2) << cacheHitRatio;
    row("cache hit ratio of prompt tokens", ratioText.str());
    long maxRequests = 0;
    long totalRequests = 0;
    for (const auto &engine : fleet.engines) {
        const auto admitted = LocalFleet::jsonNumber(engine.httpAddress, "/status", "admitted");
        row("requests run by " + engine.server + " (" + engine.zone + ")", std::to_string(admitted));
        maxRequests = std::max(maxRequests, admitted);
        totalRequests += admitted;
    }
    std::ostringstream skewText;
    skewText << std::fixed << std::setprecision(2)
             << static_cast<double>(maxRequests) * static_cast<double>(fleet.engines.size()) / static_cast<double>(totalRequests);
    row("request skew (max over mean)", skewText.str());
    row("failed requests by kind", totals.failuresByKind.empty() ? "none" : "");
    for (const auto &[kind, number] : totals.failuresByKind) {
        row("  " + kind, std::to_string(number));
    }
}

int demo()
{
    harness::FleetShape shape;
    shape.enginesPerZone = 2;
    LocalFleet fleet(shape);
    std::cout << "fleet is ready: " << fleet.routers.size() << " routers, " << fleet.engines.size() << " engines, " << fleet.services.size()
              << " backend servers of the plain service\n";
    Totals totals;
    sendChats(fleet, 1, totals);
    sendChats(fleet, 2, totals);
    sendBookings(fleet, totals);
    fleet.publishTable("  - {name: az-b, kind: zone}\n");
    sendChats(fleet, 3, totals);
    std::cout << "availability zone az-b was marked as leaving during turn 3\n";
    fleet.publishTable();
    sendChats(fleet, turnCount, totals);
    print(fleet, totals);
    const bool allExitedCleanly = fleet.stopGracefully();
    std::cout << (allExitedCleanly ? "all processes stopped cleanly\n" : "a process did not stop cleanly\n");
    return allExitedCleanly && totals.failed == 0 ? 0 : 1;
}

} // namespace cyclamenspool::example

int main()
{
    try {
        return cyclamenspool::example::demo();
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
}
