#include <cyclamenspool/platform/headers.h>

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace cyclamenspool::platform {

namespace bhttp = boost::beast::http;

namespace internal {

constexpr std::string_view eventStreamType = "text/event-stream";
constexpr std::string_view requestIdHeader = "Cyclamenspool-Request-Id";
constexpr std::string_view modelHeader = "Cyclamenspool-Model";
constexpr std::string_view tokensHeader = "Cyclamenspool-Token-Usage"; /* two numbers: prompt tokens, upper limit of response tokens */
constexpr std::string_view partsHeader = "Cyclamenspool-Prompt-Prefix"; /* despite its name, the parts of the whole prompt */
constexpr std::string_view callerTimeoutHeader = "Cyclamenspool-Deadline-Ms"; /* despite its name, a duration */
constexpr std::string_view expectedServerHeader = "Cyclamenspool-Expect-Instance";
constexpr std::string_view workspaceHeader = "Cyclamenspool-Tenant";
constexpr std::string_view urgencyHeader = "Cyclamenspool-Request-Urgency";
constexpr std::string_view cacheSourceHeader = "Kv-Fetch"; /* address of the backend server to fetch from */
constexpr std::string_view digestHeader = "Cyclamenspool-Response-Seal";
constexpr std::string_view notExecutedHeader = "Cyclamenspool-Not-Executed";
constexpr std::string_view loadHeader = "Cyclamenspool-Server-Load";
constexpr std::string_view lastEventIdHeader = "Last-Event-Id";
constexpr std::string_view leavingHeader = "Server-Leaving";
constexpr std::string_view limitHeader = "Server-Limit"; /* requests per second of all callers together */
constexpr std::string_view bearerScheme = "Bearer ";

constexpr unsigned misdirectedRequest = 421;
constexpr unsigned unavailableStatus = 503;
constexpr double maxLimit = 1e6; /* requests per second; more is no limit to any server */
constexpr double maxRetryAfterSeconds = 600; /* a longer time is taken for a fault of the server */

/* Headers that concern one connection or its framing; never forwarded. */
constexpr std::array<std::string_view, 11> hopByHopHeaders{"Connection",
                                                           "Keep-Alive",
                                                           "Proxy-Connection",
                                                           "Proxy-Authenticate",
                                                           "Proxy-Authorization",
                                                           "TE",
                                                           "Trailer",
                                                           "Transfer-Encoding",
                                                           "Upgrade",
                                                           "Content-Length",
                                                           "Expect"};

/* Headers that only the system may set towards a backend server; a caller's are dropped. */
constexpr std::array<std::string_view, 11> reservedHeaders{"Authorization",
                                                           workspaceHeader,
                                                           expectedServerHeader,
                                                           urgencyHeader,
                                                           callerTimeoutHeader,
                                                           "Cyclamenspool-Hold",
                                                           "Cyclamenspool-Pin-Ms",
                                                           "Cyclamenspool-Kv-Backup",
                                                           "Kv-From",
                                                           cacheSourceHeader,
                                                           "Cyclamenspool-Expect-Version"};

bool isListed(std::string_view name, const std::string_view *first, const std::string_view *last)
{
    for (; first != last; ++first) {
        if (boost::iequals(name, *first)) {
            return true;
        }
    }
    return false;
}

bool isHopByHop(std::string_view name, std::string_view connectionOptions)
{
    if (isListed(name, hopByHopHeaders.data(), hopByHopHeaders.data() + hopByHopHeaders.size())) {
        return true;
    }
    return !connectionOptions.empty() && bhttp::token_list(connectionOptions).exists(name);
}

void appendLine(std::string &out, std::string_view name, std::string_view value)
{
    out.append(name);
    out.append(": ");
    out.append(value);
    out.append("\r\n");
}

template<typename Number>
std::optional<Number> toNumber(std::string_view text, int base = 10)
{
    Number value{};
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value, base);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

[[noreturn]] void rejectHeader(std::string_view name, const char *reason)
{
    throw core::Error(core::ErrorKind::BadRequest, "header " + std::string(name) + " " + reason);
}

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> words;
    while (!text.empty()) {
        const auto end = text.find(separator);
        words.push_back(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    }
    return words;
}

std::string_view valueOf(const Fields &fields, std::string_view name)
{
    const auto value = fields[name];
    return {value.data(), value.size()};
}

bool hasDifferentValues(const Fields &fields, std::string_view name)
{
    const auto [first, last] = fields.equal_range(name);
    return std::any_of(first, last, [value = valueOf(fields, name)](const auto &field) {
        return std::string_view(field.value().data(), field.value().size()) != value;
    });
}

void readTokens(std::string_view text, RequestHead &head)
{
    const auto words = split(text, ',');
    if (words.size() != 2) {
        rejectHeader(tokensHeader, "must be two comma-separated numbers");
    }
    const auto prompt = toNumber<std::uint32_t>(words[0]);
    const auto response = toNumber<std::uint32_t>(words[1]);
    if (!prompt || !response) {
        rejectHeader(tokensHeader, "must be two comma-separated numbers");
    }
    head.promptTokens = *prompt;
    head.maxResponseTokens = *response;
}

void readParts(std::string_view text, RequestHead &head)
{
    for (const auto entry : split(text, ',')) {
        const auto words = split(entry, ':');
        const auto id = words.size() == 2 ? toNumber<std::uint64_t>(words[0], 16) : std::nullopt;
        const auto tokens = words.size() == 2 ? toNumber<std::uint32_t>(words[1]) : std::nullopt;
        if (!id || !tokens) {
            rejectHeader(partsHeader, "must be a list of ID:TOKENS entries");
        }
        head.parts.push_back({*id, *tokens});
    }
}

std::string hostOf(std::string_view text)
{
    const auto colon = text.rfind(':');
    const auto digits = colon == std::string_view::npos ? std::string_view() : text.substr(colon + 1);
    const bool hasPort = !digits.empty() && digits.find_first_not_of("0123456789") == std::string_view::npos;
    std::string host(hasPort ? text.substr(0, colon) : text);
    boost::to_lower(host);
    return host;
}

std::optional<ReportedLoad> loadOf(std::string_view text)
{
    constexpr std::size_t minFigures = 3;
    constexpr std::size_t maxFigures = 4; /* the last one, the pace, may be absent */
    const auto words = split(text, ',');
    if (words.size() < minFigures || words.size() > maxFigures || text.back() == ',') {
        return std::nullopt;
    }
    std::array<int, maxFigures> figures{};
    for (std::size_t i = 0; i < words.size(); ++i) {
        const auto figure = toNumber<int>(words[i]);
        if (!figure || *figure < 0) {
            return std::nullopt;
        }
        figures[i] = *figure;
    }
    ReportedLoad load{figures[0], figures[1], figures[2], std::nullopt};
    if (words.size() == maxFigures) {
        load.pacePercent = figures[3];
    }
    return load;
}

/** @brief Reads a decimal number of at least zero. @return Number, at most the given one; empty if malformed. */
std::optional<double> toDecimal(std::string_view text, double max)
{
    double number = 0;
    const auto *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number, std::chars_format::fixed);
    if (result.ptr != end || text.empty() || !std::isfinite(number) || number < 0) {
        return std::nullopt;
    }
    const bool isTooLarge = result.ec == std::errc::result_out_of_range || number > max;
    return isTooLarge ? max : number;
}

ServerStatement statementOf(unsigned status, const Fields &fields)
{
    ServerStatement statement;
    if (status == misdirectedRequest) {
        return statement; // Another backend server has the address.
    }
    statement.isLeaving = valueOf(fields, leavingHeader) == "1";
    const auto limit = valueOf(fields, limitHeader);
    statement.limit = toDecimal(limit, maxLimit);
    statement.isLimitMalformed = !limit.empty() && !statement.limit;
    const auto retryAfter = status == unavailableStatus ? toDecimal(valueOf(fields, "Retry-After"), maxRetryAfterSeconds) : std::nullopt;
    if (retryAfter) {
        constexpr double millisPerSecond = 1000;
        statement.retryAfter = std::chrono::milliseconds(std::llround(*retryAfter * millisPerSecond));
    }
    return statement;
}

std::optional<std::chrono::seconds> idleTimeoutOf(std::string_view text)
{
    constexpr std::string_view key = "timeout=";
    const auto position = text.find(key);
    if (position == std::string_view::npos) {
        return std::nullopt;
    }
    const auto rest = text.substr(position + key.size());
    const auto digits = rest.substr(0, rest.find_first_not_of("0123456789"));
    const auto seconds = toNumber<long>(digits);
    return seconds ? std::optional(std::chrono::seconds(*seconds)) : std::nullopt;
}

} // namespace internal

std::string readRequestId(const Fields &fields)
{
    return std::string(internal::valueOf(fields, internal::requestIdHeader));
}

RequestHead readRequestHead(const Fields &fields)
{
    RequestHead head;
    head.id = readRequestId(fields);
    head.host = internal::hostOf(internal::valueOf(fields, "Host"));
    head.model = internal::valueOf(fields, internal::modelHeader);
    head.lastEventId = internal::valueOf(fields, internal::lastEventIdHeader);
    const auto authorization = internal::valueOf(fields, "Authorization");
    if (boost::istarts_with(authorization, internal::bearerScheme)) {
        head.apiKey = authorization.substr(internal::bearerScheme.size());
    }
    const auto callerTimeout = internal::valueOf(fields, internal::callerTimeoutHeader);
    if (!callerTimeout.empty()) {
        const auto millis = internal::toNumber<std::int64_t>(callerTimeout);
        if (!millis || *millis < 0) {
            internal::rejectHeader(internal::callerTimeoutHeader, "must be a whole number of milliseconds");
        }
        head.callerTimeout = std::chrono::milliseconds(*millis);
    }
    const auto tokens = internal::valueOf(fields, internal::tokensHeader);
    if (!tokens.empty()) {
        internal::readTokens(tokens, head);
    }
    internal::readParts(internal::valueOf(fields, internal::partsHeader), head);
    return head;
}

ResponseHead readResponseHead(unsigned status, const Fields &fields)
{
    ResponseHead head;
    head.isContradictory = internal::hasDifferentValues(fields, internal::requestIdHeader) || internal::hasDifferentValues(fields, internal::digestHeader);
    head.requestId = internal::valueOf(fields, internal::requestIdHeader);
    head.hasDigest = !internal::valueOf(fields, internal::digestHeader).empty();
    head.isNotExecuted = !internal::valueOf(fields, internal::notExecutedHeader).empty() || status == internal::misdirectedRequest;
    const auto type = internal::valueOf(fields, "Content-Type");
    head.isEventStream = type.empty() || boost::istarts_with(type, internal::eventStreamType);
    head.isEncoded = !internal::valueOf(fields, "Content-Encoding").empty();
    head.statement = internal::statementOf(status, fields);
    const auto load = internal::valueOf(fields, internal::loadHeader);
    head.load = internal::loadOf(load);
    head.isLoadMalformed = !load.empty() && !head.load;
    head.idleTimeout = internal::idleTimeoutOf(internal::valueOf(fields, "Keep-Alive"));
    return head;
}

void appendForwardedHeaders(std::string &out, const Fields &fields, const AddedHeaders &added)
{
    const auto connectionOptions = internal::valueOf(fields, "Connection");
    for (const auto &field : fields) {
        const std::string_view name(field.name_string().data(), field.name_string().size());
        const bool isReserved = internal::isListed(name, internal::reservedHeaders.data(), internal::reservedHeaders.data() + internal::reservedHeaders.size());
        const bool isReplaced = !added.lastEventId.empty() && boost::iequals(name, internal::lastEventIdHeader);
        if (!isReserved && !isReplaced && !internal::isHopByHop(name, connectionOptions)) {
            internal::appendLine(out, name, {field.value().data(), field.value().size()});
        }
    }
    internal::appendLine(out, internal::callerTimeoutHeader, std::to_string(added.remainingTime.count()));
    internal::appendLine(out, internal::expectedServerHeader, added.serverId);
    if (!added.workspace.empty()) {
        internal::appendLine(out, internal::workspaceHeader, added.workspace);
    }
    if (added.urgency) {
        internal::appendLine(out, internal::urgencyHeader, std::to_string(*added.urgency));
    }
    if (!added.lastEventId.empty()) {
        internal::appendLine(out, internal::lastEventIdHeader, added.lastEventId);
    }
    if (!added.historySource.empty()) {
        internal::appendLine(out, internal::cacheSourceHeader, added.historySource);
    }
}

void appendResponseHeaders(std::string &out, const Fields &fields)
{
    const auto connectionOptions = internal::valueOf(fields, "Connection");
    for (const auto &field : fields) {
        const std::string_view name(field.name_string().data(), field.name_string().size());
        if (!internal::isHopByHop(name, connectionOptions)) {
            internal::appendLine(out, name, {field.value().data(), field.value().size()});
        }
    }
}

void appendRefusalHeaders(std::string &out, std::string_view requestId, std::chrono::milliseconds retryAfter)
{
    if (!requestId.empty()) {
        internal::appendLine(out, internal::requestIdHeader, requestId);
    }
    if (retryAfter.count() > 0) {
        std::ostringstream seconds;
        seconds << std::fixed << std::setprecision(3) << std::chrono::duration<double>(retryAfter).count();
        internal::appendLine(out, "Retry-After", seconds.str());
    }
}

} // namespace cyclamenspool::platform
