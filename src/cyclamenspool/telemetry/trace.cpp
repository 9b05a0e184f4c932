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

/** @brief Backend servers, gateways and time span of the traced request. */
struct RequestScope {
    std::string request;
    std::set<std::string> servers; /* that the request was sent to */
    std::set<std::string> vms; /* of the gateways that handled it */
    milliseconds start{milliseconds::max()};
    milliseconds end{milliseconds::min()};
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

/** @brief Parses the JSON object of a log line. Ignores text in front of the object, such as a prefix added by another program. */
std::optional<boost::json::object> parseLine(const std::string &line)
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

std::size_t forEachLine(const std::vector<std::istream *> &logs, const std::function<void(const boost::json::object &)> &visit)
{
    std::size_t unreadable = 0;
    for (auto *log : logs) {
        log->clear();
        log->seekg(0);
        for (std::string text; std::getline(*log, text);) {
            const auto line = parseLine(text);
            if (line) {
                visit(*line);
            } else if (!text.empty()) {
                ++unreadable;
            }
        }
    }
    return unreadable;
}

bool isAbout(const boost::json::object &line, const RequestScope &scope)
{
    return textOf(line, "request") == scope.request;
}

void extendScope(const boost::json::object &line, RequestScope &scope)
{
    const auto lineTime = timeOf(line, "time_ms");
    scope.start = std::min(scope.start, lineTime - timeOf(line, "took_ms"));
    scope.end = std::max(scope.end, lineTime);
    scope.vms.insert(textOf(line, "vm"));
    const auto *servers = line.if_contains("servers");
    if (servers == nullptr || !servers->is_array()) {
        return;
    }
    for (const auto &server : servers->as_array()) {
        if (server.is_string()) {
            scope.servers.emplace(server.as_string());
        }
    }
}

/** @brief Returns whether a line is related to the request: about one of its backend servers, or from one of its gateways and about no request. */
bool isRelated(const boost::json::object &line, const RequestScope &scope)
{
    const auto server = textOf(line, "server");
    if (!server.empty()) {
        return scope.servers.count(server) > 0;
    }
    return line.if_contains("request") == nullptr && scope.vms.count(textOf(line, "vm")) > 0;
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

Trace traceRequest(const std::vector<std::istream *> &logs, const std::string &request, std::chrono::milliseconds margin)
{
    Trace trace;
    internal::RequestScope scope;
    scope.request = request;
    trace.unreadableLines = internal::forEachLine(logs, [&](const boost::json::object &line) {
        if (internal::isAbout(line, scope)) {
            ++trace.requestLines;
            internal::extendScope(line, scope);
        }
    });
    if (trace.requestLines == 0) {
        return trace;
    }
    trace.requestStart = scope.start;
    internal::forEachLine(logs, [&](const boost::json::object &line) {
        const auto time = internal::timeOf(line, "time_ms");
        const bool isInTime = time >= scope.start - margin && time <= scope.end + margin;
        if (internal::isAbout(line, scope) || (isInTime && internal::isRelated(line, scope))) {
            trace.lines.push_back(internal::traceLineOf(line));
        }
    });
    std::stable_sort(trace.lines.begin(), trace.lines.end(), [](const TraceLine &left, const TraceLine &right) {
        return left.time < right.time;
    });
    return trace;
}

} // namespace cyclamenspool::telemetry
