#include "platform.h"

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <fstream>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace standin {

namespace {

const Time programStart = Clock::now();

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char each) {
        return static_cast<char>(std::tolower(each));
    });
    return text;
}

std::string base64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text += i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63U] : '=';
        }
    }
    return text;
}

std::string queryValue(const std::string &firstLine, const std::string &name)
{
    const auto target = firstLine.substr(0, firstLine.rfind(' '));
    auto place = target.find("?" + name + "=");
    place = place == std::string::npos ? target.find("&" + name + "=") : place;
    if (place == std::string::npos) {
        return {};
    }
    const auto begin = place + name.size() + 2;
    return target.substr(begin, target.find('&', begin) - begin);
}

std::string jsonResponse(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int listenOnFreePort(int &port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = loopback(0);
    socklen_t size = sizeof(address);
    ::bind(descriptor, reinterpret_cast<sockaddr *>(&address), size);
    ::listen(descriptor, 512);
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    port = ntohs(address.sin_port);
    return descriptor;
}

} // namespace

double secondsSinceStart(Time time)
{
    return std::chrono::duration<double>(time - programStart).count();
}

int freePort()
{
    int port = 0;
    ::close(listenOnFreePort(port));
    return port;
}

Record::Record(const std::string &path)
    : file_(std::fopen(path.c_str(), "w"))
{
}

Record::~Record()
{
    std::fclose(file_);
}

void Record::add(const std::string &line)
{
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%9.4f %s\n", secondsSinceStart(), line.c_str());
    std::fflush(file_);
}

Connection::Connection(int descriptor)
    : descriptor_(descriptor)
{
}

Connection::~Connection()
{
    close();
}

bool Connection::connect(int port)
{
    close();
    buffer_.clear();
    descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    if (::connect(descriptor_, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        close();
        return false;
    }
    const int on = 1;
    ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return true;
}

bool Connection::fill(Time until)
{
    const auto left = std::chrono::duration_cast<Milliseconds>(until - Clock::now()).count();
    pollfd waiting{descriptor_, POLLIN, 0};
    if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0) {
        return false;
    }
    char bytes[16384];
    const auto count = ::recv(descriptor_, bytes, sizeof(bytes), 0);
    if (count <= 0) {
        close();
        return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(count));
    return true;
}

bool Connection::read(Message &message, Milliseconds timeout)
{
    const auto until = Clock::now() + timeout;
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
        if (!isOpen() || !fill(until)) {
            return false;
        }
    }
    message = {};
    std::size_t begin = buffer_.find("\r\n");
    message.firstLine = buffer_.substr(0, begin);
    while (begin < end) {
        begin += 2;
        const auto lineEnd = buffer_.find("\r\n", begin);
        const auto line = buffer_.substr(begin, lineEnd - begin);
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            message.fields[lower(line.substr(0, colon))] = line.substr(line.find_first_not_of(' ', colon + 1));
        }
        begin = lineEnd;
    }
    buffer_.erase(0, end + 4);
    const auto length = message.fields.count("content-length") > 0 ? std::stoul(message.fields["content-length"]) : 0;
    while (buffer_.size() < length) {
        if (!isOpen() || !fill(until)) {
            return false;
        }
    }
    message.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return true;
}

bool Connection::write(const std::string &bytes)
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        const auto count = ::send(descriptor_, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        written += static_cast<std::size_t>(count);
    }
    return true;
}

void Connection::close(bool isReset)
{
    const int descriptor = descriptor_.exchange(-1);
    if (descriptor < 0) {
        return;
    }
    if (isReset) {
        const linger now{1, 0};
        ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    }
    ::close(descriptor);
}

Server::Server(Handler handler)
    : handler_(std::move(handler))
    , listener_(listenOnFreePort(port_))
    , thread_([this] {
        run();
    })
{
}

Server::~Server()
{
    stop();
}

void Server::run()
{
    while (!isStopping_) {
        pollfd waiting{listener_, POLLIN, 0};
        if (::poll(&waiting, 1, 20) <= 0) {
            continue;
        }
        const int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            continue;
        }
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        ++handlers_;
        std::thread([this, descriptor] {
            Connection connection(descriptor);
            {
                const std::lock_guard lock(mutex_);
                open_.insert(&connection);
            }
            handler_(connection);
            {
                const std::lock_guard lock(mutex_);
                open_.erase(&connection);
            }
            connection.close();
            --handlers_;
        }).detach();
    }
}

void Server::resetConnections()
{
    const std::lock_guard lock(mutex_);
    for (auto *connection : open_) {
        // The handler's thread closes it; its peer sees a reset.
        const linger now{1, 0};
        ::setsockopt(connection->descriptor(), SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        ::shutdown(connection->descriptor(), SHUT_RD);
    }
}

void Server::stop()
{
    if (isStopping_.exchange(true)) {
        return;
    }
    thread_.join();
    ::close(listener_);
    resetConnections();
    while (handlers_ > 0) {
        std::this_thread::sleep_for(Milliseconds(5));
    }
}

Store::Store()
    : server_(std::make_unique<Server>([this](Connection &connection) {
        serve(connection);
    }))
{
}

bool Store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(mutex_);
    if (isDown_) {
        return false;
    }
    auto &item = items_[key];
    item.value = value;
    item.revision = ++revision_;
    item.created = item.created == 0 ? revision_ : item.created;
    changed_.notify_all();
    return true;
}

void Store::setDown(bool isDown)
{
    const std::lock_guard lock(mutex_);
    isDown_ = isDown;
    changed_.notify_all();
    if (!isDown) {
        server_->resetConnections();
    }
}

void Store::stop()
{
    isStopping_ = true;
    changed_.notify_all();
    server_->stop();
}

std::string Store::format(const std::string &key, const Item &item) const
{
    return R"({"key":")" + key + R"(","value":")" + base64(item.value) + R"(","revision":)" + std::to_string(item.revision) + R"(,"create_revision":)"
        + std::to_string(item.created) + R"(,"lease":0})";
}

std::string Store::list(const std::string &prefix)
{
    const std::lock_guard lock(mutex_);
    std::string items;
    for (const auto &[key, item] : items_) {
        if (key.compare(0, prefix.size(), prefix) == 0) {
            items += (items.empty() ? "" : ",") + format(key, item);
        }
    }
    return R"({"items":[)" + items + R"(],"more_pages":false,"store_revision":)" + std::to_string(revision_) + "}";
}

std::string Store::watch(const std::string &prefix, std::uint64_t after, Milliseconds wait)
{
    std::unique_lock lock(mutex_);
    std::string events;
    // Only the latest change of an item is kept, which is all that these scripts need.
    changed_.wait_for(lock, wait, [&] {
        for (const auto &[key, item] : items_) {
            if (key.compare(0, prefix.size(), prefix) == 0 && item.revision > after) {
                events += (events.empty() ? "" : ",") + format(key, item);
            }
        }
        return !events.empty() || isStopping_ || isDown_;
    });
    return R"({"events":[)" + events + R"(],"store_revision":)" + std::to_string(revision_) + "}";
}

void Store::serve(Connection &connection)
{
    Message request;
    while (connection.read(request, std::chrono::minutes(5))) {
        const auto prefix = queryValue(request.firstLine, "prefix");
        std::string body;
        if (request.firstLine.find("/-/kv-watch") != std::string::npos) {
            body = watch(prefix, std::stoull(queryValue(request.firstLine, "after")), Milliseconds(std::stoul(queryValue(request.firstLine, "wait_ms"))));
        } else {
            body = list(prefix);
        }
        {
            std::unique_lock lock(mutex_);
            if (isDown_) {
                // A channel on which an answer is lost carries nothing further.
                changed_.wait(lock, [this] {
                    return !isDown_ || isStopping_;
                });
                return;
            }
        }
        if (isStopping_ || !connection.write(jsonResponse(body))) {
            return;
        }
    }
}

Runner::Runner(Store &store, Record &record, std::string id, std::string service, std::string zone)
    : store_(store)
    , record_(record)
    , id_(std::move(id))
    , service_(std::move(service))
    , zone_(std::move(zone))
    , server_(std::make_unique<Server>([this](Connection &connection) {
        serve(connection);
    }))
{
}

void Runner::stop()
{
    server_->stop();
}

bool Runner::isCold(Time now) const
{
    return now < coldUntil_;
}

void Runner::turnCold(Milliseconds time)
{
    {
        const std::lock_guard lock(mutex_);
        coldUntil_ = Clock::now() + time;
    }
    record_.add("runner " + id_ + " becomes cold for " + std::to_string(time.count()) + " ms");
}

void Runner::report()
{
    long long coldMs = 0;
    {
        const std::lock_guard lock(mutex_);
        coldMs = std::max<long long>(std::chrono::duration_cast<Milliseconds>(coldUntil_ - Clock::now()).count(), 0);
    }
    const auto head = R"({"service":")" + service_ + R"(","address":"127.0.0.1:)" + std::to_string(server_->port()) + R"(","zone":")" + zone_
        + R"(","version":"v1","slots":64,"state":"ready","cold_remaining_ms":)" + std::to_string(coldMs) + R"(,"born":1780000000000)";
    // The entry changes when more than its sequence changes.
    if (head != lastEntry_ && store_.put("servers/" + id_, head + R"(,"sequence":)" + std::to_string(++sequence_) + "}")) {
        lastEntry_ = head;
        record_.add("runner " + id_ + " reports cold_remaining_ms " + std::to_string(coldMs));
    }
}

std::vector<Arrival> Runner::arrivals()
{
    const std::lock_guard lock(mutex_);
    return arrivals_;
}

void Runner::crashIfOverrun(Time now)
{
    int latest = 0;
    {
        const std::lock_guard lock(mutex_);
        for (auto each = arrivals_.rbegin(); each != arrivals_.rend() && each->at > now - std::chrono::seconds(1); ++each) {
            latest += each->isCold ? 1 : 0;
        }
    }
    if (latest > toleratedPerSecond && !hasCrashed_.exchange(true)) {
        record_.add("runner " + id_ + " crashes: " + std::to_string(latest) + " requests in one second while it was cold");
        server_->resetConnections();
    }
}

void Runner::serve(Connection &connection)
{
    Message request;
    while (connection.read(request, std::chrono::minutes(5))) {
        const auto id = request.fields["cyclamenspool-request-id"];
        const auto echo = "Cyclamenspool-Request-Id: " + id + "\r\n";
        if (hasCrashed_) {
            connection.close(true);
            return;
        }
        if (request.firstLine.rfind("GET /healthz", 0) == 0) {
            long long coldMs = 0;
            {
                const std::lock_guard lock(mutex_);
                coldMs = std::max<long long>(std::chrono::duration_cast<Milliseconds>(coldUntil_ - Clock::now()).count(), 0);
            }
            record_.add("runner " + id_ + " is asked for its health");
            connection.write("HTTP/1.1 200 OK\r\nCyclamenspool-Instance-Id: " + id_ + "\r\nCyclamenspool-Cold-Ms: " + std::to_string(coldMs)
                             + "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        if (request.fields["cyclamenspool-expect-instance"] != id_) {
            connection.write("HTTP/1.1 421 Misdirected Request\r\n" + echo + "Cyclamenspool-Instance-Id: " + id_ + "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        Arrival arrival;
        arrival.at = Clock::now();
        const auto &sent = request.fields["x-sent-ns"];
        arrival.sentAt = sent.empty() ? arrival.at : Time(std::chrono::nanoseconds(std::stoll(sent)));
        std::size_t index = 0;
        {
            const std::lock_guard lock(mutex_);
            arrival.isCold = isCold(arrival.at);
            index = arrivals_.size();
            arrivals_.push_back(arrival);
        }
        record_.add("runner " + id_ + " gets " + id + (arrival.isCold ? " (cold)" : ""));
        crashIfOverrun(arrival.at);
        std::this_thread::sleep_for(workTime);
        if (hasCrashed_) {
            record_.add("runner " + id_ + " loses " + id);
            connection.close(true);
            return;
        }
        {
            const std::lock_guard lock(mutex_);
            arrivals_[index].hasRun = true;
        }
        record_.add("runner " + id_ + " has run " + id);
        const std::string body(800, 'x');
        if (!connection.write("HTTP/1.1 200 OK\r\n" + echo + "Cyclamenspool-Response-Seal: 3e1b." + id + "\r\nContent-Length: " + std::to_string(body.size())
                              + "\r\n\r\n" + body)) {
            return;
        }
    }
}

Gateway::Gateway(std::string program, std::string folder, std::string name, std::string zone)
    : callerPort(freePort())
    , readyPort(freePort())
    , peerPort(freePort())
    , metricsPort(freePort())
    , program_(std::move(program))
    , folder_(std::move(folder))
    , name_(std::move(name))
    , zone_(std::move(zone))
{
}

Gateway::~Gateway()
{
    if (process_ > 0) {
        signal(SIGKILL);
        waitForEnd();
    }
}

void Gateway::configure(int storePort, const std::vector<int> &seedPorts)
{
    const auto address = [](int port) {
        return "127.0.0.1:" + std::to_string(port);
    };
    std::string seeds;
    for (const auto port : seedPorts) {
        seeds += (seeds.empty() ? "\"" : ",\"") + address(port) + "\"";
    }
    std::ofstream file(folder_ + "/" + name_ + ".yaml");
    file << "vm: " << name_ << "\nzone: " << zone_ << "\ncaller_address: " << address(callerPort) << "\nready_address: " << address(readyPort)
         << "\npeer_address: " << address(peerPort) << "\nmetrics_address: " << address(metricsPort) << "\nstore_address: " << address(storePort)
         << "\nseed_peers: [" << seeds << "]\ndescriptors: 4100\nprocessor_share: 0.19\ngrace_s: 8\nleave_ms: 2000\nconfiguration_ms: 2000\n"
         << "retry_ratio: 0.2\nretry_slack: 56\nretry_window_s: 10\ncold_factor: 1.5\ncold_slack: 5\nload_factor: 2\n";
}

void Gateway::start()
{
    const auto settings = "CYCLAMENSPOOL_CONFIG=" + folder_ + "/" + name_ + ".yaml";
    const auto log = folder_ + "/" + name_ + ".log";
    process_ = ::fork();
    if (process_ != 0) {
        return;
    }
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, 1);
    ::dup2(output, 2);
    char *const arguments[] = {const_cast<char *>(program_.c_str()), const_cast<char *>("gateway"), nullptr};
    char *const environment[] = {const_cast<char *>(settings.c_str()), const_cast<char *>("PATH=/usr/bin:/bin"), nullptr};
    ::execve(program_.c_str(), arguments, environment);
    ::_exit(127);
}

void Gateway::signal(int number)
{
    if (process_ > 0) {
        ::kill(process_, number);
    }
}

void Gateway::waitForEnd()
{
    int status = 0;
    ::waitpid(process_, &status, 0);
    process_ = -1;
}

bool Gateway::isReady() const
{
    Connection connection;
    Message response;
    return connection.connect(readyPort) && connection.write("GET /-/ready HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n")
        && connection.read(response, Milliseconds(500)) && response.firstLine.find(" 200") != std::string::npos;
}

std::size_t mostInOneSecond(const std::vector<Arrival> &arrivals, double &beginsAt)
{
    std::size_t most = 0;
    for (const auto &first : arrivals) {
        const auto begin = std::min(first.at, first.sentAt);
        const auto end = begin + std::chrono::seconds(1);
        const auto count = std::count_if(arrivals.begin(), arrivals.end(), [begin, end](const Arrival &each) {
            return each.isCold && each.sentAt >= begin && each.at < end;
        });
        if (static_cast<std::size_t>(count) > most) {
            most = static_cast<std::size_t>(count);
            beginsAt = secondsSinceStart(begin);
        }
    }
    return most;
}

} // namespace standin
