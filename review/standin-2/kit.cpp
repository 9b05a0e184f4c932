#include "kit.h"

#include <unistd.h>

#include <cstdlib>
#include <sstream>

namespace review {

namespace {

const auto startTime = Clock::now();

asio::ip::tcp::endpoint endpointOf(const std::string &address)
{
    const auto colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)), static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))};
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

long sinceStart()
{
    return std::chrono::duration_cast<Millis>(Clock::now() - startTime).count();
}

Record::Record(const std::string &file)
    : out_(file)
{
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(mutex_);
    out_ << sinceStart() << " ms: " << text << std::endl;
}

std::string field(const Request &request, const std::string &name)
{
    const auto value = request[name];
    return {value.data(), value.size()};
}

std::string variable(const char *name, const std::string &fallback)
{
    const char *value = std::getenv(name);
    return value == nullptr ? fallback : value;
}

bool writeAll(Socket &socket, const std::string &bytes)
{
    boost::system::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    return !error;
}

std::string answerTo(const Request &request, const std::string &body, const std::string &status, const std::string &more)
{
    return "HTTP/1.1 " + status + "\r\nCyclamenspool-Request-Id: " + field(request, "Cyclamenspool-Request-Id")
        + "\r\nCyclamenspool-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string streamHeadTo(const Request &request)
{
    return "HTTP/1.1 200 OK\r\nCyclamenspool-Request-Id: " + field(request, "Cyclamenspool-Request-Id")
        + "\r\nCyclamenspool-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string chunk(const std::string &bytes)
{
    std::ostringstream size;
    size << std::hex << bytes.size();
    return size.str() + "\r\n" + bytes + "\r\n";
}

Runner::Runner(std::string name, std::string serviceName, std::string zoneName, int slots, Handler handler)
    : id(std::move(name))
    , service(std::move(serviceName))
    , zone(std::move(zoneName))
    , slots_(slots)
    , handler_(std::move(handler))
    , address_(cyclamenspool::harness::findFreeAddress())
    , acceptor_(context_, endpointOf(address_))
    , bornUnixMs_(unixMs())
    , listener_([this] {
        listen();
    })
{
}

Runner::~Runner()
{
    isStopping_ = true;
    boost::system::error_code ignored;
    Socket(context_).connect(endpointOf(address_), ignored);
    listener_.join();
    {
        const std::lock_guard lock(mutex_);
        for (auto &socket : sockets_) {
            ::shutdown(socket.native_handle(), SHUT_RDWR);
        }
    }
    for (auto &thread : threads_) {
        thread.join();
    }
}

std::string Runner::entry(const std::string &state) const
{
    return R"({"service":")" + service + R"(","address":")" + address_ + R"(","zone":")" + zone + R"(","version":"v1","slots":)" + std::to_string(slots_)
        + R"(,"state":")" + state + R"(","cold_remaining_ms":0,"born":)" + std::to_string(bornUnixMs_) + R"(,"sequence":)" + std::to_string(++sequence_) + "}";
}

void Runner::listen()
{
    while (!isStopping_) {
        boost::system::error_code error;
        auto socket = acceptor_.accept(error);
        if (error || isStopping_) {
            continue;
        }
        const std::lock_guard lock(mutex_);
        auto &stored = sockets_.emplace_back(std::move(socket));
        threads_.emplace_back([this, &stored] {
            serve(stored);
        });
    }
}

void Runner::serve(Socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    boost::beast::flat_buffer buffer;
    bool isOpen = true;
    while (isOpen && !isStopping_) {
        bhttp::request_parser<bhttp::string_body> parser;
        parser.body_limit(boost::none);
        boost::system::error_code error;
        bhttp::read(socket, buffer, parser, error);
        if (error) {
            break;
        }
        const auto request = parser.release();
        if (field(request, "Cyclamenspool-Expect-Instance") != id) {
            isOpen = writeAll(socket, "HTTP/1.1 421 Misdirected Request\r\nCyclamenspool-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        ++arrivals_;
        isOpen = handler_(request, socket);
    }
    socket.shutdown(Socket::shutdown_both, ignored);
}

Heartbeats::Heartbeats(cyclamenspool::harness::FakeStore &store, std::vector<Runner *> runners)
    : thread_([this, &store, runners = std::move(runners)] {
        auto next = Clock::now();
        while (!isStopping_) {
            if (Clock::now() >= next) {
                next += Millis(1200);
                for (auto *runner : runners) {
                    store.put("servers/" + runner->id, runner->entry());
                }
            }
            std::this_thread::sleep_for(Millis(20));
        }
    })
{
}

Heartbeats::~Heartbeats()
{
    isStopping_ = true;
    thread_.join();
}

Gateways::Gateways(const std::string &program,
                   const std::string &folder,
                   const std::string &storeAddress,
                   const std::vector<std::string> &zones,
                   const DeploymentValues &values,
                   const std::vector<std::string> &stores)
    : all(zones.size())
    , program_(program)
{
    std::string seeds;
    for (std::size_t i = 0; i < all.size() && i < 3; ++i) {
        seeds += (i == 0 ? "\"" : ",\"") + all[i].peerAddress + "\"";
    }
    for (std::size_t i = 0; i < all.size(); ++i) {
        auto &gateway = all[i];
        gateway.zone = zones[i];
        gateway.vm = "edge-" + gateway.zone + "-" + std::to_string(i + 1);
        gateway.settingsFile = folder + "/" + gateway.vm + ".yaml";
        gateway.logFile = folder + "/" + gateway.vm + ".log";
        // As deploy/gateway.yaml.template, with the values of the small installation's settings.
        std::ofstream(gateway.settingsFile) << "vm: " << gateway.vm << "\nzone: " << gateway.zone << "\ncaller_address: " << gateway.callerAddress
                                            << "\nready_address: " << gateway.readyAddress << "\npeer_address: " << gateway.peerAddress
                                            << "\nmetrics_address: " << gateway.metricsAddress
                                            << "\nstore_address: " << (i < stores.size() && !stores[i].empty() ? stores[i] : storeAddress) << "\nseed_peers: ["
                                            << seeds << "]\ndescriptors: 4100\nprocessor_share: 0.19\ngrace_s: " << values.graceSeconds
                                            << "\nleave_ms: " << values.leaveMs << "\nconfiguration_ms: " << values.configurationMs
                                            << "\nretry_ratio: 0.2\nretry_slack: " << values.retrySlack
                                            << "\nretry_window_s: 10\ncold_factor: 1.5\ncold_slack: 5\nload_factor: 2\n";
        start(gateway);
    }
}

void Gateways::start(Gateway &gateway)
{
    ::setenv("CYCLAMENSPOOL_CONFIG", gateway.settingsFile.c_str(), 1);
    gateway.process = cyclamenspool::harness::Process(program_, {"gateway"}, gateway.logFile);
}

bool Gateways::isReady(const Gateway &gateway) const
{
    return call(gateway.readyAddress, "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", Millis(500)).status == 200;
}

bool Gateways::waitUntilReady(Millis limit)
{
    const auto end = Clock::now() + limit;
    for (const auto &gateway : all) {
        while (!isReady(gateway)) {
            if (Clock::now() > end) {
                return false;
            }
            std::this_thread::sleep_for(Millis(50));
        }
    }
    return true;
}

Result call(const std::string &address, const std::string &request, Millis limit)
{
    const auto begin = Clock::now();
    Result result;
    asio::io_context context;
    Socket socket(context);
    boost::system::error_code error;
    socket.connect(endpointOf(address), error);
    if (error) {
        return result;
    }
    result.isConnected = true;
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    boost::beast::flat_buffer buffer;
    bhttp::response_parser<bhttp::string_body> parser;
    parser.body_limit(boost::none);
    bool isRead = false;
    asio::async_write(socket, asio::buffer(request), [&](const boost::system::error_code &failure, std::size_t) {
        result.isSent = !failure;
    });
    bhttp::async_read(socket, buffer, parser, [&](const boost::system::error_code &failure, std::size_t) {
        isRead = true;
        if (!failure) {
            result.status = static_cast<int>(parser.get().result_int());
            result.body = parser.get().body();
        }
    });
    while (!isRead && Clock::now() - begin < limit) {
        context.run_one_for(Millis(20));
    }
    result.isGivenUp = !isRead;
    result.tookMs = std::chrono::duration_cast<Millis>(Clock::now() - begin).count();
    socket.close(error);
    context.run_for(Millis(50));
    return result;
}

double residentMiB(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/statm");
    long size = 0;
    long resident = 0;
    file >> size >> resident;
    constexpr double mebibyte = 1024.0 * 1024.0;
    return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / mebibyte;
}

} // namespace review
