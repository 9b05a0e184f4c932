#include "kit.h"

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <sstream>

using namespace review;
using cyclamenspool::harness::FakeStore;

namespace {

constexpr int clients = 8;
constexpr int bookingsPerClient = 30;
constexpr double greyRatio = 0.45; /* the sheet's largest part of the requests that grey runners fail */

const std::string config
    = R"({"version":7,"routes":[{"name":"booking","host":"desk.example","prefix":"/booking/","kind":"non_idempotent","timeout_ms":600,"target_latency_ms":120,)"
      R"("priority":2,"service":"counter-app","max_attempts":1,"anonymous":false,"sticky_sessions":false,"resumable":false}],)"
      R"("services":[{"name":"counter-app","health_path":"/healthz","max_connections":110,"cold_start_s":0,"cold_per_s":0}],)"
      R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
      R"("tenants":[{"name":"shop","api_keys":["key-1"],"priority":1}]})";

/** @brief The application behind the runners: bookings by their text, and how often each was made. Thread safe. */
class Bookings
{
public:
    void make(const std::string &booking, const std::string &requestId)
    {
        const std::lock_guard lock(mutex_);
        ++made_[booking];
        ran_.insert({requestId, true});
    }

    [[nodiscard]] bool hasRun(const std::string &requestId)
    {
        const std::lock_guard lock(mutex_);
        return ran_.count(requestId) > 0;
    }

    [[nodiscard]] int doubles()
    {
        const std::lock_guard lock(mutex_);
        int count = 0;
        for (const auto &[booking, times] : made_) {
            count += times > 1 ? 1 : 0;
        }
        return count;
    }

private:
    std::mutex mutex_;
    std::map<std::string, int> made_;
    std::map<std::string, bool> ran_;
};

std::string bookingRequest(const std::string &id, const std::string &booking, long deadlineMs)
{
    return "POST /booking/x HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key-1\r\nCyclamenspool-Request-Id: " + id
        + "\r\nCyclamenspool-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\nConnection: close\r\nContent-Length: " + std::to_string(booking.size())
        + "\r\n\r\n" + booking;
}

} // namespace

int main(int, char **arguments)
try {
    const bool isTrouble = variable("TROUBLE", "1") != "0";
    Record record(arguments[1]);
    auto pattern = (std::filesystem::temp_directory_path() / "review-7-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        return 2;
    }
    int broken = 0;
    {
        FakeStore store;
        store.setSendingEra(false);
        store.put("op/config", config);
        Bookings bookings;
        std::vector<std::unique_ptr<Runner>> runners;
        std::vector<Runner *> running;
        const std::vector<std::string> zones{"bkk-a", "bkk-b", "bkk-c", "bkk-d"};
        std::atomic<int> number{0};
        for (const auto &zone : zones) {
            const auto id = "i-" + zone;
            runners.push_back(std::make_unique<Runner>(id, "counter-app", zone, 6, [&, id](const Request &request, Socket &socket) {
                const auto requestId = field(request, "Cyclamenspool-Request-Id");
                bookings.make(request.body(), requestId);
                std::this_thread::sleep_for(Millis(15));
                const bool isFailed = isTrouble && ++number % 100 < static_cast<int>(greyRatio * 100);
                record.line("runner " + id + " ran " + requestId + ": " + request.body()
                            + (isFailed ? ", answers 503 without Cyclamenspool-Not-Executed" : ", answers 200"));
                // It has made the booking and then lost what it needs for its answer, the printer of the tickets.
                return writeAll(socket, isFailed ? answerTo(request, "no ticket printer", "503 Service Unavailable") : answerTo(request, "booked"));
            }));
            running.push_back(runners.back().get());
            store.put("servers/" + id, runners.back()->entry());
        }
        const Heartbeats heartbeats(store, running);
        Gateways gateways("target/cyclamenspool", pattern, store.address(), zones);
        if (!gateways.waitUntilReady(Millis(5000))) {
            std::cerr << "the gateways did not become ready\n";
            return 2;
        }
        std::atomic<int> sent{0};
        std::atomic<int> promised{0}; /* answers that promise that the request has not run */
        std::atomic<int> broke{0}; /* those of them whose request had run */
        std::vector<std::thread> threads;
        for (int client = 0; client < clients; ++client) {
            threads.emplace_back([&, client] {
                for (int i = 0; i < bookingsPerClient; ++i) {
                    const auto booking = "lamp " + std::to_string(client) + "/" + std::to_string(i);
                    // A client repeats such a request only after a promise, once, on a new channel to another node.
                    for (int attempt = 0; attempt < 2; ++attempt) {
                        const auto id = "b" + std::to_string(client) + "-" + std::to_string(i) + "-" + std::to_string(attempt);
                        const auto &gateway = gateways.all[static_cast<std::size_t>(client + attempt) % gateways.all.size()];
                        ++sent;
                        const auto result = call(gateway.callerAddress, bookingRequest(id, booking, 600), Millis(700));
                        const bool isPromise = result.status == 503 || result.status == 429 || result.status == 408 || result.status == 421;
                        const bool hasRun = bookings.hasRun(id);
                        promised += isPromise ? 1 : 0;
                        broke += isPromise && hasRun ? 1 : 0;
                        record.line("client " + id + ": status " + std::to_string(result.status)
                                    + (isPromise ? (hasRun ? ", a promise, but it had run" : ", a promise") : ""));
                        if (!isPromise) {
                            break;
                        }
                    }
                    std::this_thread::sleep_for(Millis(80));
                }
            });
        }
        for (auto &thread : threads) {
            thread.join();
        }
        std::ostringstream summary;
        summary << "trouble " << isTrouble << ": " << sent << " requests sent, " << promised << " answered with a promise that they had not run, " << broke
                << " of these had run; " << bookings.doubles() << " bookings made twice";
        record.line(summary.str());
        std::cout << summary.str() << '\n';
        broken = broke > 0 ? 1 : 0;
    }
    std::filesystem::remove_all(pattern);
    return broken;
} catch (const std::exception &error) {
    std::cerr << error.what() << '\n';
    return 2;
}
