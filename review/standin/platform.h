#pragma once

// Stand-ins for what surrounds the gateways: the platform's store, runners, clients. POSIX sockets and threads only.

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/** @brief Header fields of a message, names in lower case. */
using Fields = std::multimap<std::string, std::string>;

/** @brief Returns the first value of a field; empty if there is none. @param name Name in lower case. */
std::string valueOf(const Fields &fields, const std::string &name);

/** @brief TCP connection, closed on destruction. */
class Connection
{
public:
    explicit Connection(int descriptor = -1)
        : descriptor_(descriptor)
    {
    }
    ~Connection()
    {
        close();
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /** @brief Connects to a port on 127.0.0.1. @return False on failure. */
    bool connect(int port);
    /** @brief Sends all bytes. @return False on failure. */
    bool write(const std::string &bytes);
    /** @brief Reads until the text is in the buffer. @return False if the connection ends or the time is over before. */
    bool readUntil(const std::string &text, Clock::time_point deadline);
    /** @brief Reads until the buffer holds so many bytes. @return False if the connection ends or the time is over before. */
    bool readBytes(std::size_t count, Clock::time_point deadline);
    /** @brief Reads once into the buffer. @return False if the connection ends or the time is over. */
    bool readSome(Clock::time_point deadline);
    /** @brief Returns whether the last failed read found the regular end of the connection (FIN). */
    [[nodiscard]] bool hasEnded() const noexcept
    {
        return hasEnded_;
    }
    /** @brief Takes bytes from the beginning of the buffer. */
    std::string take(std::size_t count);
    void close();
    /** @brief Closes with a reset. */
    void reset();
    [[nodiscard]] bool isOpen() const noexcept
    {
        return descriptor_ >= 0;
    }

    std::string buffer;

private:
    int descriptor_;
    bool hasEnded_ = false;
};

/** @brief Request as a server reads it. */
struct Request {
    std::string method;
    std::string target;
    Fields fields;
    std::string body;
};

/** @brief Reads the head of a request. @return Empty if the connection ends or the time is over before. */
std::optional<Request> readRequestHead(Connection &connection, Clock::time_point deadline);

/** @brief Reads the body of a request whose head was read, if it has a Content-Length. @return False if the connection ends or the time is over before. */
bool readRequestBody(Connection &connection, Request &request, Clock::time_point deadline);

/** @brief Reads a request with Content-Length or without a body. @return Empty if the connection ends or the time is over before. */
std::optional<Request> readRequest(Connection &connection, Clock::time_point deadline);

/** @brief Response as a client reads it. */
struct Response {
    int status = 0; /* 0: none */
    std::string head;
    Fields fields;
    std::string body;
    bool isComplete = false; /* by its length or last chunk, or by a FIN if it has neither */
    bool isFramed = false; /* by a length or chunks */
};

/** @brief Reads a response. @param onBody Called with each part of the body; may be null. */
Response readResponse(Connection &connection, Clock::time_point deadline, const std::function<void(const std::string &)> &onBody = nullptr);

/** @brief Server on a free port of 127.0.0.1 with a thread for each connection. */
class Server
{
public:
    using Handler = std::function<void(Connection &)>;
    /** @param receiveBytes Receive buffer of its connections; 0: as the system has it. */
    explicit Server(Handler handler, int receiveBytes = 0);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    [[nodiscard]] int port() const noexcept
    {
        return port_;
    }
    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(port_);
    }

private:
    void listen();

    Handler handler_;
    int descriptor_ = -1;
    int port_ = 0;
    std::atomic<int> open_{0};
    std::thread thread_;
};

/** @brief Returns a port of 127.0.0.1 that is free now. */
int freePort();

/** @brief The platform's store: range reads and watches over HTTP. */
class Store
{
public:
    Store();
    ~Store();
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    [[nodiscard]] std::string address() const
    {
        return server_->address();
    }

private:
    struct Item {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t createRevision = 0;
        bool isDeleted = false;
    };
    void serve(Connection &connection);
    std::string answer(const Request &request, int &status);
    static std::string format(const Item &item);

    std::mutex mutex_;
    std::condition_variable changed_;
    bool isStopping_ = false;
    std::uint64_t revision_ = 10;
    std::map<std::string, Item> items_;
    std::vector<Item> history_;
    std::unique_ptr<Server> server_;
};

/** @brief Keeps the entries of runners in the store as the runners do: a report each heartbeat. */
class Registry
{
public:
    struct Entry {
        std::string id;
        std::string service;
        std::string address;
        std::string zone;
        int slots = 6;
    };
    Registry(Store &store, Milliseconds heartbeat);
    ~Registry();
    void add(const Entry &entry);
    /** @brief Ends the reports of a runner; its entry is removed after three of them. */
    void silence(const std::string &id);

private:
    struct State {
        Entry entry;
        std::uint64_t sequence = 0;
        std::uint64_t born = 0;
        bool isSilent = false;
        int missed = 0;
    };
    void report(State &state);
    void run();

    Store &store_;
    Milliseconds heartbeat_;
    std::mutex mutex_;
    std::condition_variable stop_;
    bool isStopping_ = false;
    std::map<std::string, State> states_;
    std::thread thread_;
};

/** @brief In a new process: makes it end with the driver, however that ends. */
void endWithParent();

/** @brief A gateway, started as the deploy file says, with its template filled as the platform fills it. */
class Gateway
{
public:
    struct Options {
        std::string node;
        std::string zone;
        std::string storeAddress;
        std::vector<std::string> seeds; /* addresses of control ports */
        int controlPort = 0;
    };
    /** @param directory Folder for its settings and its log. */
    Gateway(const std::string &directory, const Options &options);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    void start();
    void signal(int number) const;
    /** @brief Waits until it answers its readiness check with 200. */
    [[nodiscard]] bool waitUntilReady(Milliseconds time) const;
    [[nodiscard]] int port() const noexcept
    {
        return frontPort_;
    }
    [[nodiscard]] pid_t process() const noexcept
    {
        return process_;
    }

private:
    std::string directory_;
    Options options_;
    int frontPort_;
    int readyPort_;
    int metricsPort_;
    pid_t process_ = -1;
};

/**
 * @brief Starts gateways that know each other as seeds, one in each of the zones bkk-a, bkk-b and so on.
 * @param directory Folder for their settings and logs.
 * @throws std::runtime_error If one is not ready within 10 s.
 */
std::vector<std::unique_ptr<Gateway>> startGateways(const std::string &directory, int count, const std::string &storeAddress);

/** @brief Returns the operator's configuration for the host desk.example and the key key-1. @param routes JSON objects. @param services JSON objects. */
std::string configuration(const std::string &routes, const std::string &services);

/** @brief The file record.txt: one line for each thing that was sent, answered or run. */
class Record
{
public:
    explicit Record(const std::string &file);
    ~Record();
    void add(const std::string &line);

private:
    std::mutex mutex_;
    Clock::time_point start_ = Clock::now();
    void *file_ = nullptr;
};

/** @brief Returns whether the environment asks for the run with the disruption (TROUBLE is not 0). */
bool hasTrouble();

/** @brief Returns a request id of 16 hexadecimal digits that differs from all earlier ones. */
std::string makeRequestId();

} // namespace review
