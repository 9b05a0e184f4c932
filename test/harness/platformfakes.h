#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cyclamenspool::harness {

using PlainRequest = boost::beast::http::request<boost::beast::http::string_body>;
using PlainSocket = boost::asio::ip::tcp::socket;

/** @brief Loopback server with one thread a connection; a handler writes the bytes of each answer itself. */
class ThreadServer
{
public:
    /** @brief Answers a request. Arguments: request, connection. Returns false to close the connection. */
    using Handler = std::function<bool(const PlainRequest &, PlainSocket &)>;

    /** @brief Starts to listen. @param handler Handler, called on the connections' threads. */
    explicit ThreadServer(Handler handler);
    ~ThreadServer();
    ThreadServer(const ThreadServer &) = delete;
    ThreadServer &operator=(const ThreadServer &) = delete;

    /** @brief Returns the address. @return IP number and port. */
    [[nodiscard]] const std::string &address() const noexcept
    {
        return address_;
    }

    /** @brief Resets every open connection. */
    void resetAll();

private:
    void listen();
    void serve(PlainSocket &socket);

    std::string address_;
    Handler handler_;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::list<PlainSocket> sockets_;
    std::vector<std::thread> threads_;
    std::thread listener_;
};

/** @brief The platform's store: items with revisions, ranges in pages, watches that wait. It has a second address that can fail alone. */
class FakeStore
{
public:
    FakeStore();

    /** @brief Writes an item. @param key Key. @param value Bytes. */
    void put(const std::string &key, const std::string &value);

    /** @brief Removes an item. @param key Key. */
    void remove(const std::string &key);

    /** @brief Makes every call be answered with a status. @param status Status; 200: as usual. */
    void setStatus(int status);

    /** @brief Makes every call at the second address be answered with a status. @param status Status; 200: as usual. */
    void setSideStatus(int status);

    /** @brief Drops the history: watches from earlier revisions are answered 410. */
    void compact();

    /** @brief Returns the address. @return IP number and port. */
    [[nodiscard]] const std::string &address() const noexcept
    {
        return server_.address();
    }

    /** @brief Returns the second address. @return IP number and port. */
    [[nodiscard]] const std::string &sideAddress() const noexcept
    {
        return sideServer_.address();
    }

private:
    struct Change {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        bool isDeleted = false;
    };

    bool answer(const PlainRequest &request, PlainSocket &socket, const std::atomic<int> &forced);
    [[nodiscard]] std::string range(const std::string &prefix, const std::string &after);
    [[nodiscard]] std::string watch(const std::string &prefix, std::uint64_t after, std::chrono::milliseconds wait);
    void record(const Change &change);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Change> items_;
    std::vector<Change> history_;
    std::uint64_t revision_ = 1;
    std::uint64_t firstKept_ = 0;
    std::atomic<int> status_{200};
    std::atomic<int> sideStatus_{200};
    ThreadServer server_;
    ThreadServer sideServer_;
};

/** @brief A backend server whose answers a test writes; it counts the requests that it ran by id. */
class FakeRunner
{
public:
    /** @brief Creates a runner. @param id Id in the list. */
    explicit FakeRunner(std::string id);

    /** @brief Sets how requests are answered; by default with a whole sealed answer. @param answer Handler. */
    void onRequest(ThreadServer::Handler answer);

    /** @brief Returns its entry of the list. @param service Service. @param state State. @return JSON. */
    [[nodiscard]] std::string entry(const std::string &service, const std::string &state = "ready") const;

    /** @brief Counts the runs of a request. @param requestId Request. @return Runs. */
    [[nodiscard]] int runsOf(const std::string &requestId);

    /** @brief Counts all runs. @return Runs. */
    [[nodiscard]] int runs();

    /** @brief Returns the last request. @return Copy. */
    [[nodiscard]] PlainRequest last();

    /** @brief Returns the id. @return Id. */
    [[nodiscard]] const std::string &id() const noexcept
    {
        return id_;
    }

    /** @brief Resets every open connection. */
    void resetAll()
    {
        server_.resetAll();
    }

private:
    bool answer(const PlainRequest &request, PlainSocket &socket);

    std::string id_;
    std::mutex mutex_;
    std::map<std::string, int> runs_;
    PlainRequest last_;
    ThreadServer::Handler handler_;
    ThreadServer server_;
};

/** @brief Writes bytes. @param socket Connection. @param bytes Bytes. @return False if the peer is gone. */
bool writeAll(PlainSocket &socket, const std::string &bytes);

/** @brief Formats a sealed answer with a length. @param request Request. @param body Body. @param status Status line's rest. @return Bytes. */
[[nodiscard]] std::string sealed(const PlainRequest &request, const std::string &body, const std::string &status = "200 OK");

} // namespace cyclamenspool::harness
