#include <cyclamenspool/telemetry/trace.h>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <functional>
#include <optional>
#include <set>

namespace cyclamenspool::telemetry {

namespace internal {

using std::chrono::milliseconds;

/** @brief What belongs to a request. */
struct Subject {
    std::string request;
    std::set<std::string> servers; /* that it was sent to */
    std::set<std::string> vms; /* gateways that had it */
    milliseconds from{milliseconds::max()};
    milliseconds to{milliseconds::min()};
};

std::string textOf(const boost::json::object &line, const char *name)
{
    const auto *value = line.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

milliseconds timeOf(const boost::json::object &line, const char *name)
{
    const auto *value = line.if_contains(name);
    return milliseconds(value != nullptr && value->is_int64() ? value->as_int64() : 0);
}

/** @brief Reads a line; what another program has put before the object is passed over. */
std::optional<boost::json::object> objectOf(const std::string &line)
{
    const auto brace = line.find('{');
    if (brace == std::string::npos) {
        return std::nullopt;
    }
    boost::system::error_code error;
    auto value = boost::json::parse(std::string_view(line).substr(brace), error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.as_object());
}

std::size_t forEachLine(const std::vector<std::istream *> &logs, const std::function<void(const boost::json::object &)> &take)
{
    std::size_t unreadable = 0;
    for (auto *log : logs) {
        log->clear();
        log->seekg(0);
        for (std::string text; std::getline(*log, text);) {
            const auto line = objectOf(text);
            if (line) {
                take(*line);
            } else if (!text.empty()) {
                ++unreadable;
            }
        }
    }
    return unreadable;
}

bool isOf(const boost::json::object &line, const Subject &subject)
{
    return textOf(line, "request") == subject.request;
}

void learn(const boost::json::object &line, Subject &subject)
{
    const auto end = timeOf(line, "time_ms");
    subject.from = std::min(subject.from, end - timeOf(line, "took_ms"));
    subject.to = std::max(subject.to, end);
    subject.vms.insert(textOf(line, "vm"));
    const auto *servers = line.if_contains("servers");
    if (servers == nullptr || !servers->is_array()) {
        return;
    }
    for (const auto &server : servers->as_array()) {
        if (server.is_string()) {
            subject.servers.emplace(server.as_string());
        }
    }
}

/** @brief Tells whether a line explains the request: it is about one of its backend servers, or about no request and from one of its gateways. */
bool explains(const boost::json::object &line, const Subject &subject)
{
    const auto server = textOf(line, "server");
    if (!server.empty()) {
        return subject.servers.count(server) > 0;
    }
    return line.if_contains("request") == nullptr && subject.vms.count(textOf(line, "vm")) > 0;
}

std::string fieldsOf(const boost::json::object &line)
{
    std::string text;
    for (const auto &[name, value] : line) {
        if (name == "time_ms" || name == "vm" || name == "event" || name == "request") {
            continue;
        }
        text += text.empty() ? "" : " ";
        text += std::string(name) + "=" + boost::json::serialize(value);
    }
    return text;
}

TraceLine traceLineOf(const boost::json::object &line)
{
    return {timeOf(line, "time_ms"), textOf(line, "vm"), textOf(line, "event"), fieldsOf(line)};
}

} // namespace internal

Trace traceRequest(const std::vector<std::istream *> &logs, const std::string &request, std::chrono::milliseconds around)
{
    Trace trace;
    internal::Subject subject;
    subject.request = request;
    trace.unreadable = internal::forEachLine(logs, [&](const boost::json::object &line) {
        if (internal::isOf(line, subject)) {
            ++trace.requests;
            internal::learn(line, subject);
        }
    });
    if (trace.requests == 0) {
        return trace;
    }
    trace.began = subject.from;
    internal::forEachLine(logs, [&](const boost::json::object &line) {
        const auto time = internal::timeOf(line, "time_ms");
        const bool isNear = time >= subject.from - around && time <= subject.to + around;
        if (internal::isOf(line, subject) || (isNear && internal::explains(line, subject))) {
            trace.lines.push_back(internal::traceLineOf(line));
        }
    });
    std::stable_sort(trace.lines.begin(), trace.lines.end(), [](const TraceLine &left, const TraceLine &right) {
        return left.time < right.time;
    });
    return trace;
}

} // namespace cyclamenspool::telemetry
