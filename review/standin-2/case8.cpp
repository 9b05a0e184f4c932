#include "kit.h"

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <sstream>

using namespace review;
using cyclamenspool::harness::FakeStore;

namespace {

constexpr double linkBytesPerSecond = 10e6 / 8; /* 10 Mbit/s, as most edge machines of the site have */
constexpr int usualRoutes = 240; /* idle_routes of the site */
constexpr int moreRoutes = 1680; /* big_config: count */
constexpr long stormGapMs = 240; /* config_storm: gap_s */
constexpr long stormForMs = 4000; /* config_storm: for_s */
constexpr long applyMs = 3000; /* bounds.config_apply_ms */
constexpr long watchedMs = 7000; /* after that bound */

/** @brief Link of one machine to the store: passes the store's bytes on at the machine's bandwidth, and the machine's own, which are few, at once. */
class Link
{
public:
    explicit Link(std::string storeAddress)
        : address(cyclamenspool::harness::findFreeAddress())
        , storeAddress_(std::move(storeAddress))
        , acceptor_(context_, endpointOf(address))
        , listener_([this] {
            listen();
        })
    {
    }

    ~Link()
    {
        isStopping_ = true;
        boost::system::error_code ignored;
        Socket(context_).connect(endpointOf(address), ignored);
        listener_.join();
        {
            const std::lock_guard lock(mutex_);
            for (auto &socket : sockets_) {
                ::shutdown(socket->native_handle(), SHUT_RDWR);
            }
        }
        for (auto &thread : threads_) {
            thread.join();
        }
    }

    Link(const Link &) = delete;
    Link &operator=(const Link &) = delete;

    const std::string address;

private:
    static asio::ip::tcp::endpoint endpointOf(const std::string &text)
    {
        const auto colon = text.rfind(':');
        return {asio::ip::make_address(text.substr(0, colon)), static_cast<unsigned short>(std::stoi(text.substr(colon + 1)))};
    }

    void listen()
    {
        while (!isStopping_) {
            boost::system::error_code error;
            auto near = std::make_shared<Socket>(acceptor_.accept(error));
            if (error || isStopping_) {
                continue;
            }
            auto far = std::make_shared<Socket>(context_);
            far->connect(endpointOf(storeAddress_), error);
            if (error) {
                continue;
            }
            const std::lock_guard lock(mutex_);
            sockets_.push_back(near);
            sockets_.push_back(far);
            threads_.emplace_back([this, near, far] {
                pass(*near, *far, false);
            });
            threads_.emplace_back([this, near, far] {
                pass(*far, *near, true);
            });
        }
    }

    void pass(Socket &from, Socket &to, bool isLimited)
    {
        std::string bytes(8192, '\0');
        boost::system::error_code error;
        while (!error) {
            const auto count = from.read_some(asio::buffer(bytes), error);
            if (count > 0 && isLimited) {
                takeTurn(count);
            }
            if (count > 0) {
                asio::write(to, asio::buffer(bytes.data(), count), error);
            }
        }
        ::shutdown(to.native_handle(), SHUT_RDWR);
        ::shutdown(from.native_handle(), SHUT_RDWR);
    }

    void takeTurn(std::size_t count)
    {
        Clock::time_point until;
        {
            const std::lock_guard lock(turnMutex_);
            const auto time = std::chrono::duration<double>(static_cast<double>(count) / linkBytesPerSecond);
            freeAt_ = std::max(freeAt_, Clock::now()) + std::chrono::duration_cast<Clock::duration>(time);
            until = freeAt_;
        }
        std::this_thread::sleep_until(until);
    }

    std::string storeAddress_;
    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    std::atomic<bool> isStopping_{false};
    std::mutex mutex_;
    std::vector<std::shared_ptr<Socket>> sockets_;
    std::vector<std::thread> threads_;
    std::mutex turnMutex_;
    Clock::time_point freeAt_;
    std::thread listener_;
};

/** @brief Configuration in full. @param isKeyHeld Whether the tenant still has its second key. */
std::string configOf(int version, int routes, bool isKeyHeld)
{
    std::ostringstream out;
    out << R"({"version":)" << version
        << R"(,"routes":[{"name":"lookup","host":"desk.example","prefix":"/lookup/","kind":"idempotent","timeout_ms":1500,"target_latency_ms":300,)"
        << R"("priority":2,"service":"workshop-api","max_attempts":2,"anonymous":false,"sticky_sessions":false,"resumable":false})";
    for (int i = 0; i < routes; ++i) {
        // As the routes that fleetbench wire shows.
        out << R"(,{"name":"r-)" << 1000000 + i << R"(","host":"ficu95.example","prefix":"/pufi)" << 10000 + i << R"(/","kind":"streaming","timeout_ms":)"
            << 12000 + version << R"(,"target_latency_ms":400,"priority":0,"service":"bench-model","max_attempts":2,"anonymous":false,"sticky_sessions":true,)"
            << R"("resumable":true,"gap_aim_ms":400})";
    }
    out << R"(],"services":[{"name":"workshop-api","health_path":"/healthz","max_connections":240,"protocol":"h1","tls":false,"cold_start_s":0,"cold_per_s":0}],)"
        << R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
        << R"("tenants":[{"name":"bench","api_keys":["key-1")" << (isKeyHeld ? R"(,"key-2")" : "") << R"(],"priority":1}]})";
    return out.str();
}

} // namespace

int main(int, char **arguments)
try {
    const bool isTrouble = variable("TROUBLE", "1") != "0";
    Record record(arguments[1]);
    auto pattern = (std::filesystem::temp_directory_path() / "review-8-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        return 2;
    }
    int broken = 0;
    {
        FakeStore store;
        store.setSendingEra(false);
        int version = 7;
        const int routes = usualRoutes + moreRoutes;
        store.put("op/config", configOf(version, routes, true));
        std::mutex ranMutex;
        std::map<std::string, bool> ran;
        std::vector<std::unique_ptr<Runner>> runners;
        std::vector<Runner *> running;
        for (const std::string zone : {"hobart-a", "glenorchy-b"}) {
            const auto id = "i-" + zone;
            runners.push_back(std::make_unique<Runner>(id, "workshop-api", zone, 6, [&](const Request &request, Socket &socket) {
                {
                    const std::lock_guard lock(ranMutex);
                    ran[field(request, "Cyclamenspool-Request-Id")] = true;
                }
                std::this_thread::sleep_for(Millis(20));
                return writeAll(socket, answerTo(request, "record"));
            }));
            running.push_back(runners.back().get());
            store.put("servers/" + id, runners.back()->entry());
        }
        const Heartbeats heartbeats(store, running);
        Link link1(store.address());
        Link link2(store.address());
        DeploymentValues values;
        values.retrySlack = 100;
        values.leaveMs = 3000;
        values.configurationMs = static_cast<int>(applyMs);
        // One machine of each zone has 10 Mbit/s to the store, the other has more than it needs.
        Gateways gateways("target/cyclamenspool",
                          pattern,
                          store.address(),
                          {"hobart-a", "glenorchy-b", "hobart-a", "glenorchy-b"},
                          values,
                          {"", "", link1.address, link2.address});
        if (!gateways.waitUntilReady(Millis(15000))) {
            std::cerr << "the gateways did not become ready\n";
            return 2;
        }
        std::this_thread::sleep_for(Millis(4000)); /* stability_window_ms */
        const auto begin = Clock::now();
        int changes = 0;
        if (isTrouble) {
            for (long at = 0; at < stormForMs; at += stormGapMs) {
                std::this_thread::sleep_until(begin + Millis(at));
                store.put("op/config", configOf(++version, routes, true));
                ++changes;
            }
            std::this_thread::sleep_until(begin + Millis(stormForMs));
        }
        store.put("op/config", configOf(++version, routes, false));
        ++changes;
        const auto confirmed = Clock::now();
        record.line("version " + std::to_string(version) + ", which takes key-2 away, is confirmed, the last of " + std::to_string(changes) + " changes of "
                    + std::to_string(configOf(version, routes, false).size()) + " bytes");
        std::atomic<int> late{0}; /* requests with the dropped key, sent after the bound, that ran */
        std::atomic<int> refused{0};
        std::atomic<long> latest{0};
        std::vector<std::thread> clients;
        for (auto &gateway : gateways.all) {
            clients.emplace_back([&, &gateway = gateway] {
                for (int i = 0; Clock::now() < confirmed + Millis(applyMs + watchedMs); ++i) {
                    const auto id = gateway.vm + "-" + std::to_string(i);
                    const auto sentMs = std::chrono::duration_cast<Millis>(Clock::now() - confirmed).count();
                    const auto result = call(gateway.callerAddress,
                                             "GET /lookup/x HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key-2\r\nCyclamenspool-Request-Id: " + id
                                                 + "\r\nCyclamenspool-Deadline-Ms: 1500\r\nConnection: close\r\n\r\n",
                                             Millis(1600));
                    bool hasRun = false;
                    {
                        const std::lock_guard lock(ranMutex);
                        hasRun = ran.count(id) > 0;
                    }
                    const bool isLate = sentMs > applyMs && hasRun;
                    record.line("request " + id + " with key-2, sent " + std::to_string(sentMs) + " ms after the confirmation: status "
                                + std::to_string(result.status) + (hasRun ? ", run" : ", not run") + (isLate ? ", too late" : ""));
                    late += isLate ? 1 : 0;
                    refused += result.status == 401 ? 1 : 0;
                    if (hasRun && sentMs > latest) {
                        latest = sentMs;
                    }
                    std::this_thread::sleep_for(Millis(100));
                }
            });
        }
        for (auto &client : clients) {
            client.join();
        }
        std::ostringstream summary;
        summary << "trouble " << isTrouble << ": " << changes << " changes; " << late << " requests with the dropped key ran that were sent more than "
                << applyMs << " ms after the confirmation, the latest that ran was sent " << latest << " ms after it; " << refused << " got 401";
        record.line(summary.str());
        std::cout << summary.str() << '\n';
        broken = late > 0 ? 1 : 0;
    }
    std::filesystem::remove_all(pattern);
    return broken;
} catch (const std::exception &error) {
    std::cerr << error.what() << '\n';
    return 2;
}
