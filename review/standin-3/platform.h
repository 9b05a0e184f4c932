#pragma once

// Stand-ins of the users' platform for the scripts of this review: a store that is read only, runners, clients and the balancer's view of gateways.
// They are threads of the program that runs a case; the gateways are real processes.

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace standin {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

/** @brief Returns the seconds since the start of the program. */
double secondsSinceStart(Time time = Clock::now());

/** @brief Text file with a line for each thing that was sent, answered or run. Thread safe. */
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;

    /** @brief Appends a line with the time. */
    void add(const std::string &line);

private:
    std::mutex mutex_;
    FILE *file_;
};

/** @brief Head and body of a message. */
struct Message {
    std::string firstLine;
    std::map<std::string, std::string> fields; /**< Names in lower case. */
    std::string body;
};

/** @brief Blocking connection that carries HTTP/1.1 messages. */
class Connection
{
public:
    explicit Connection(int descriptor = -1);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /** @brief Connects to a port of 127.0.0.1. @return False if nothing listens. */
    bool connect(int port);

    /** @brief Reads a whole message; a response needs a Content-Length. @return False if the connection has ended or the time is over. */
    bool read(Message &message, Milliseconds timeout);

    bool write(const std::string &bytes);
    void close(bool isReset = false);
    [[nodiscard]] bool isOpen() const noexcept
    {
        return descriptor_ >= 0;
    }
    [[nodiscard]] int descriptor() const noexcept
    {
        return descriptor_;
    }

private:
    bool fill(Time until);

    std::atomic<int> descriptor_;
    std::string buffer_;
};

/** @brief Listening socket of 127.0.0.1 with a thread for each connection. */
class Server
{
public:
    using Handler = std::function<void(Connection &)>;

    explicit Server(Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    [[nodiscard]] int port() const noexcept
    {
        return port_;
    }

    /** @brief Resets all open connections. */
    void resetConnections();

    void stop();

private:
    void run();

    Handler handler_;
    int port_ = 0;
    int listener_ = -1; /* after port_, which it sets */
    std::atomic<bool> isStopping_{false};
    std::mutex mutex_;
    std::set<Connection *> open_;
    std::atomic<int> handlers_{0};
    std::thread thread_;
};

/** @brief The platform's store: items, lists and watches. */
class Store
{
public:
    Store();

    [[nodiscard]] int port() const noexcept
    {
        return server_->port();
    }

    /** @brief Writes an item, unless the store is down. @return False if it is down. */
    bool put(const std::string &key, const std::string &value);

    /** @brief While it is down the store answers nothing and takes nothing (silent). */
    void setDown(bool isDown);

    void stop();

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };

    void serve(Connection &connection);
    std::string list(const std::string &prefix);
    std::string watch(const std::string &prefix, std::uint64_t after, Milliseconds wait);
    std::string format(const std::string &key, const Item &item) const;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Item> items_;
    std::uint64_t revision_ = 10;
    bool isDown_ = false;
    std::atomic<bool> isStopping_{false};
    std::unique_ptr<Server> server_;
};

/** @brief Arrival of a request at a runner. */
struct Arrival {
    Time at;
    Time sentAt; /**< By the client, as its request says. */
    bool isCold = false;
    bool hasRun = false;
};

/** @brief A runner of a service; it crashes, once, if it is cold and gets well over what it tolerates in a second. */
class Runner
{
public:
    Runner(Store &store, Record &record, std::string id, std::string service, std::string zone);

    /** @brief Becomes cold for a time. */
    void turnCold(Milliseconds time);

    /** @brief Writes its entry if more than its sequence has changed; called about every heartbeat. */
    void report();

    void stop();
    [[nodiscard]] std::vector<Arrival> arrivals();
    [[nodiscard]] bool hasCrashed() const noexcept
    {
        return hasCrashed_;
    }

    int toleratedPerSecond = 24; /**< While cold: twice `cold_per_s`. */
    Milliseconds workTime{60};

private:
    void serve(Connection &connection);
    [[nodiscard]] bool isCold(Time now) const;
    void crashIfOverrun(Time now);

    Store &store_;
    Record &record_;
    std::string id_;
    std::string service_;
    std::string zone_;
    mutable std::mutex mutex_;
    Time coldUntil_{};
    std::vector<Arrival> arrivals_;
    std::string lastEntry_;
    std::uint64_t sequence_ = 0;
    std::atomic<bool> hasCrashed_{false};
    std::unique_ptr<Server> server_;
};

/** @brief Process of a gateway. */
class Gateway
{
public:
    Gateway(std::string program, std::string folder, std::string name, std::string zone);
    ~Gateway();

    /** @brief Writes the settings file, as deploy/gateway.yaml.template fills it. */
    void configure(int storePort, const std::vector<int> &seedPorts);
    void start();
    void signal(int number);
    void waitForEnd();
    [[nodiscard]] bool isReady() const;

    int callerPort = 0;
    int readyPort = 0;
    int peerPort = 0;
    int metricsPort = 0;

private:
    std::string program_;
    std::string folder_;
    std::string name_;
    std::string zone_;
    int process_ = -1;
};

/** @brief Returns a free port. */
int freePort();

/** @brief Returns the most arrivals within one second, of those that are cold and whose request the client sent within that second too. */
std::size_t mostInOneSecond(const std::vector<Arrival> &arrivals, double &beginsAt);

} // namespace standin
