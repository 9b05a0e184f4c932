// Runs the cases about cold runners: cold kill|freeze|outage RECORD TROUBLE, from the repository's root.

#include "platform.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>

using namespace standin;

namespace {

constexpr std::size_t allowedInOneSecond = 23; /* cold_per_s 12 x cold_over 1.5 + cold_slack 5 */
constexpr const char *apiKey = "n2ctnfzs989anu6wsjnb";

const char *const configuration
    = R"({"version":7,"routes":[{"name":"r-look","host":"ficu95.example","prefix":"/cufi504/","kind":"non_idempotent","timeout_ms":4000,)"
      R"("target_latency_ms":300,"priority":1,"service":"huvo11a","max_attempts":1,"anonymous":false}],)"
      R"("services":[{"name":"huvo11a","health_path":"/healthz","max_connections":370,"cold_start_s":3.0,"cold_per_s":12.0}],)"
      R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
      R"("tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]})";

/** @brief Clients of one gateway, each with one kept connection; together they send a number of requests per second. */
class Clients
{
public:
    Clients(Gateway &gateway, Record &record, std::string name, int count, double perSecond)
        : gateway_(gateway)
        , record_(record)
        , name_(std::move(name))
    {
        const auto start = Clock::now();
        for (int i = 0; i < count; ++i) {
            threads_.emplace_back([this, i, count, perSecond, start] {
                run(i,
                    std::chrono::duration<double>(count / perSecond),
                    start + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(i / perSecond)));
            });
        }
    }

    void stop()
    {
        isStopping_ = true;
        for (auto &thread : threads_) {
            thread.join();
        }
    }

    std::atomic<int> answered{0};
    std::atomic<int> refused{0};
    std::atomic<int> lost{0}; /* 502, or the connection ended */

private:
    void run(int number, std::chrono::duration<double> period, Time next)
    {
        Connection connection;
        for (int sent = 0; !isStopping_; ++sent) {
            std::this_thread::sleep_until(next);
            next += std::chrono::duration_cast<Clock::duration>(period);
            if (!connection.isOpen() && !connection.connect(gateway_.callerPort)) {
                continue;
            }
            const auto id = name_ + "-" + std::to_string(number) + "-" + std::to_string(sent);
            const auto now = std::chrono::duration_cast<std::chrono::nanoseconds>(Clock::now().time_since_epoch()).count();
            record_.add("client sends " + id);
            connection.write("POST /cufi504/2f HTTP/1.1\r\nHost: ficu95.example\r\nCyclamenspool-Request-Id: " + id
                             + "\r\nCyclamenspool-Deadline-Ms: 4000\r\nX-Sent-Ns: " + std::to_string(now) + "\r\nAuthorization: Bearer " + apiKey
                             + "\r\nContent-Length: 4\r\n\r\nbook");
            Message response;
            const bool isAnswered = connection.read(response, Milliseconds(4000));
            const auto status = isAnswered ? response.firstLine.substr(9, 3) : std::string("none");
            record_.add("client gets " + status + " for " + id);
            (status == "200" ? answered : (status == "503" ? refused : lost))++;
            if (!isAnswered || response.fields["connection"] == "close") {
                connection.close();
            }
        }
    }

    Gateway &gateway_;
    Record &record_;
    std::string name_;
    std::atomic<bool> isStopping_{false};
    std::vector<std::thread> threads_;
};

/** @brief A small deployment: three zones with a gateway each, one service with two runners. */
class Deployment
{
public:
    Deployment(const std::string &recordPath, const std::string &folder, const std::vector<std::string> &runnerIds)
        : record(recordPath)
    {
        const std::vector<std::string> zones{"hobart-a", "glenorchy-b", "kingston-c"};
        for (const auto &zone : zones) {
            gateways.push_back(std::make_unique<Gateway>("target/cyclamenspool", folder, "edge-" + zone + "-1", zone));
        }
        std::vector<int> seeds;
        for (const auto &gateway : gateways) {
            seeds.push_back(gateway->peerPort);
        }
        store.put("op/config", configuration);
        for (const auto &id : runnerIds) {
            runners.push_back(std::make_unique<Runner>(store, record, id, "huvo11a", zones[runners.size()]));
            runners.back()->report();
        }
        for (const auto &gateway : gateways) {
            gateway->configure(store.port(), seeds);
            gateway->start();
        }
        heartbeat_ = std::thread([this] {
            // Each runner writes about every 1,200 ms.
            for (int tick = 0; !isStopping_; ++tick) {
                std::this_thread::sleep_for(Milliseconds(100));
                for (std::size_t i = 0; i < runners.size(); ++i) {
                    if (tick % 12 == static_cast<int>(i) * 5) {
                        runners[i]->report();
                    }
                }
            }
        });
    }

    bool waitUntilReady()
    {
        const auto until = Clock::now() + std::chrono::seconds(10);
        while (Clock::now() < until) {
            const bool areReady = std::all_of(gateways.begin(), gateways.end(), [](const auto &each) {
                return each->isReady();
            });
            if (areReady) {
                record.add("all gateways are ready");
                return true;
            }
            std::this_thread::sleep_for(Milliseconds(100));
        }
        return false;
    }

    void stop()
    {
        isStopping_ = true;
        heartbeat_.join();
        gateways.clear();
        for (auto &runner : runners) {
            runner->stop();
        }
        store.stop();
    }

    Record record;
    Store store;
    std::vector<std::unique_ptr<Runner>> runners;
    std::vector<std::unique_ptr<Gateway>> gateways;

private:
    std::atomic<bool> isStopping_{false};
    std::thread heartbeat_;
};

void sleepMs(int time)
{
    std::this_thread::sleep_for(Milliseconds(time));
}

using ClientGroups = std::vector<std::unique_ptr<Clients>>;

void addClients(Deployment &deployment, ClientGroups &groups, std::size_t gateway, int count, double perSecond)
{
    groups.push_back(std::make_unique<Clients>(*deployment.gateways[gateway], deployment.record, "c" + std::to_string(gateway), count, perSecond));
}

/** @brief Traffic begins while both runners are cold; all gateways are killed 0.35 s later, and started again after 0.2 s. */
void playKill(Deployment &deployment, ClientGroups &clients, bool isTrouble)
{
    for (auto &runner : deployment.runners) {
        runner->turnCold(Milliseconds(3000));
        runner->report();
    }
    sleepMs(800);
    for (std::size_t i = 0; i < deployment.gateways.size(); ++i) {
        addClients(deployment, clients, i, 40, 40);
    }
    sleepMs(350);
    if (isTrouble) {
        deployment.record.add("all gateways are killed");
        for (auto &gateway : deployment.gateways) {
            gateway->signal(SIGKILL);
            gateway->waitForEnd();
        }
        sleepMs(200);
        deployment.record.add("all gateways start again");
        for (auto &gateway : deployment.gateways) {
            gateway->start();
        }
    }
    sleepMs(2500);
}

/** @brief One gateway stands still for 0.95 s; at the beginning of that time a runner becomes cold and says so in the store. */
void playFreeze(Deployment &deployment, ClientGroups &clients, bool isTrouble)
{
    addClients(deployment, clients, 0, 100, 33);
    sleepMs(4000);
    auto &gateway = *deployment.gateways.front();
    if (isTrouble) {
        deployment.record.add("the first gateway stands still");
        gateway.signal(SIGSTOP);
    }
    sleepMs(50);
    deployment.runners.front()->turnCold(Milliseconds(3000));
    deployment.runners.front()->report();
    sleepMs(900);
    if (isTrouble) {
        deployment.record.add("the first gateway goes on");
        gateway.signal(SIGCONT);
    }
    sleepMs(2500);
}

/** @brief The store is silent for 4.5 s; both runners become cold 0.3 s after that has begun. */
void playOutage(Deployment &deployment, ClientGroups &clients, bool isTrouble)
{
    for (auto &runner : deployment.runners) {
        runner->toleratedPerSecond = 1000;
    }
    for (std::size_t i = 0; i < deployment.gateways.size(); ++i) {
        addClients(deployment, clients, i, 40, 40);
    }
    sleepMs(1500);
    if (isTrouble) {
        deployment.record.add("the store is silent");
        deployment.store.setDown(true);
    }
    sleepMs(300);
    for (auto &runner : deployment.runners) {
        runner->turnCold(Milliseconds(3000));
        runner->report();
    }
    sleepMs(4200);
    if (isTrouble) {
        deployment.record.add("the store answers");
        deployment.store.setDown(false);
    }
    sleepMs(500);
}

/** @brief Removes the arrivals of the first 1.5 s in which a runner is cold: a heartbeat of 1.2 s, and the time to read it. */
std::vector<Arrival> withoutFirstOnes(std::vector<Arrival> arrivals)
{
    const auto first = std::find_if(arrivals.begin(), arrivals.end(), [](const Arrival &each) {
        return each.isCold;
    });
    if (first != arrivals.end()) {
        const auto from = first->at + Milliseconds(1500);
        arrivals.erase(std::remove_if(arrivals.begin(),
                                      arrivals.end(),
                                      [from](const Arrival &each) {
                                          return each.at < from;
                                      }),
                       arrivals.end());
    }
    return arrivals;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 4) {
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const std::string name = argv[1];
    const bool isTrouble = std::strcmp(argv[3], "0") != 0;
    char folder[] = "/tmp/review-3-XXXXXX";
    if (::mkdtemp(folder) == nullptr) {
        return 2;
    }
    int result = 2;
    {
        const bool isFreeze = name == "freeze";
        const bool isOutage = name == "outage";
        const auto runnerIds = isFreeze ? std::vector<std::string>{"i-7f3a91c2"} : std::vector<std::string>{"i-7f3a91c2", "i-02d9e6b4"};
        Deployment deployment(argv[2], folder, runnerIds);
        if (deployment.waitUntilReady()) {
            sleepMs(1500);
            ClientGroups clients;
            (isOutage ? playOutage : isFreeze ? playFreeze : playKill)(deployment, clients, isTrouble);
            int answered = 0;
            int refused = 0;
            int lost = 0;
            for (auto &each : clients) {
                each->stop();
                answered += each->answered;
                refused += each->refused;
                lost += each->lost;
            }
            result = 0;
            for (auto &runner : deployment.runners) {
                double beginsAt = 0;
                const auto most = mostInOneSecond(isOutage ? withoutFirstOnes(runner->arrivals()) : runner->arrivals(), beginsAt);
                const auto line = "a runner got at most " + std::to_string(most) + " requests in one second while cold, from " + std::to_string(beginsAt)
                    + " s on; allowed " + std::to_string(allowedInOneSecond) + (runner->hasCrashed() ? "; it crashed" : "");
                deployment.record.add(line);
                std::puts(line.c_str());
                result = most > allowedInOneSecond ? 1 : result;
            }
            const auto line = "answered " + std::to_string(answered) + ", refused " + std::to_string(refused) + ", lost " + std::to_string(lost);
            deployment.record.add(line);
            std::puts(line.c_str());
        }
        deployment.stop();
    }
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::system((std::string("rm -r ") + folder).c_str());
    }
    return result;
}
