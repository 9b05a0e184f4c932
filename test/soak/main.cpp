#include "soakfleet.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <csignal>
#include <functional>
#include <future>
#include <iostream>
#include <optional>
#include <thread>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using harness::ProxyMode;
using soak::Behaviour;
using soak::Kind;

namespace {

using Clock = std::chrono::steady_clock;

constexpr auto mixedPhase = 6s; /* faults overlap */
constexpr auto settleTime = 1500ms; /* between the end of the mixed faults and a check that needs calm */
constexpr auto leaveBound = 2000ms; /* default of leave_ms: a leaving server gets no new work after it */
constexpr auto configurationBound = 2000ms; /* a new version is in force everywhere within it */
constexpr auto agreementBound = 3000ms; /* after five backend servers ended under a part, for the gateways to agree */
constexpr int maxLaterPoison = 3; /* requests with that part after it, over all gateways */
constexpr int callers = 6;

/** @brief One seeded run: callers send requests while faults come and go, then calm checks follow. */
class Run
{
public:
    Run(std::uint64_t seed, const soak::FleetSize &size)
        : seed_(seed)
        , random_(seed)
        , fleet_(size)
    {
    }

    /** @brief Returns all broken promises. */
    std::vector<soak::Violation> play()
    {
        std::vector<std::future<void>> threads;
        for (int caller = 0; caller < callers; ++caller) {
            threads.push_back(std::async(std::launch::async, [this, caller, callerSeed = random_.bits()] {
                sendRequests(caller, callerSeed);
            }));
        }
        playMixedFaults();
        endFaults();
        checkRecovery();
        checkLeaving();
        checkConfiguration();
        checkPoison();
        checkStoreReturn();
        checkStoreRestored();
        checkPlannedStop();
        isOver_ = true;
        for (auto &thread : threads) {
            thread.get();
        }
        checkTotals();
        return promises_.check(fleet_.runs());
    }

    [[nodiscard]] const soak::Promises &promises() const noexcept
    {
        return promises_;
    }

    [[nodiscard]] const soak::SoakFleet &fleet() const noexcept
    {
        return fleet_;
    }

private:
    void sendRequests(int caller, std::uint64_t callerSeed)
    {
        core::RandomSource random(callerSeed);
        for (int number = 0; !isOver_; ++number) {
            const auto id = std::to_string(seed_) + "-" + std::to_string(caller) + "-" + std::to_string(number);
            const auto kind = static_cast<Kind>(random.index(static_cast<std::size_t>(Kind::Count)));
            fleet_.call(id, kind, random.index(fleet_.fleet.gateways.size()), promises_);
            std::this_thread::sleep_for(std::chrono::milliseconds(5 + random.index(20)));
        }
    }

    void log(const std::string &fault, std::size_t target, std::chrono::milliseconds time)
    {
        const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start_);
        std::cout << "  " << at.count() << " ms: " << fault << ' ' << target << " for " << time.count() << " ms\n";
    }

    /** @brief Starts a fault and registers its end. */
    void begin(const std::string &fault, std::size_t target, const std::function<void()> &action, std::function<void()> end)
    {
        const std::chrono::milliseconds time(200 + random_.index(1500));
        log(fault, target, time);
        action();
        ends_.push_back({Clock::now() + time, std::move(end)});
    }

    void beginRandomFault()
    {
        const auto gateway = random_.index(fleet_.fleet.gateways.size());
        const auto server = random_.index(fleet_.serverProxies.size());
        const auto proxyMode = static_cast<ProxyMode>(1 + random_.index(5));
        auto &process = fleet_.fleet.gateways[gateway].process;
        const auto setStoreMode = [this, gateway](ProxyMode mode) {
            fleet_.storeProxies[gateway]->setMode(mode);
        };
        const auto setServerMode = [this, server](ProxyMode mode) {
            fleet_.serverProxies[server]->setMode(mode);
        };
        switch (random_.index(10)) {
        case 0:
            return begin(
                "gateway killed",
                gateway,
                [&] {
                    process.kill();
                },
                [this, gateway] {
                    fleet_.restart(gateway);
                });
        case 1:
            return begin(
                "gateway paused",
                gateway,
                [&] {
                    process.signal(SIGSTOP);
                },
                [&process] {
                    process.signal(SIGCONT);
                });
        case 2:
            return begin(
                "gateway stopped by plan",
                gateway,
                [&] {
                    process.signal(SIGTERM);
                },
                [this, gateway] {
                    fleet_.restart(gateway);
                });
        case 3:
            return begin(
                "store proxy mode of gateway",
                gateway,
                [&] {
                    setStoreMode(proxyMode);
                },
                [setStoreMode] {
                    setStoreMode(ProxyMode::Pass);
                });
        case 4:
            return begin(
                "store answers 503",
                0,
                [&] {
                    fleet_.fleet.store.setStatus(503);
                },
                [this] {
                    fleet_.fleet.store.setStatus(200);
                });
        case 5:
            return begin(
                "store forgets its history",
                0,
                [&] {
                    fleet_.fleet.store.compact();
                },
                [] {});
        case 6:
            return begin(
                "server connections reset",
                server,
                [&] {
                    fleet_.serverProxies[server]->resetConnections();
                },
                [] {});
        case 7:
            return begin(
                "server proxy mode",
                server,
                [&] {
                    setServerMode(proxyMode);
                },
                [setServerMode] {
                    setServerMode(ProxyMode::Pass);
                });
        case 8:
            return begin(
                "server leaves",
                server,
                [&] {
                    fleet_.listServer(server, "draining");
                },
                [this, server] {
                    fleet_.listServer(server, "ready");
                });
        default: {
            const auto behaviour = static_cast<Behaviour>(1 + random_.index(static_cast<std::size_t>(Behaviour::Count) - 1));
            const auto name = "server behaviour " + std::to_string(static_cast<int>(behaviour));
            return begin(
                name,
                server,
                [&] {
                    fleet_.setBehaviour(server, behaviour);
                },
                [this, server] {
                    fleet_.setBehaviour(server, Behaviour::Sound);
                });
        }
        }
    }

    /** @brief Takes the store away and lets it return from a copy; the servers write their entries again later, within two seconds of its return. */
    void beginStoreRestore(harness::FakeStore::Copy copy, core::RandomSource &random)
    {
        auto &store = fleet_.fleet.store;
        const std::chrono::milliseconds time(200 + random.index(1500));
        log("store restored from an older copy", 0, time);
        store.setSilent(true);
        const auto back = Clock::now() + time;
        ends_.push_back({back, [&store, copy = std::move(copy)] {
                             store.restore(copy);
                             store.setSilent(false);
                         }});
        ends_.push_back({back + std::chrono::milliseconds(random.index(1900)), [this] {
                             fleet_.listServersAgain();
                         }});
    }

    void playMixedFaults()
    {
        auto nextFault = Clock::now();
        core::RandomSource restoreRandom(seed_ + 2); /* of its own, as in checkStoreReturn() */
        const auto copyAt = start_ + std::chrono::milliseconds(restoreRandom.index(2000));
        const auto restoreAt = copyAt + std::chrono::milliseconds(500 + restoreRandom.index(3000));
        std::optional<harness::FakeStore::Copy> copy;
        bool isRestored = false;
        while (Clock::now() - start_ < mixedPhase) {
            if (!copy && Clock::now() >= copyAt) {
                copy = fleet_.fleet.store.copy();
            }
            if (!isRestored && Clock::now() >= restoreAt) {
                isRestored = true;
                beginStoreRestore(*copy, restoreRandom);
            }
            if (Clock::now() >= nextFault) {
                beginRandomFault();
                nextFault = Clock::now() + std::chrono::milliseconds(100 + random_.index(600));
            }
            std::this_thread::sleep_for(20ms);
            endDueFaults(Clock::now());
        }
    }

    void endDueFaults(Clock::time_point now)
    {
        for (auto fault = ends_.begin(); fault != ends_.end();) {
            const bool isDue = fault->at <= now;
            if (isDue) {
                fault->action();
            }
            fault = isDue ? ends_.erase(fault) : std::next(fault);
        }
    }

    void endFaults()
    {
        endDueFaults(Clock::time_point::max());
        // A planned stop takes up to the grace period of 6 s; a gateway that still stops is started again once it has exited.
        for (auto &gateway : fleet_.fleet.gateways) {
            gateway.process.signal(SIGCONT);
            static_cast<void>(harness::GatewayFleet::isReady(gateway) ? 0 : gateway.process.wait(7s));
        }
        if (!fleet_.recover()) {
            promises_.addViolation({"recovery", "", "a gateway is not ready 10 s after all faults have ended"});
        }
        std::this_thread::sleep_for(settleTime);
    }

    void checkRecovery()
    {
        for (std::size_t gateway = 0; gateway < fleet_.fleet.gateways.size(); ++gateway) {
            for (int i = 0; i < 10; ++i) {
                const auto id = std::to_string(seed_) + "-recovery-" + std::to_string(gateway) + "-" + std::to_string(i);
                soak::Promises own;
                fleet_.call(id, Kind::Once, gateway, own);
                if (own.answeredCount() == 0) {
                    promises_.addViolation({"recovery", id, "not answered by gateway " + std::to_string(gateway) + " after all faults have ended"});
                }
            }
        }
    }

    void checkLeaving()
    {
        const auto server = random_.index(fleet_.serverProxies.size());
        log("check: server leaves", server, leaveBound);
        fleet_.listServer(server, "draining");
        std::this_thread::sleep_for(leaveBound);
        expectNoNewWork(server);
        fleet_.listServer(server, "ready");
    }

    void expectNoNewWork(std::size_t server)
    {
        auto &backend = *fleet_.fleet.backendServers[server];
        const int before = backend.totalRunCount();
        std::this_thread::sleep_for(500ms);
        if (backend.totalRunCount() != before) {
            promises_.addViolation({"no new work to a leaving server", "", std::to_string(backend.totalRunCount() - before) + " requests at " + backend.id()});
        }
    }

    void checkStoreReturn()
    {
        core::RandomSource random(seed_); /* of its own: the draws of the other checks belong to the listed seeds */
        const auto silence = std::chrono::milliseconds(300 + random.index(3000));
        const auto server = random.index(fleet_.serverProxies.size());
        log("check: the store answers nobody, then a server leaves and a key is added", server, silence);
        fleet_.fleet.store.setSilent(true);
        std::this_thread::sleep_for(silence);
        fleet_.fleet.store.setSilent(false);
        fleet_.listServer(server, "draining");
        fleet_.publishKeys({"key-late"});
        std::this_thread::sleep_for(std::max(configurationBound, leaveBound));
        expectKey("key-late", true, "configuration in force in time after the store's return");
        expectNoNewWork(server);
        fleet_.listServer(server, "ready");
        fleet_.publishKeys({});
    }

    void checkStoreRestored()
    {
        core::RandomSource random(seed_ + 1); /* of its own, as in checkStoreReturn() */
        const auto absence = std::chrono::milliseconds(200 + random.index(2000));
        const auto delay = std::chrono::milliseconds(random.index(1500));
        const auto server = random.index(fleet_.serverProxies.size());
        auto &store = fleet_.fleet.store;
        fleet_.publishKeys({"key-lost"});
        std::this_thread::sleep_for(configurationBound);
        log("check: store restored from an older copy, then a server leaves and a key is added", server, absence);
        const auto copy = store.copy();
        fleet_.publishKeys({});
        fleet_.listServer(server, "draining");
        std::this_thread::sleep_for(std::max(configurationBound, leaveBound));
        store.setSilent(true);
        std::this_thread::sleep_for(absence);
        store.restore(copy);
        store.setSilent(false);
        const auto back = Clock::now();
        while (Clock::now() - back < delay) {
            expectKey("key-lost", false, "no version returns with the store's older copy");
            std::this_thread::sleep_for(20ms);
        }
        fleet_.listServer(server, "draining");
        fleet_.publishKeys({"key-restored"});
        std::this_thread::sleep_for(std::max(configurationBound, leaveBound));
        expectKey("key-restored", true, "configuration in force in time after a restore");
        expectKey("key-lost", false, "no version returns with the store's older copy");
        expectNoNewWork(server);
        fleet_.listServer(server, "ready");
        fleet_.publishKeys({});
    }

    void checkConfiguration()
    {
        log("check: a key is added and revoked", 0, configurationBound);
        fleet_.publishKeys({"key-new"});
        std::this_thread::sleep_for(configurationBound);
        expectKey("key-new", true, "configuration in force in time");
        fleet_.publishKeys({});
        std::this_thread::sleep_for(configurationBound);
        expectKey("key-new", false, "a revoked key is refused, and no version returns");
    }

    void callPoison(int number)
    {
        fleet_.callPoison(std::to_string(seed_) + "-poison-" + std::to_string(number), random_.index(fleet_.fleet.gateways.size()));
    }

    void checkPoison()
    {
        log("check: a prompt part ends backend servers", 0, agreementBound);
        int number = 0;
        for (; fleet_.poisonRunCount() < 5 && number < 40; ++number) {
            callPoison(number);
            std::this_thread::sleep_for(50ms);
        }
        std::this_thread::sleep_for(agreementBound);
        const int before = fleet_.poisonRunCount();
        for (const int end = number + 30; number < end; ++number) {
            callPoison(number);
        }
        const int later = fleet_.poisonRunCount() - before;
        if (later > maxLaterPoison) {
            promises_.addViolation(
                {"a part that ends backend servers is sent to no more", "", std::to_string(later) + " sent after " + std::to_string(before)});
        }
    }

    void expectKey(const std::string &key, bool isExpected, const std::string &promise)
    {
        for (std::size_t gateway = 0; gateway < fleet_.fleet.gateways.size(); ++gateway) {
            const auto accepted = fleet_.acceptsKey(gateway, key);
            if (accepted && *accepted != isExpected) {
                promises_.addViolation({promise, "", "gateway " + std::to_string(gateway)});
            }
        }
    }

    void checkPlannedStop()
    {
        const auto gateway = random_.index(fleet_.fleet.gateways.size());
        log("check: gateway stopped by plan", gateway, 6000ms);
        const auto from = Clock::now();
        fleet_.fleet.gateways[gateway].process.signal(SIGTERM);
        const int status = fleet_.fleet.gateways[gateway].process.wait(8s);
        promises_.addPlannedStop({gateway, from, Clock::now()});
        if (status != 0) {
            promises_.addViolation({"a planned stop ends in time", "", "exit status " + std::to_string(status)});
        }
        fleet_.restart(gateway);
    }

    void checkTotals()
    {
        // Retry budget: 0.2 of the requests and 50 in 10 s, see GatewaySettings; the runs of a seed take about 25 s.
        int runs = 0;
        for (const auto &[id, count] : fleet_.runs()) {
            runs += std::max(count - 1, 0);
        }
        const double allowed = 0.2 * promises_.requestCount() + 3 * 50;
        if (runs > allowed) {
            promises_.addViolation({"retry budget", "", std::to_string(runs) + " repeated runs"});
        }
        if (promises_.answeredCount() * 4 < promises_.requestCount()) {
            promises_.addViolation(
                {"service", "", std::to_string(promises_.answeredCount()) + " of " + std::to_string(promises_.requestCount()) + " answered"});
        }
    }

    struct FaultEnd {
        Clock::time_point at;
        std::function<void()> action;
    };

    std::uint64_t seed_;
    core::RandomSource random_;
    soak::SoakFleet fleet_;
    soak::Promises promises_;
    std::vector<FaultEnd> ends_;
    std::atomic<bool> isOver_{false};
    Clock::time_point start_ = Clock::now();
};

/** @brief Prints the log lines of all gateways that name a request. */
void printTrace(const soak::SoakFleet &fleet, const std::string &request)
{
    for (const auto &gateway : fleet.fleet.gateways) {
        std::istringstream log(harness::GatewayFleet::readLog(gateway));
        for (std::string line; !request.empty() && std::getline(log, line);) {
            if (line.find('"' + request + '"') != std::string::npos) {
                std::cout << "    " << line << '\n';
            }
        }
    }
}

bool playSeed(std::uint64_t seed, const soak::FleetSize &size)
try {
    std::cout << "seed " << seed << ", " << size.gateways << " gateways in " << size.zones << " zones, " << size.backendServers << " backend servers\n";
    Run run(seed, size);
    const auto violations = run.play();
    std::cout << "  " << run.promises().answeredCount() << " of " << run.promises().requestCount() << " requests answered, " << violations.size()
              << " promises broken" << std::endl;
    constexpr std::size_t maxShown = 10;
    for (std::size_t i = 0; i < std::min(violations.size(), maxShown); ++i) {
        const auto &violation = violations[i];
        std::cout << "  BROKEN, seed " << seed << ": " << violation.promise << "; request " << violation.request << "; " << violation.detail << '\n';
        printTrace(run.fleet(), violation.request);
    }
    return violations.empty();
} catch (const std::exception &error) {
    std::cout << "  NOT PLAYED TO ITS END, seed " << seed << ": " << error.what() << std::endl;
    return false;
}

} // namespace

int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    std::uint64_t first = 1;
    int seeds = 1;
    int minutes = 0;
    soak::FleetSize size;
    options::options_description description("Plays seeded faults against real gateways and checks what callers and backend servers see.");
    description.add_options()("help", "show this text")("seeds", options::value(&seeds)->default_value(seeds), "number of seeds")(
        "first", options::value(&first)->default_value(first), "first seed")(
        "processes", options::value(&size.gateways)->default_value(size.gateways), "gateway processes, 1 to 200")(
        "minutes", options::value(&minutes)->default_value(minutes), "play seeds for this time instead of a number of seeds");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
        if (values.count("help") > 0) {
            std::cout << description;
            return 0;
        }
        if (size.gateways < 1 || size.gateways > 200 || seeds < 1 || minutes < 0) {
            throw options::error("--processes must be 1 to 200, --seeds at least 1, --minutes not negative");
        }
    } catch (const options::error &error) {
        std::cerr << "soak: " << error.what() << '\n';
        return 2;
    }
    size.zones = std::min(size.gateways, 1 + size.gateways / 3);
    size.backendServers = std::max(4, size.gateways / 3);
    const auto end = Clock::now() + std::chrono::minutes(minutes);
    int played = 0;
    int failed = 0;
    for (auto seed = first; minutes > 0 ? Clock::now() < end : played < seeds; ++seed, ++played) {
        failed += playSeed(seed, size) ? 0 : 1;
    }
    std::cout << played - failed << " passed, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}
