#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace cyclamenspool::harness {

/** @brief HTTP request with its body as a string. */
using PlainRequest = boost::beast::http::request<boost::beast::http::string_body>;
/** @brief TCP socket without TLS. */
using PlainSocket = boost::asio::ip::tcp::socket;

/** @brief HTTP server on loopback with one thread per connection; its handler writes the bytes of each response itself. */
class ThreadedServer
{
public:
    /** @brief Handles a request and writes the response to the connection. Returns false to close the connection. */
    using Handler = std::function<bool(const PlainRequest &, PlainSocket &)>;

    /** @brief Starts to listen on a free port. @param handler Called on the threads of the connections. */
    explicit ThreadedServer(Handler handler);
    ~ThreadedServer();
    ThreadedServer(const ThreadedServer &) = delete;
    ThreadedServer &operator=(const ThreadedServer &) = delete;

    /** @brief Returns the IP address and port of the server. */
    [[nodiscard]] const std::string &address() const noexcept
    {
        return address_;
    }

    /** @brief Resets every open connection (TCP RST). */
    void resetConnections();

    /** @brief Stops to listen: further connections are refused, as if the process had ended; on any thread, also a handler's. */
    void refuseConnections();

private:
    void listen();
    void serve(PlainSocket &socket);

    std::string address_;
    Handler handler_;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::atomic<bool> stopping_{false};
    std::atomic<bool> isRefusing_{false};
    std::mutex mutex_;
    std::list<PlainSocket> sockets_;
    std::vector<std::thread> threads_;
    std::thread listener_;
};

/**
 * @brief Fake of the platform's store: items with revisions, paged range reads and watches by long polling.
 *
 * The same items are served at a second address, whose status can be forced separately, so that a test can make the store unavailable to some gateways only.
 */
class FakeStore
{
public:
    FakeStore();

    /** @brief Writes an item under the next revision. */
    void put(const std::string &key, const std::string &value);

    /** @brief Removes an item under the next revision. */
    void remove(const std::string &key);

    /** @brief Forces the HTTP status of all responses at the first address. @param status Status; 200 ends the override. */
    void setStatus(int status);

    /** @brief Forces the HTTP status of all responses at the second address. @param status Status; 200 ends the override. */
    void setSecondStatus(int status);

    /** @brief Sets whether responses at the second address are lost; a connection on which one was lost stays open and returns nothing further. */
    void setLosingSecondResponses(bool isLosing);

    /** @brief Sets whether the store answers nobody, at either address. A call that arrives meanwhile is never answered, and neither is any later one on its
     * connection. */
    void setSilent(bool isSilent);

    /** @brief Sets the longest time for which a watch without a change is held; 1 s by default. */
    void setMaxWatchTime(std::chrono::milliseconds time);

    /** @brief Returns the number of calls so far, at both addresses. @param prefix Prefix of the keys that were asked for. */
    [[nodiscard]] int callCount(const std::string &prefix);

    /** @brief Drops the history of changes: watches from earlier revisions are answered with 410. */
    void compact();

    /** @brief Contents of the store at one moment: items, revision and history. */
    class Copy;

    /** @brief Returns a copy of the present contents. */
    [[nodiscard]] Copy copy();

    /**
     * @brief Replaces the contents by a copy and raises the era by one; the revisions after the copy are given out again.
     *
     * A watch from a revision that the store does not have is answered with 410. A watch that waits meanwhile is cut.
     * @param copy Copy that copy() has returned.
     */
    void restore(const Copy &copy);

    /** @brief Sets whether all answers carry the header Store-Era; true by default. */
    void setSendingEra(bool isSending);

    /** @brief Returns the revision of the last change. */
    [[nodiscard]] std::uint64_t revision();

    /** @brief Returns the IP address and port of the first address. */
    [[nodiscard]] const std::string &address() const noexcept
    {
        return server_.address();
    }

    /** @brief Returns the IP address and port of the second address. */
    [[nodiscard]] const std::string &secondAddress() const noexcept
    {
        return secondServer_.address();
    }

private:
    struct Change {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        bool isDeleted = false;
    };

    struct Answer {
        int status = 0;
        std::string body;
        std::uint64_t era = 0; /* that it was formed in */
        bool isCut = false; /* no answer: the store was restored meanwhile */
    };

    [[nodiscard]] Answer answer(const PlainRequest &request, const std::atomic<int> &forcedStatus);
    [[nodiscard]] std::string format(const Answer &answer) const;
    bool respondUnlessLost(const PlainRequest &request, PlainSocket &socket, const std::atomic<int> &forcedStatus, const std::atomic<bool> &isLosingResponses);
    [[nodiscard]] Answer range(const std::string &prefix, const std::string &after);
    [[nodiscard]] Answer watch(const std::string &prefix, std::uint64_t after, std::chrono::milliseconds timeout, const std::atomic<int> &forcedStatus);
    void record(const Change &change);

    std::mutex mutex_;
    std::condition_variable itemsChanged_;
    std::map<std::string, Change> items_;
    std::map<std::string, int> callCounts_; /* by prefix */
    std::vector<Change> history_;
    std::uint64_t revision_ = 1;
    std::uint64_t oldestRevision_ = 0;
    std::uint64_t era_ = 1;
    std::atomic<bool> isSendingEra_{true};
    std::atomic<int> status_{200};
    std::atomic<int> secondStatus_{200};
    std::atomic<bool> isLosingSecondResponses_{false};
    std::atomic<bool> isSilent_{false};
    std::atomic<std::chrono::milliseconds> maxWatchTime_{std::chrono::milliseconds(1000)};
    std::set<const PlainSocket *> silentConnections_; /* on which a response was lost */
    ThreadedServer server_;
    ThreadedServer secondServer_;
};

class FakeStore::Copy
{
private:
    friend class FakeStore;

    std::map<std::string, Change> items_;
    std::vector<Change> history_;
    std::uint64_t revision_ = 0;
    std::uint64_t oldestRevision_ = 0;
};

/** @brief Fake backend server with a handler set by the test; it counts its runs by request id and answers 421 to requests whose header
 * Cyclamenspool-Expect-Instance does not name its id. */
class FakeBackendServer
{
public:
    /** @brief Creates a backend server. @param id Id in the list of backend servers. */
    explicit FakeBackendServer(std::string id);

    /** @brief Sets the handler of requests; the default one sends formatResponseWithDigest(). */
    void setHandler(ThreadedServer::Handler handler);

    /** @brief Returns its entry in the list of backend servers as JSON. @param service Service that it belongs to. @param state Listed state.
     * @param address Address in the entry; empty: its own. */
    [[nodiscard]] std::string listEntry(const std::string &service, const std::string &state = "ready", const std::string &address = "") const;

    /** @brief Returns the IP address and port of the server. */
    [[nodiscard]] const std::string &address() const noexcept
    {
        return server_.address();
    }

    /** @brief Returns the number of runs by request id. */
    [[nodiscard]] std::map<std::string, int> runCounts();

    /** @brief Returns how often a request was run. */
    [[nodiscard]] int runCount(const std::string &requestId);

    /** @brief Returns the number of runs of all requests. */
    [[nodiscard]] int totalRunCount();

    /** @brief Returns a copy of the last request that was run. */
    [[nodiscard]] PlainRequest lastRequest();

    /** @brief Returns the id in the list of backend servers. */
    [[nodiscard]] const std::string &id() const noexcept
    {
        return id_;
    }

    /** @brief Resets every open connection (TCP RST). */
    void resetConnections()
    {
        server_.resetConnections();
    }

    /** @brief Refuses further connections, as if the process had ended; on any thread, also a handler's. */
    void refuseConnections()
    {
        server_.refuseConnections();
    }

private:
    bool respond(const PlainRequest &request, PlainSocket &socket);

    std::string id_;
    std::mutex mutex_;
    std::map<std::string, int> runCounts_;
    PlainRequest lastRequest_;
    ThreadedServer::Handler handler_;
    ThreadedServer server_;
};

/** @brief Writes bytes to a connection. @return False if the write fails. */
bool writeAll(PlainSocket &socket, const std::string &bytes);

/** @brief Formats a response with Content-Length, the request's id and the digest header (Cyclamenspool-Response-Seal), without which a gateway rejects a
 * successful response.
 * @param request Request, whose id is echoed. @param body Body.
 * @param status Status code and reason phrase. */
[[nodiscard]] std::string formatResponseWithDigest(const PlainRequest &request, const std::string &body, const std::string &status = "200 OK");

} // namespace cyclamenspool::harness
