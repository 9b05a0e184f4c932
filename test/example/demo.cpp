// Starts a small fleet, sends returning chats and bookings, takes an availability zone out and prints what came of it.

#include "../harness/localfleet.h"

#include <boost/json/parse.hpp>

#include <atomic>
#include <iomanip>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

namespace cyclamenspool::example {

using harness::Answer;
using harness::LocalFleet;

constexpr int chatCount = 50;
constexpr int turns = 4;
constexpr int bookingCount = 8;
constexpr int callers = 8;
constexpr int wordsPerTurn = 60;

struct Totals {
    std::mutex mutex;
    int answers = 0;
    int failed = 0;
    long promptTokens = 0;
    long cachedTokens = 0;
    std::map<std::string, int> refusals;
};

void count(const Answer &answer, Totals &totals)
{
    const std::lock_guard lock(totals.mutex);
    if (answer.status == 200 && answer.whole) {
        ++totals.answers;
        const auto body = boost::json::parse(answer.body).as_object();
        if (body.contains("prompt_tokens")) {
            totals.promptTokens += body.at("prompt_tokens").to_number<long>();
            totals.cachedTokens += body.at("cached_tokens").to_number<long>();
        }
        return;
    }
    ++totals.failed;
    std::string kind = "no answer";
    if (!answer.body.empty()) {
        const auto body = boost::json::parse(answer.body).as_object();
        kind = std::string(body.at("error").as_object().at("kind").as_string());
    }
    ++totals.refusals[kind];
}

std::string history(int turn)
{
    std::string text;
    for (int i = 0; i < turn * wordsPerTurn; ++i) {
        text += "brass lamp ";
    }
    return text;
}

void sendChats(const LocalFleet &fleet, int turn, Totals &totals)
{
    std::atomic<int> next{0};
    std::vector<std::thread> threads;
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            for (int chat = next++; chat < chatCount; chat = next++) {
                const auto router = static_cast<std::size_t>(caller) % fleet.routers.size();
                count(run(fleet.chat(router, "chat-" + std::to_string(chat), history(turn), 8)), totals);
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
        count(run(fleet.booking(static_cast<std::size_t>(i) % fleet.routers.size(), "", "{\"slot\":" + std::to_string(i) + "}")), totals);
    }
}

void print(const LocalFleet &fleet, const Totals &totals)
{
    std::cout << std::left;
    const auto row = [](const std::string &name, const std::string &value) {
        std::cout << std::setw(34) << name << value << '\n';
    };
    row("requests answered", std::to_string(totals.answers) + " of " + std::to_string(totals.answers + totals.failed));
    const double reuse = totals.promptTokens == 0 ? 0.0 : static_cast<double>(totals.cachedTokens) / static_cast<double>(totals.promptTokens);
    std::ostringstream share;
    share << std::fixed << std::setprecision(2) << reuse;
    row("prompt tokens found warm", share.str());
    long most = 0;
    long sum = 0;
    for (const auto &engine : fleet.engines) {
        const auto admitted = LocalFleet::number(engine.httpAddress, "/status", "admitted");
        row("requests run by " + engine.server + " (" + engine.zone + ")", std::to_string(admitted));
        most = std::max(most, admitted);
        sum += admitted;
    }
    std::ostringstream skew;
    skew << std::fixed << std::setprecision(2) << static_cast<double>(most) * static_cast<double>(fleet.engines.size()) / static_cast<double>(sum);
    row("skew of requests (max over mean)", skew.str());
    row("refusals to callers", totals.refusals.empty() ? "none" : "");
    for (const auto &[kind, number] : totals.refusals) {
        row("  " + kind, std::to_string(number));
    }
}

int demo()
{
    harness::FleetShape shape;
    shape.enginesPerZone = 2;
    LocalFleet fleet(shape);
    std::cout << "fleet is up: " << fleet.routers.size() << " routers, " << fleet.engines.size() << " engines, " << fleet.services.size() << " plain service\n";
    Totals totals;
    sendChats(fleet, 1, totals);
    sendChats(fleet, 2, totals);
    sendBookings(fleet, totals);
    fleet.publishTable("  - {name: az-b, kind: zone}\n");
    sendChats(fleet, 3, totals);
    std::cout << "availability zone az-b was taken out during turn 3\n";
    fleet.publishTable();
    sendChats(fleet, turns, totals);
    print(fleet, totals);
    const bool ordered = fleet.stopInOrder();
    std::cout << (ordered ? "all processes stopped in order\n" : "a process did not stop in order\n");
    return ordered && totals.failed == 0 ? 0 : 1;
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
