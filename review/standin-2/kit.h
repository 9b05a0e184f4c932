#pragma once

#include "platformfakes.h"
#include "ports.h"
#include "process.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/** @brief Stand-ins and small helpers that the scripts of this review share. */
namespace review {

namespace asio = boost::asio;
namespace bhttp = boost::beast::http;
using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;
using Request = bhttp::request<bhttp::string_body>;
using Socket = asio::ip::tcp::socket;

/** @brief Milliseconds since the script started. */
long sinceStart();

/** @brief Text file of what was sent, answered and run. Thread safe. */
class Record
{
public:
    explicit Record(const std::string &file);
    void line(const std::string &text);

private:
    std::mutex mutex_;
    std::ofstream out_;
};

/** @brief A runner: HTTP/1.1 server with one thread per connection. It rejects requests that expect another instance. */
class Runner
{
public:
    /** @brief Handles a request that was read whole, with the socket to answer on. @return False to close the connection. */
    using Handler = std::function<bool(const Request &, Socket &)>;

    Runner(std::string id, std::string service, std::string zone, int slots, Handler handler);
    ~Runner();
    Runner(const Runner &) = delete;
    Runner &operator=(const Runner &) = delete;

    [[nodiscard]] std::string entry(const std::string &state = "ready") const; /* raises the sequence */
    [[nodiscard]] int arrivals() const
    {
        return arrivals_;
    }

    const std::string id;
    const std::string service;
    const std::string zone;

private:
    void listen();
    void serve(Socket &socket);

    int slots_;
    Handler handler_;
    std::string address_;
    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    std::atomic<bool> isStopping_{false};
    std::atomic<int> arrivals_{0};
    mutable std::atomic<int> sequence_{0};
    std::int64_t bornUnixMs_;
    std::mutex mutex_;
    std::list<Socket> sockets_;
    std::vector<std::thread> threads_;
    std::thread listener_;
};

/** @brief Writes the entries of runners to the store, as they do every 1,200 ms, until destruction. */
class Heartbeats
{
public:
    Heartbeats(cyclamenspool::harness::FakeStore &store, std::vector<Runner *> runners);
    ~Heartbeats();

private:
    std::atomic<bool> isStopping_{false};
    std::thread thread_;
};

/** @brief A gateway process, started with the deploy file's command and settings like those of a small deployment. */
struct Gateway {
    std::string vm;
    std::string zone;
    std::string callerAddress = cyclamenspool::harness::findFreeAddress();
    std::string readyAddress = cyclamenspool::harness::findFreeAddress();
    std::string peerAddress = cyclamenspool::harness::findFreeAddress();
    std::string metricsAddress = cyclamenspool::harness::findFreeAddress();
    std::string settingsFile;
    std::string logFile;
    cyclamenspool::harness::Process process;
};

/** @brief Values of a small deployment that a script may set. */
struct DeploymentValues {
    double graceSeconds = 8;
    int retrySlack = 56;
    int leaveMs = 2000;
    int configurationMs = 2000;
};

/** @brief Writes the settings of gateways into a folder and starts them. */
class Gateways
{
public:
    /** @brief Starts gateways. @param stores Address of the store for each gateway; empty ones, and a missing list: the first parameter's. */
    Gateways(const std::string &program,
             const std::string &folder,
             const std::string &storeAddress,
             const std::vector<std::string> &zones,
             const DeploymentValues &values = {},
             const std::vector<std::string> &stores = {});

    void start(Gateway &gateway);
    bool waitUntilReady(Millis limit);
    [[nodiscard]] bool isReady(const Gateway &gateway) const;

    std::vector<Gateway> all;

private:
    std::string program_;
};

/** @brief What a client saw of one request. */
struct Result {
    int status = 0; /* 0: the channel ended without a complete answer, or the client gave up */
    std::string body;
    bool isGivenUp = false;
    bool isConnected = false;
    bool isSent = false; /* the whole request was written */
    long tookMs = 0;
};

/** @brief Sends one request on a new channel and reads its answer, for at most a time. */
Result call(const std::string &address, const std::string &request, Millis limit);

/** @brief Resident memory of a process in MiB; 0 if it does not run. */
double residentMiB(pid_t process);

/** @brief Text of an answer in a form that the system accepts: digest, id and length. */
std::string answerTo(const Request &request, const std::string &body, const std::string &status = "200 OK", const std::string &more = "");

/** @brief Headers of an answer to a stream, in chunks. */
std::string streamHeadTo(const Request &request);

/** @brief One chunk. */
std::string chunk(const std::string &bytes);

/** @brief Writes bytes; false if the connection ended. */
bool writeAll(Socket &socket, const std::string &bytes);

std::string field(const Request &request, const std::string &name);

/** @brief Value of an environment variable, or a default. */
std::string variable(const char *name, const std::string &fallback);

} // namespace review
