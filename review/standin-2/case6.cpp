#include "kit.h"

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <set>
#include <sstream>

using namespace review;
using cyclamenspool::harness::FakeStore;

namespace {

constexpr std::size_t maxBodyBytes = 4194304; /* limits.max_body_bytes of the small installations */
constexpr std::size_t bodyBytes = 4100000; /* a client stays within it */
constexpr double memoryMb = 260; /* limits.memory_mb of an edge machine, in MiB here, which is more */
constexpr int usualChannels = 22;
constexpr int burstChannels = 37; /* 1.68 times as many; the sheet's largest burst is 1.7 */
constexpr long burstFromMs = 6000;
constexpr long burstForMs = 5000; /* the sheet's longest burst */
constexpr long endMs = 16000;

const std::string config
    = R"({"version":7,"routes":[{"name":"notes","host":"desk.example","prefix":"/notes/","kind":"streaming","timeout_ms":12000,"target_latency_ms":800,)"
      R"("priority":1,"service":"lamp-model","max_attempts":1,"anonymous":false,"sticky_sessions":true,"resumable":false,"gap_aim_ms":400}],)"
      R"("services":[{"name":"lamp-model","health_path":"/healthz","max_connections":370,"cold_start_s":3.0,"cold_per_s":12.0,"engine":{"slots":64}}],)"
      R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
      R"("tenants":[{"name":"shop","api_keys":["key-1"],"priority":1}]})";

/** @brief Ids of the requests that runners have read whole. Thread safe. */
class PassedOn
{
public:
    void add(const std::string &id)
    {
        const std::lock_guard lock(mutex_);
        ids_.insert(id);
    }

    [[nodiscard]] bool contains(const std::string &id)
    {
        const std::lock_guard lock(mutex_);
        return ids_.count(id) > 0;
    }

    [[nodiscard]] std::size_t count()
    {
        const std::lock_guard lock(mutex_);
        return ids_.size();
    }

private:
    std::mutex mutex_;
    std::set<std::string> ids_;
};

PassedOn passedOn;

/** @brief A runner's stream: its answer begins after a second, and four events take another one. */
bool answerStream(const Request &request, Socket &socket)
{
    passedOn.add(field(request, "Cyclamenspool-Request-Id"));
    std::this_thread::sleep_for(Millis(1000));
    if (!writeAll(socket, streamHeadTo(request))) {
        return false;
    }
    constexpr int events = 4;
    for (int i = 1; i <= events; ++i) {
        std::this_thread::sleep_for(Millis(250));
        if (!writeAll(socket, chunk("id: " + std::to_string(i) + "\ndata: piece\n\n"))) {
            return false;
        }
    }
    return writeAll(socket, "0\r\n\r\n");
}

/** @brief Counts of what the clients saw. */
struct Counts {
    std::atomic<int> sent{0};
    std::atomic<int> whole{0}; /* streams that ended complete */
    std::atomic<int> refused{0};
    std::atomic<int> cut{0}; /* kept channels that ended without a complete answer to a request that a runner had read */
    std::atomic<int> unanswered{0}; /* those of them that ended without a byte of an answer */
    std::atomic<int> unconnected{0};
};

/** @brief A client with one kept channel: one request after the other, with a short pause between them. */
void runClient(const std::string &address, int number, long fromMs, long untilMs, Counts &counts, Record &record)
{
    std::this_thread::sleep_for(Millis(std::max(0L, fromMs - sinceStart()) + number * 400 % 2150));
    const std::string body(bodyBytes, 'x');
    for (int i = 0; sinceStart() < untilMs;) {
        asio::io_context context;
        Socket socket(context);
        boost::system::error_code error;
        const auto colon = address.rfind(':');
        socket.connect({asio::ip::make_address(address.substr(0, colon)), static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))}, error);
        if (error) {
            ++counts.unconnected;
            std::this_thread::sleep_for(Millis(500));
            continue;
        }
        boost::beast::flat_buffer buffer;
        int served = 0; /* on this channel */
        while (!error && sinceStart() < untilMs) {
            const std::string id = "c" + std::to_string(number) + "-" + std::to_string(++i);
            const std::string head = "POST /notes/x HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key-1\r\nCyclamenspool-Request-Id: " + id
                + "\r\nCyclamenspool-Model: m\r\nCyclamenspool-Token-Usage: 11812,385\r\nCyclamenspool-Prompt-Prefix: 5c1e07a2:10512,"
                + std::to_string(1000 + number) + ":1300\r\nCyclamenspool-Deadline-Ms: 12000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
            ++counts.sent;
            boost::system::error_code ignored;
            asio::write(socket, asio::buffer(head + body), ignored);
            bhttp::response_parser<bhttp::string_body> parser;
            parser.body_limit(boost::none);
            bhttp::read(socket, buffer, parser, error);
            if (error) {
                const bool wasPassedOn = passedOn.contains(id);
                const bool isWithoutAnswer = !parser.got_some();
                counts.cut += served > 0 && wasPassedOn ? 1 : 0;
                counts.unanswered += served > 0 && wasPassedOn && isWithoutAnswer ? 1 : 0;
                record.line("request " + id + (wasPassedOn ? ", which a runner had read" : ", which no runner had read") + ": channel ended "
                            + (isWithoutAnswer ? "without a byte of an answer" : "inside its answer") + ", after " + std::to_string(served)
                            + " answers on it: " + error.message());
                break;
            }
            ++served;
            const auto status = parser.get().result_int();
            (status == 200 ? counts.whole : counts.refused)++;
            record.line("request " + id + ": status " + std::to_string(status) + ", whole");
            if (!parser.get().keep_alive()) {
                break;
            }
            std::this_thread::sleep_for(Millis(150));
        }
    }
}

} // namespace

int main(int, char **arguments)
try {
    const bool isTrouble = variable("TROUBLE", "1") != "0";
    static_assert(bodyBytes < maxBodyBytes);
    Record record(arguments[1]);
    auto pattern = (std::filesystem::temp_directory_path() / "review-6-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        return 2;
    }
    int broken = 0;
    {
        FakeStore store;
        store.setSendingEra(false);
        store.put("op/config", config);
        std::vector<std::unique_ptr<Runner>> runners;
        std::vector<Runner *> running;
        for (const std::string zone : {"bkk-a", "bkk-b", "bkk-c", "bkk-d"}) {
            for (int i = 0; i < 3; ++i) {
                runners.push_back(std::make_unique<Runner>("i-" + zone + std::to_string(i), "lamp-model", zone, 64, answerStream));
                running.push_back(runners.back().get());
                store.put("servers/" + runners.back()->id, runners.back()->entry());
            }
        }
        const Heartbeats heartbeats(store, running);
        Gateways gateways("target/cyclamenspool", pattern, store.address(), {"bkk-a", "bkk-b", "bkk-c", "bkk-d"});
        if (!gateways.waitUntilReady(Millis(5000))) {
            std::cerr << "the gateways did not become ready\n";
            return 2;
        }
        // The machine of the clients' zone; the platform sends all channels of the zone there.
        auto &gateway = gateways.all[0];
        Counts counts;
        std::atomic<bool> isOver{false};
        std::atomic<int> ends{0};
        double peak = 0;
        // The platform: it kills a process that exceeds its memory, and starts it again after a short delay.
        std::thread platform([&] {
            while (!isOver) {
                const auto memory = residentMiB(gateway.process.pid());
                peak = std::max(peak, memory);
                if (memory > memoryMb) {
                    ++ends;
                    record.line(gateway.vm + " holds " + std::to_string(memory) + " MiB, over its limit of 260: killed by the platform");
                    gateway.process.kill();
                    std::this_thread::sleep_for(Millis(700));
                    gateways.start(gateway);
                }
                std::this_thread::sleep_for(Millis(5));
            }
        });
        std::vector<std::thread> clients;
        const int channels = isTrouble ? burstChannels : usualChannels;
        for (int i = 0; i < channels; ++i) {
            const bool isUsual = i < usualChannels;
            clients.emplace_back([&, i, isUsual] {
                runClient(gateway.callerAddress, i, isUsual ? sinceStart() : burstFromMs, isUsual ? endMs : burstFromMs + burstForMs, counts, record);
            });
        }
        for (auto &client : clients) {
            client.join();
        }
        isOver = true;
        platform.join();
        std::ostringstream summary;
        summary << "trouble " << isTrouble << ": " << counts.sent << " requests sent, " << passedOn.count() << " read by runners, " << counts.whole
                << " answered whole, " << counts.refused << " refused, " << counts.cut
                << " kept channels ended without a complete answer to a request that a runner had read, " << counts.unanswered
                << " of them without a byte of an answer, " << counts.unconnected << " failed connects; peak memory " << peak
                << " MiB, process killed over its memory limit " << ends << " times";
        record.line(summary.str());
        std::cout << summary.str() << '\n';
        // LOST: more than three times; only the process's own ends can have closed these channels.
        broken = ends > 0 && counts.unanswered > 3 ? 1 : 0;
    }
    std::filesystem::remove_all(pattern);
    return broken;
} catch (const std::exception &error) {
    std::cerr << error.what() << '\n';
    return 2;
}
