#include "platform.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int portOf(int descriptor)
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char each) {
        return static_cast<char>(std::tolower(each));
    });
    return text;
}

Fields parseFields(const std::string &head)
{
    Fields fields;
    std::istringstream lines(head);
    std::string line;
    std::getline(lines, line);
    while (std::getline(lines, line)) {
        const auto colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        auto value = line.substr(colon + 1);
        const auto first = value.find_first_not_of(" \t");
        const auto last = value.find_last_not_of(" \t\r");
        value = first == std::string::npos ? "" : value.substr(first, last - first + 1);
        fields.emplace(lower(line.substr(0, colon)), value);
    }
    return fields;
}

std::string encodeBase64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            const bool isPadding = i + j > bytes.size();
            text += isPadding ? '=' : digits[group >> (18 - 6 * j) & 63U];
        }
    }
    return text;
}

std::string decodePercent(const std::string &text)
{
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            plain += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            plain += text[i];
        }
    }
    return plain;
}

std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> query;
    const auto mark = target.find('?');
    std::istringstream words(mark == std::string::npos ? "" : target.substr(mark + 1));
    std::string word;
    while (std::getline(words, word, '&')) {
        const auto equals = word.find('=');
        if (equals != std::string::npos) {
            query[word.substr(0, equals)] = decodePercent(word.substr(equals + 1));
        }
    }
    return query;
}

} // namespace

std::string valueOf(const Fields &fields, const std::string &name)
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

bool Connection::connect(int port)
{
    close();
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

bool Connection::write(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool Connection::readSome(Clock::time_point deadline)
{
    const auto left = std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()).count();
    if (descriptor_ < 0 || left <= 0) {
        return false;
    }
    pollfd wait{descriptor_, POLLIN, 0};
    if (::poll(&wait, 1, static_cast<int>(std::min<long long>(left, 100000))) <= 0) {
        return false;
    }
    char bytes[16384];
    const auto count = ::recv(descriptor_, bytes, sizeof(bytes), 0);
    hasEnded_ = count == 0;
    if (count <= 0) {
        return false;
    }
    buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

bool Connection::readUntil(const std::string &text, Clock::time_point deadline)
{
    while (buffer.find(text) == std::string::npos) {
        if (!readSome(deadline)) {
            return false;
        }
    }
    return true;
}

bool Connection::readBytes(std::size_t count, Clock::time_point deadline)
{
    while (buffer.size() < count) {
        if (!readSome(deadline)) {
            return false;
        }
    }
    return true;
}

std::string Connection::take(std::size_t count)
{
    auto bytes = buffer.substr(0, count);
    buffer.erase(0, count);
    return bytes;
}

void Connection::close()
{
    if (descriptor_ >= 0) {
        ::close(descriptor_);
    }
    descriptor_ = -1;
    hasEnded_ = false;
    buffer.clear();
}

void Connection::reset()
{
    const linger now{1, 0};
    ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close();
}

std::optional<Request> readRequestHead(Connection &connection, Clock::time_point deadline)
{
    if (!connection.readUntil("\r\n\r\n", deadline)) {
        return std::nullopt;
    }
    const auto head = connection.take(connection.buffer.find("\r\n\r\n") + 4);
    Request request;
    std::istringstream line(head.substr(0, head.find("\r\n")));
    line >> request.method >> request.target;
    request.fields = parseFields(head);
    return request;
}

bool readRequestBody(Connection &connection, Request &request, Clock::time_point deadline)
{
    const auto length = valueOf(request.fields, "content-length");
    const std::size_t count = length.empty() ? 0 : std::stoul(length);
    if (!connection.readBytes(count, deadline)) {
        return false;
    }
    request.body = connection.take(count);
    return true;
}

std::optional<Request> readRequest(Connection &connection, Clock::time_point deadline)
{
    auto request = readRequestHead(connection, deadline);
    if (!request || !readRequestBody(connection, *request, deadline)) {
        return std::nullopt;
    }
    return request;
}

namespace {

void readChunks(Connection &connection, Clock::time_point deadline, Response &response, const std::function<void(const std::string &)> &onBody)
{
    while (connection.readUntil("\r\n", deadline)) {
        const auto line = connection.take(connection.buffer.find("\r\n") + 2);
        const std::size_t size = std::stoul(line, nullptr, 16);
        if (!connection.readBytes(size + 2, deadline)) {
            return;
        }
        const auto bytes = connection.take(size + 2).substr(0, size);
        if (size == 0) {
            response.isComplete = true;
            return;
        }
        response.body += bytes;
        if (onBody) {
            onBody(bytes);
        }
    }
}

} // namespace

Response readResponse(Connection &connection, Clock::time_point deadline, const std::function<void(const std::string &)> &onBody)
{
    Response response;
    if (!connection.readUntil("\r\n\r\n", deadline)) {
        return response;
    }
    response.head = connection.take(connection.buffer.find("\r\n\r\n") + 4);
    response.status = std::atoi(response.head.substr(response.head.find(' ') + 1, 3).c_str());
    response.fields = parseFields(response.head);
    const auto length = valueOf(response.fields, "content-length");
    if (lower(valueOf(response.fields, "transfer-encoding")) == "chunked") {
        response.isFramed = true;
        readChunks(connection, deadline, response, onBody);
    } else if (!length.empty()) {
        response.isFramed = true;
        const std::size_t count = std::stoul(length);
        response.isComplete = connection.readBytes(count, deadline);
        response.body = connection.take(count);
        if (onBody) {
            onBody(response.body);
        }
    } else {
        while (connection.readSome(deadline)) { }
        response.isComplete = connection.hasEnded();
        response.body = connection.take(connection.buffer.size());
    }
    return response;
}

Server::Server(Handler handler, int receiveBytes)
    : handler_(std::move(handler))
{
    descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBytes > 0) {
        ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof(receiveBytes));
    }
    const auto address = loopback(0);
    if (::bind(descriptor_, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || ::listen(descriptor_, 512) != 0) {
        throw std::runtime_error("no port is free");
    }
    port_ = portOf(descriptor_);
    thread_ = std::thread([this] {
        listen();
    });
}

Server::~Server()
{
    ::shutdown(descriptor_, SHUT_RDWR);
    thread_.join();
    ::close(descriptor_);
    // The handlers' threads end with the connections, at the latest when the gateways have been stopped.
    for (int i = 0; i < 500 && open_ > 0; ++i) {
        std::this_thread::sleep_for(Milliseconds(10));
    }
}

void Server::listen()
{
    while (true) {
        const int descriptor = ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            return;
        }
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        ++open_;
        std::thread([this, descriptor] {
            {
                Connection connection(descriptor);
                handler_(connection);
            }
            --open_;
        }).detach();
    }
}

int freePort()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(0);
    ::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    const int port = portOf(descriptor);
    ::close(descriptor);
    return port;
}

Store::Store()
    : server_(std::make_unique<Server>([this](Connection &connection) {
        serve(connection);
    }))
{
}

Store::~Store()
{
    {
        const std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    changed_.notify_all();
    server_.reset();
}

void Store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(mutex_);
    auto &item = items_[key];
    item.key = key;
    item.value = value;
    item.revision = ++revision_;
    item.createRevision = item.createRevision == 0 ? revision_ : item.createRevision;
    history_.push_back(item);
    changed_.notify_all();
}

void Store::remove(const std::string &key)
{
    const std::lock_guard lock(mutex_);
    if (items_.erase(key) > 0) {
        history_.push_back({key, "", ++revision_, 0, true});
        changed_.notify_all();
    }
}

std::string Store::format(const Item &item)
{
    auto text = "{\"key\":\"" + item.key + "\",\"revision\":" + std::to_string(item.revision);
    if (item.isDeleted) {
        return text + ",\"deleted\":true}";
    }
    return text + ",\"create_revision\":" + std::to_string(item.createRevision) + ",\"lease\":0,\"value\":\"" + encodeBase64(item.value) + "\"}";
}

std::string Store::answer(const Request &request, int &status)
{
    auto query = queryOf(request.target);
    const auto path = request.target.substr(0, request.target.find('?'));
    const auto &prefix = query["prefix"];
    const auto hasPrefix = [&prefix](const std::string &key) {
        return key.compare(0, prefix.size(), prefix) == 0;
    };
    std::unique_lock lock(mutex_);
    std::string list;
    const auto add = [&list](const Item &item) {
        list += (list.empty() ? "" : ",") + format(item);
    };
    status = 200;
    if (path == "/-/kv-range") {
        for (const auto &[key, item] : items_) {
            if (hasPrefix(key) && key > query["after"]) {
                add(item);
            }
        }
        return "{\"items\":[" + list + "],\"more_pages\":false,\"store_revision\":" + std::to_string(revision_) + "}";
    }
    if (path != "/-/kv-watch") {
        status = 404;
        return "{}";
    }
    const auto after = std::stoull(query["after"]);
    const auto until = Clock::now() + Milliseconds(std::stol(query["wait_ms"]));
    const auto collect = [&] {
        list.clear();
        for (const auto &item : history_) {
            if (item.revision > after && hasPrefix(item.key)) {
                add(item);
            }
        }
        return !list.empty() || isStopping_;
    };
    changed_.wait_until(lock, until, collect);
    return "{\"events\":[" + list + "],\"store_revision\":" + std::to_string(revision_) + "}";
}

void Store::serve(Connection &connection)
{
    while (auto request = readRequest(connection, Clock::now() + std::chrono::seconds(150))) {
        int status = 0;
        const auto body = answer(*request, status);
        std::this_thread::sleep_for(Milliseconds(4));
        const std::string reason = status == 200 ? " OK" : " Not Found";
        if (!connection.write("HTTP/1.1 " + std::to_string(status) + reason
                              + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)) {
            return;
        }
    }
}

Registry::Registry(Store &store, Milliseconds heartbeat)
    : store_(store)
    , heartbeat_(heartbeat)
    , thread_([this] {
        run();
    })
{
}

Registry::~Registry()
{
    {
        const std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    stop_.notify_all();
    thread_.join();
}

void Registry::report(State &state)
{
    const auto &entry = state.entry;
    ++state.sequence;
    store_.put("servers/" + entry.id,
               "{\"service\":\"" + entry.service + "\",\"address\":\"" + entry.address + "\",\"zone\":\"" + entry.zone + "\",\"version\":\"v1\",\"slots\":"
                   + std::to_string(entry.slots) + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":" + std::to_string(state.sequence)
                   + ",\"born\":" + std::to_string(state.born) + "}");
}

void Registry::add(const Entry &entry)
{
    const std::lock_guard lock(mutex_);
    auto &state = states_[entry.id];
    state.entry = entry;
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    state.born = static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(now).count());
    report(state);
}

void Registry::silence(const std::string &id)
{
    const std::lock_guard lock(mutex_);
    states_[id].isSilent = true;
}

void Registry::run()
{
    std::unique_lock lock(mutex_);
    while (!stop_.wait_for(lock, heartbeat_, [this] {
        return isStopping_;
    })) {
        for (auto &[id, state] : states_) {
            if (!state.isSilent) {
                report(state);
            } else if (++state.missed == 3) {
                store_.remove("servers/" + id);
            }
        }
    }
}

Gateway::Gateway(const std::string &directory, const Options &options)
    : directory_(directory)
    , options_(options)
    , frontPort_(freePort())
    , readyPort_(freePort())
    , metricsPort_(freePort())
{
    std::string seeds;
    for (const auto &seed : options.seeds) {
        seeds += (seeds.empty() ? "\"" : ",\"") + seed + "\"";
    }
    const auto at = [](int port) {
        return "127.0.0.1:" + std::to_string(port);
    };
    // The figures are those of the site srisuwan-desk.
    const std::map<std::string, std::string> values{{"node", options.node},
                                                    {"zone", options.zone},
                                                    {"listen.front", at(frontPort_)},
                                                    {"listen.ready", at(readyPort_)},
                                                    {"listen.control", at(options.controlPort)},
                                                    {"ip", "127.0.0.1"},
                                                    {"port_range.1", std::to_string(metricsPort_)},
                                                    {"platform.address", options.storeAddress},
                                                    {"seeds|json", "[" + seeds + "]"},
                                                    {"limits.max_fds", "4100"},
                                                    {"limits.cpu_share", "0.19"},
                                                    {"bounds.grace_s", "8"},
                                                    {"bounds.drain_ms", "2000"},
                                                    {"bounds.config_apply_ms", "2000"},
                                                    {"bounds.retry_budget_ratio", "0.2"},
                                                    {"bounds.retry_slack", "56"},
                                                    {"bounds.budget_window_s", "10"},
                                                    {"bounds.cold_over", "1.5"},
                                                    {"bounds.cold_slack", "5"},
                                                    {"bounds.cap_x", "2"}};
    std::ifstream file("deploy/gateway.yaml.template");
    std::stringstream text;
    text << file.rdbuf();
    auto settings = text.str();
    for (const auto &[name, value] : values) {
        const auto placeholder = "{{" + name + "}}";
        for (auto found = settings.find(placeholder); found != std::string::npos; found = settings.find(placeholder)) {
            settings.replace(found, placeholder.size(), value);
        }
    }
    std::ofstream(directory_ + "/" + options.node + ".yaml") << settings;
}

Gateway::~Gateway()
{
    if (process_ > 0) {
        ::kill(process_, SIGKILL);
        ::waitpid(process_, nullptr, 0);
    }
}

void endWithParent()
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
}

void Gateway::start()
{
    const auto settings = directory_ + "/" + options_.node + ".yaml";
    const auto log = directory_ + "/" + options_.node + ".log";
    process_ = ::fork();
    if (process_ == 0) {
        endWithParent();
        ::setenv("CYCLAMENSPOOL_CONFIG", settings.c_str(), 1);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execl("target/cyclamenspool", "target/cyclamenspool", "gateway", static_cast<char *>(nullptr));
        ::_exit(127);
    }
}

void Gateway::signal(int number) const
{
    ::kill(process_, number);
}

bool Gateway::waitUntilReady(Milliseconds time) const
{
    const auto deadline = Clock::now() + time;
    while (Clock::now() < deadline) {
        Connection connection;
        if (connection.connect(readyPort_) && connection.write("GET /-/ready HTTP/1.1\r\nHost: platform\r\n\r\n")
            && readResponse(connection, Clock::now() + Milliseconds(500)).status == 200) {
            return true;
        }
        std::this_thread::sleep_for(Milliseconds(50));
    }
    return false;
}

std::vector<std::unique_ptr<Gateway>> startGateways(const std::string &directory, int count, const std::string &storeAddress)
{
    std::vector<int> controlPorts;
    std::vector<std::string> seeds;
    for (int i = 0; i < count; ++i) {
        controlPorts.push_back(freePort());
        seeds.push_back("127.0.0.1:" + std::to_string(controlPorts.back()));
    }
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (int i = 0; i < count; ++i) {
        const std::string zone = std::string("bkk-") + static_cast<char>('a' + i);
        const Gateway::Options options{"edge-" + zone + "-1", zone, storeAddress, seeds, controlPorts[static_cast<std::size_t>(i)]};
        gateways.push_back(std::make_unique<Gateway>(directory, options));
        gateways.back()->start();
    }
    for (const auto &gateway : gateways) {
        if (!gateway->waitUntilReady(Milliseconds(10000))) {
            throw std::runtime_error("a gateway is not ready");
        }
    }
    return gateways;
}

std::string configuration(const std::string &routes, const std::string &services)
{
    return R"({"version":7,"routes":[)" + routes + R"(],"services":[)" + services
        + R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
          R"("tenants":[{"name":"desk","api_keys":["key-1"],"priority":1}]})";
}

Record::Record(const std::string &file)
    : file_(std::fopen(file.c_str(), "w"))
{
    if (file_ == nullptr) {
        throw std::runtime_error("cannot write " + file);
    }
}

Record::~Record()
{
    std::fclose(static_cast<std::FILE *>(file_));
}

void Record::add(const std::string &line)
{
    const std::lock_guard lock(mutex_);
    const double seconds = std::chrono::duration<double>(Clock::now() - start_).count();
    std::fprintf(static_cast<std::FILE *>(file_), "%8.3f  %s\n", seconds, line.c_str());
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

std::string makeRequestId()
{
    static std::atomic<std::uint64_t> next{0x9c41000000000000ULL + static_cast<std::uint64_t>(::getpid()) * 0x1000000ULL};
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(next++));
    return text;
}

} // namespace review
