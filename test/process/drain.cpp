#include <catch2/catch.hpp>

#include <harness/localfleet.h>

#include <cyclamenspool/wire/endpoint.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <poll.h>
#include <sys/socket.h>

#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <random>
#include <thread>

using namespace cyclamenspool;
using harness::LocalFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int rounds = 6; /* planned stops in one test */
constexpr int callerCount = 6;
constexpr unsigned firstSeed = 4711;

/** @brief Ends of the requests of all callers. */
struct Ends {
    std::atomic<int> answered{0}; /**< Complete response. */
    std::atomic<int> unread{0}; /**< Connection refused, or reset without a byte of a response. */
    std::atomic<int> givenUp{0}; /**< The connection ended without a byte of a response and without a reset. */
    std::atomic<int> cut{0}; /**< Part of a response. */
    std::atomic<int> silent{0}; /**< Nothing within 5 s. */
};

/** @brief Caller that reuses its connection at random, and sends some requests in two parts. */
class Caller
{
public:
    Caller(std::string address, std::string request, unsigned seed, Ends &ends)
        : address_(std::move(address))
        , request_(std::move(request))
        , random_(seed)
        , ends_(ends)
    {
    }

    ~Caller()
    {
        close();
    }
    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    /** @brief Sends one request. @return False if the connection is refused. */
    bool call()
    {
        if (upTo(3) == 0 || !isOpen()) {
            close();
            if (!connect()) {
                return false;
            }
        }
        const auto firstPart = upTo(2) == 0 ? static_cast<std::size_t>(upTo(static_cast<int>(request_.size()) - 1)) : request_.size();
        int sendError = sendAll(request_.substr(0, firstPart));
        if (sendError == 0 && firstPart < request_.size()) {
            std::this_thread::sleep_for(std::chrono::microseconds(upTo(4000)));
            sendError = sendAll(request_.substr(firstPart));
        }
        readResponse(sendError);
        return true;
    }

private:
    [[nodiscard]] int upTo(int limit)
    {
        return std::uniform_int_distribution<int>(0, limit)(random_);
    }

    [[nodiscard]] bool isOpen() const
    {
        char byte = 0;
        return descriptor_ >= 0 && recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
    }

    [[nodiscard]] bool connect()
    {
        const auto endpoint = wire::parseEndpoint(address_);
        descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const timeval limit{5, 0};
        setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        return ::connect(descriptor_, endpoint.data(), static_cast<socklen_t>(endpoint.size())) == 0;
    }

    void close()
    {
        if (descriptor_ >= 0) {
            ::close(descriptor_);
        }
        descriptor_ = -1;
    }

    /** @brief Sends bytes. @return Error number; 0 if all were sent. */
    [[nodiscard]] int sendAll(const std::string &bytes) const
    {
        const bool isSent = bytes.empty() || ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
        return isSent ? 0 : errno;
    }

    void readResponse(int sendError)
    {
        std::string received;
        char space[4096];
        while (true) {
            const auto count = recv(descriptor_, space, sizeof space, 0);
            if (count <= 0) {
                // The kernel reports a reset once: after a send that failed with it, the connection reads as ended in order.
                const bool isReset = sendError == ECONNRESET || (count < 0 && (errno == ECONNRESET || errno == EPIPE));
                const bool isSilent = count < 0 && !isReset;
                ++(isSilent ? ends_.silent : !received.empty() ? ends_.cut : isReset ? ends_.unread : ends_.givenUp);
                close();
                return;
            }
            received.append(space, static_cast<std::size_t>(count));
            if (isComplete(received)) {
                ++ends_.answered;
                const bool isLast = received.find("Connection: close") != std::string::npos;
                if (isLast) {
                    close();
                }
                return;
            }
        }
    }

    [[nodiscard]] static bool isComplete(const std::string &received)
    {
        const auto head = received.find("\r\n\r\n");
        const auto field = received.find("Content-Length: ");
        return head != std::string::npos && field < head && received.size() >= head + 4 + std::stoul(received.substr(field + 16));
    }

    std::string address_;
    std::string request_;
    std::mt19937 random_;
    Ends &ends_;
    int descriptor_ = -1;
};

/** @brief Runs callers of one address until told to stop. */
class Callers
{
public:
    Callers(const std::string &address, const std::vector<std::string> &requests, unsigned seed, Ends &ends)
    {
        for (int i = 0; i < callerCount; ++i) {
            const auto &request = requests[static_cast<std::size_t>(i) % requests.size()];
            threads_.emplace_back([this, address, request, seed, i, &ends] {
                Caller caller(address, request, seed * callerCount + static_cast<unsigned>(i), ends);
                while (!isStopped_) {
                    if (!caller.call()) {
                        std::this_thread::sleep_for(milliseconds(1));
                    }
                }
            });
        }
    }

    ~Callers()
    {
        isStopped_ = true;
        for (auto &thread : threads_) {
            thread.join();
        }
    }
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

private:
    std::atomic<bool> isStopped_{false};
    std::vector<std::thread> threads_;
};

/** @brief How a PlainListener treats a connection. */
enum class Treatment : int {
    Reset, /**< Closes it with a reset, unread. */
    End, /**< Reads a byte, then closes it in order. */
};

/** @brief Listener on loopback that ends every connection without a response. */
class PlainListener
{
public:
    explicit PlainListener(Treatment treatment)
        : acceptor_(context_, wire::parseEndpoint("127.0.0.1:0"))
        , endpoint_(acceptor_.local_endpoint())
        , thread_([this, treatment] {
            while (!isStopped_) {
                treat(acceptor_.accept(), treatment);
            }
        })
    {
    }

    ~PlainListener()
    {
        isStopped_ = true;
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket waking(context);
        waking.connect(endpoint_);
        waking.close();
        thread_.join();
    }
    PlainListener(const PlainListener &) = delete;
    PlainListener &operator=(const PlainListener &) = delete;

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(endpoint_.port());
    }

private:
    static void treat(boost::asio::ip::tcp::socket socket, Treatment treatment)
    {
        boost::system::error_code ignored;
        char byte = 0;
        if (treatment == Treatment::End) {
            socket.read_some(boost::asio::buffer(&byte, 1), ignored);
        }
        socket.set_option(boost::asio::socket_base::linger(treatment == Treatment::Reset, 0), ignored);
        socket.close(ignored);
    }

    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::tcp::endpoint endpoint_;
    std::atomic<bool> isStopped_{false};
    std::thread thread_;
};

/** @brief Suspends a process for 50 to 500 ms at random moments until it exits. @return Exit code. */
int waitWithPauses(harness::Process &process, unsigned seed)
{
    std::mt19937 random(seed);
    const auto draw = [&random](int low, int high) {
        return milliseconds(std::uniform_int_distribution<int>(low, high)(random));
    };
    const auto deadline = std::chrono::steady_clock::now() + seconds(15);
    while (std::chrono::steady_clock::now() < deadline) {
        const auto code = process.wait(draw(1, 60));
        if (!process.isRunning()) {
            return code;
        }
        process.signal(SIGSTOP);
        std::this_thread::sleep_for(draw(50, 500));
        process.signal(SIGCONT);
    }
    return -1;
}

/** @brief Returns the lines of an event in a log. @param file Log file. @param event Event name. */
std::vector<boost::json::object> linesOf(const std::string &file, const std::string &event)
{
    std::vector<boost::json::object> lines;
    std::ifstream in(file);
    for (std::string line; std::getline(in, line);) {
        boost::system::error_code error;
        const auto value = boost::json::parse(line, error);
        const auto *object = error ? nullptr : value.if_object();
        const auto *name = object == nullptr ? nullptr : object->if_contains("event");
        if (name != nullptr && name->is_string() && name->as_string() == event) {
            lines.push_back(*object);
        }
    }
    return lines;
}

/** @brief Returns the number of lines of a log that are no JSON. @param file Log file. */
std::size_t malformedLines(const std::string &file)
{
    std::size_t count = 0;
    std::ifstream in(file);
    for (std::string line; std::getline(in, line);) {
        boost::system::error_code error;
        static_cast<void>(boost::json::parse(line, error));
        count += error ? 1 : 0;
    }
    return count;
}

/** @brief Returns the sum of numbers of a log line. @param line Line. @param names Keys. */
int sumOf(const boost::json::object &line, const std::vector<const char *> &names)
{
    int total = 0;
    for (const auto *name : names) {
        total += line.at(name).to_number<int>();
    }
    return total;
}

/** @brief Returns the path of a log file that does not exist. */
std::string logPath()
{
    auto path = (std::filesystem::temp_directory_path() / ("drain-log-" + std::to_string(getpid()))).string();
    std::filesystem::remove(path);
    return path;
}

/** @brief A request of which a router has got the first lines only. */
class PartRequest
{
public:
    explicit PartRequest(const std::string &address)
        : socket_(context_)
    {
        socket_.connect(wire::parseEndpoint(address));
        boost::asio::write(socket_, boost::asio::buffer(std::string("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n")));
        // A router accepts connections in order: once it has answered on a later one, it reads this one.
        REQUIRE(LocalFleet::waitUntilReady(address));
    }

    /** @brief Returns what the router sends until it closes the connection. */
    std::string readToEnd()
    {
        std::string received;
        boost::system::error_code end;
        boost::asio::read(socket_, boost::asio::dynamic_buffer(received), end);
        return received;
    }

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_;
};

harness::FleetShape oneRouterShape()
{
    harness::FleetShape shape;
    shape.routerCount = 1;
    shape.zones = {"az-a"};
    shape.enginesPerZone = 1;
    shape.settings = {{"unready_period_ms", "30"}, {"shutdown_limit_ms", "8000"}, {"view_lease_ms", "1000"}, {"clock_bound_ms", "50"}};
    return shape;
}

std::string rawRequest(const harness::HttpRequest &request)
{
    std::string raw = request.method + " " + request.target + " HTTP/1.1\r\nHost: x\r\n";
    for (const auto &[name, value] : request.headers) {
        raw += name + ": " + value + "\r\n";
    }
    return raw + "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
}

/** @brief Lines of a router's log about its planned stops. */
struct StopLines {
    std::vector<boost::json::object> drained;
    std::size_t begun = 0;
    std::size_t stopped = 0;
    std::size_t leftOut = 0; /**< Lines which say that others were left out. */
    std::size_t malformed = 0;
};

/** @brief Stops a router as planned, several times, under callers. @param isPaused Also suspends it at random. @param ends Ends of the requests. */
StopLines stopUnderCalls(bool isPaused, Ends &ends)
{
    const auto log = logPath();
    auto shape = oneRouterShape();
    shape.settings["log_file"] = log;
    LocalFleet fleet(shape);
    auto &router = fleet.routers[0];
    const std::vector<std::string> requests{rawRequest({router.httpAddress, "GET", "/healthz"}), rawRequest(fleet.makeChatRequest(0, "c", "hello", 2))};
    for (int round = 0; round < rounds; ++round) {
        const auto seed = firstSeed + static_cast<unsigned>(round);
        {
            const Callers callers(router.httpAddress, requests, seed, ends);
            std::this_thread::sleep_for(milliseconds(100));
            router.process.signal(SIGTERM);
            CHECK((isPaused ? waitWithPauses(router.process, seed) : router.process.wait(seconds(15))) == 0);
        }
        fleet.startRouter(router);
        REQUIRE(LocalFleet::waitUntilReady(router.httpAddress));
    }
    StopLines lines;
    lines.drained = linesOf(log, "drained");
    lines.begun = linesOf(log, "shutdown_begun").size();
    lines.stopped = linesOf(log, "stopped").size();
    lines.leftOut = linesOf(log, "lines_left_out").size();
    lines.malformed = malformedLines(log);
    std::filesystem::remove(log);
    return lines;
}

} // namespace

// Guards against a caller that takes a reset which its send has met for a connection that ended in order, or the reverse.
TEST_CASE("the callers of the planned stop tell a reset connection from one that ends in order", "[process][drain]")
{
    const auto treatment = GENERATE(Treatment::Reset, Treatment::End);
    CAPTURE(static_cast<int>(treatment));
    constexpr int calls = 60;
    const PlainListener listener(treatment);
    Ends ends;
    Caller caller(listener.address(), "x", firstSeed, ends); // Of one byte, so that a call in two parts sends it up to 4 ms after connecting.
    for (int i = 0; i < calls; ++i) {
        CHECK(caller.call());
    }
    CHECK(ends.unread == (treatment == Treatment::Reset ? calls : 0));
    CHECK(ends.givenUp == (treatment == Treatment::Reset ? 0 : calls));
}

// Guards against a process that exits with bytes of a request read and no answer written.
TEST_CASE("each request sent to a router during its planned stop is answered or its connection is closed unread", "[process][drain]")
{
    const bool isPaused = GENERATE(false, true);
    CAPTURE(isPaused);
    Ends ends;
    const auto lines = stopUnderCalls(isPaused, ends);
    CAPTURE(ends.answered.load(), ends.unread.load());
    CHECK(ends.answered > 0);
    CHECK(ends.givenUp == 0);
    CHECK(ends.cut == 0);
    CHECK(ends.silent == 0);
    // The router's own account: a caller cannot tell a reset connection of which a part was read.
    CHECK_FALSE(lines.drained.empty());
    for (const auto &line : lines.drained) {
        CAPTURE(boost::json::serialize(line));
        CHECK(sumOf(line, {"taken"}) == sumOf(line, {"answered", "refused"}));
    }
}

// Guards against a planned stop whose outcome is not in the log.
TEST_CASE("each planned stop of a router under calls leaves its outcome in the log", "[process][drain]")
{
    Ends ends;
    const auto lines = stopUnderCalls(false, ends);
    CAPTURE(lines.begun, lines.stopped, lines.leftOut, lines.malformed);
    CHECK(lines.drained.size() == rounds);
}

// Guards against an agent that closes its connections over streams that it has taken or has not read.
TEST_CASE("no booking has an unknown outcome because its agent is stopped as planned", "[process][drain]")
{
    const bool isPaused = GENERATE(false, true);
    CAPTURE(isPaused);
    LocalFleet fleet(oneRouterShape());
    auto &service = fleet.services[0];
    std::atomic<int> answered{0};
    std::atomic<int> notRun{0};
    std::atomic<int> unknown{0};
    for (int round = 0; round < rounds; ++round) {
        std::atomic<bool> isStopped{false};
        std::vector<std::thread> threads;
        for (int i = 0; i < callerCount; ++i) {
            threads.emplace_back([&] {
                while (!isStopped) {
                    const auto response = sendRequest(fleet.makeBookingRequest(0, "", "{}"));
                    const bool isNotRun = response.body.find("\"not_run\":true") != std::string::npos;
                    ++(response.status == 200 ? answered : isNotRun ? notRun : unknown);
                }
            });
        }
        std::this_thread::sleep_for(milliseconds(100));
        service.agentProcess.signal(SIGTERM);
        const auto seed = firstSeed + static_cast<unsigned>(round);
        CHECK((isPaused ? waitWithPauses(service.agentProcess, seed) : service.agentProcess.wait(seconds(15))) == 0);
        isStopped = true;
        for (auto &thread : threads) {
            thread.join();
        }
        fleet.startAgent(service);
        REQUIRE(LocalFleet::waitUntilReady(service.httpAddress));
        REQUIRE(LocalFleet::waitUntil([&] {
            return sendRequest(fleet.makeBookingRequest(0, "", "{}")).status == 200;
        }));
    }
    CAPTURE(answered.load(), notRun.load());
    CHECK(answered > 0);
    CHECK(unknown == 0);
}

// Guards against a cut that no line of the log tells, and against an exit line that hides it.
TEST_CASE("at the shutdown limit an open request is answered and one read in part is logged as cut", "[process][drain]")
{
    const auto log = logPath();
    auto shape = oneRouterShape();
    shape.settings["log_file"] = log;
    shape.settings["shutdown_limit_ms"] = "300";
    LocalFleet fleet(shape);
    LocalFleet::callTestControl(fleet.engines[0].backendAddress, "/test/hold?step=accepted");
    auto response = std::async(std::launch::async, [&] {
        return sendRequest(fleet.makeChatRequest(0, "c", "hello", 2));
    });
    REQUIRE(LocalFleet::waitUntil([&] {
        return LocalFleet::jsonNumber(fleet.engines[0].backendAddress, "/test/counts", "held") == 1;
    }));
    PartRequest partRequest(fleet.routers[0].httpAddress);
    fleet.routers[0].process.signal(SIGTERM);
    CHECK(fleet.routers[0].process.wait(seconds(5)) == 0);
    CHECK(response.get().isComplete);
    CHECK(partRequest.readToEnd().empty());
    const auto cuts = linesOf(log, "request_cut");
    const auto drained = linesOf(log, "drained");
    std::filesystem::remove(log);
    REQUIRE(cuts.size() == 1);
    CHECK(cuts[0].at("request").as_string().size() == 36);
    REQUIRE(drained.size() == 1);
    CHECK(drained[0].at("cut").to_number<int>() == 1);
    CHECK(sumOf(drained[0], {"taken"}) == sumOf(drained[0], {"answered", "refused", "abandoned", "cut"}));
}

// Guards against an exit at a second signal that no line says has cut a request.
TEST_CASE("a request that a second signal cuts has a line in the log", "[process][drain]")
{
    const auto log = logPath();
    auto shape = oneRouterShape();
    shape.settings["log_file"] = log;
    LocalFleet fleet(shape);
    auto &process = fleet.routers[0].process;
    PartRequest partRequest(fleet.routers[0].httpAddress);
    process.signal(SIGTERM);
    REQUIRE(LocalFleet::waitUntil([&] {
        return linesOf(log, "shutdown_begun").size() == 1;
    }));
    process.signal(SIGTERM);
    CHECK(process.wait(seconds(5)) == 1);
    CHECK(partRequest.readToEnd().empty());
    const auto cuts = linesOf(log, "request_cut").size();
    const auto drained = linesOf(log, "drained");
    std::filesystem::remove(log);
    CHECK(cuts == 1);
    REQUIRE(drained.size() == 1);
    CHECK(drained[0].at("cut").to_number<int>() == 1);
}
