#include <cyclamenspool/platform/headers.h>

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <array>
#include <charconv>
#include <iomanip>
#include <sstream>

namespace cyclamenspool::platform {

namespace bhttp = boost::beast::http;

namespace internal {

constexpr std::string_view idName = "Cyclamenspool-Request-Id";
constexpr std::string_view modelName = "Cyclamenspool-Model";
constexpr std::string_view tokensName = "Cyclamenspool-Token-Usage"; /* prompt tokens, largest number of answer tokens */
constexpr std::string_view partsName = "Cyclamenspool-Prompt-Prefix"; /* the whole prompt, not only its prefix */
constexpr std::string_view callerTimeName = "Cyclamenspool-Deadline-Ms"; /* a span, not a point in time */
constexpr std::string_view expectName = "Cyclamenspool-Expect-Instance";
constexpr std::string_view workspaceName = "Cyclamenspool-Tenant";
constexpr std::string_view urgencyName = "Cyclamenspool-Request-Urgency";
constexpr std::string_view fetchName = "Kv-Fetch"; /* an address, not a cache */
constexpr std::string_view sealName = "Cyclamenspool-Response-Seal";
constexpr std::string_view notRunName = "Cyclamenspool-Not-Executed";
constexpr std::string_view loadName = "Cyclamenspool-Server-Load";
constexpr std::string_view lastEventName = "Last-Event-Id";
constexpr std::string_view bearer = "Bearer ";

constexpr unsigned misdirected = 421;

/* Headers of one connection. */
constexpr std::array<std::string_view, 11> hopNames{"Connection",
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

/* Headers that only the system sets towards a backend server. */
constexpr std::array<std::string_view, 11> systemNames{"Authorization",
                                                       workspaceName,
                                                       expectName,
                                                       urgencyName,
                                                       callerTimeName,
                                                       "Cyclamenspool-Hold",
                                                       "Cyclamenspool-Pin-Ms",
                                                       "Cyclamenspool-Kv-Backup",
                                                       "Kv-From",
                                                       fetchName,
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

bool isOfConnection(std::string_view name, std::string_view listed)
{
    if (isListed(name, hopNames.data(), hopNames.data() + hopNames.size())) {
        return true;
    }
    return !listed.empty() && bhttp::token_list(listed).exists(name);
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

[[noreturn]] void refuse(std::string_view name, const char *reason)
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

void readTokens(std::string_view text, RequestHead &head)
{
    const auto words = split(text, ',');
    if (words.size() != 2) {
        refuse(tokensName, "must be two numbers");
    }
    const auto prompt = toNumber<std::uint32_t>(words[0]);
    const auto answer = toNumber<std::uint32_t>(words[1]);
    if (!prompt || !answer) {
        refuse(tokensName, "must be two numbers");
    }
    head.promptTokens = *prompt;
    head.answerTokens = *answer;
}

void readParts(std::string_view text, RequestHead &head)
{
    for (const auto entry : split(text, ',')) {
        const auto words = split(entry, ':');
        const auto id = words.size() == 2 ? toNumber<std::uint64_t>(words[0], 16) : std::nullopt;
        const auto tokens = words.size() == 2 ? toNumber<std::uint32_t>(words[1]) : std::nullopt;
        if (!id || !tokens) {
            refuse(partsName, "must list entries of the form ID:TOKENS");
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
    const auto words = split(text, ',');
    if (words.size() != 3) {
        return std::nullopt;
    }
    const auto running = toNumber<int>(words[0]);
    const auto waiting = toNumber<int>(words[1]);
    const auto slots = toNumber<int>(words[2]);
    if (!running || !waiting || !slots) {
        return std::nullopt;
    }
    return ReportedLoad{*running, *waiting, *slots};
}

std::optional<std::chrono::seconds> idleTimeoutOf(std::string_view text)
{
    constexpr std::string_view key = "timeout=";
    const auto at = text.find(key);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const auto rest = text.substr(at + key.size());
    const auto digits = rest.substr(0, rest.find_first_not_of("0123456789"));
    const auto seconds = toNumber<long>(digits);
    return seconds ? std::optional(std::chrono::seconds(*seconds)) : std::nullopt;
}

} // namespace internal

RequestHead readRequestHead(const Fields &fields)
{
    RequestHead head;
    head.id = internal::valueOf(fields, internal::idName);
    head.host = internal::hostOf(internal::valueOf(fields, "Host"));
    head.model = internal::valueOf(fields, internal::modelName);
    head.lastEvent = internal::valueOf(fields, internal::lastEventName);
    const auto authorization = internal::valueOf(fields, "Authorization");
    if (boost::istarts_with(authorization, internal::bearer)) {
        head.apiKey = authorization.substr(internal::bearer.size());
    }
    const auto callerTime = internal::valueOf(fields, internal::callerTimeName);
    if (!callerTime.empty()) {
        const auto millis = internal::toNumber<std::int64_t>(callerTime);
        if (!millis || *millis < 0) {
            internal::refuse(internal::callerTimeName, "must be a whole number of milliseconds");
        }
        head.callerTime = std::chrono::milliseconds(*millis);
    }
    const auto tokens = internal::valueOf(fields, internal::tokensName);
    if (!tokens.empty()) {
        internal::readTokens(tokens, head);
    }
    internal::readParts(internal::valueOf(fields, internal::partsName), head);
    return head;
}

AnswerHead readAnswerHead(unsigned status, const Fields &fields)
{
    AnswerHead head;
    head.requestId = internal::valueOf(fields, internal::idName);
    head.sealed = !internal::valueOf(fields, internal::sealName).empty();
    head.notRun = !internal::valueOf(fields, internal::notRunName).empty() || status == internal::misdirected;
    head.encoded = !internal::valueOf(fields, "Content-Encoding").empty();
    head.load = internal::loadOf(internal::valueOf(fields, internal::loadName));
    head.idleTimeout = internal::idleTimeoutOf(internal::valueOf(fields, "Keep-Alive"));
    return head;
}

void appendForwarded(std::string &out, const Fields &fields, const ForwardHead &head)
{
    const auto listed = internal::valueOf(fields, "Connection");
    for (const auto &field : fields) {
        const std::string_view name(field.name_string().data(), field.name_string().size());
        const bool isSystems = internal::isListed(name, internal::systemNames.data(), internal::systemNames.data() + internal::systemNames.size());
        const bool isReplaced = !head.lastEvent.empty() && boost::iequals(name, internal::lastEventName);
        if (!isSystems && !isReplaced && !internal::isOfConnection(name, listed)) {
            internal::appendLine(out, name, {field.value().data(), field.value().size()});
        }
    }
    internal::appendLine(out, internal::callerTimeName, std::to_string(head.timeLeft.count()));
    internal::appendLine(out, internal::expectName, head.server);
    if (!head.workspace.empty()) {
        internal::appendLine(out, internal::workspaceName, head.workspace);
    }
    if (head.urgency) {
        internal::appendLine(out, internal::urgencyName, std::to_string(*head.urgency));
    }
    if (!head.lastEvent.empty()) {
        internal::appendLine(out, internal::lastEventName, head.lastEvent);
    }
    if (!head.historySource.empty()) {
        internal::appendLine(out, internal::fetchName, head.historySource);
    }
}

void appendAnswered(std::string &out, const Fields &fields)
{
    const auto listed = internal::valueOf(fields, "Connection");
    for (const auto &field : fields) {
        const std::string_view name(field.name_string().data(), field.name_string().size());
        if (!internal::isOfConnection(name, listed)) {
            internal::appendLine(out, name, {field.value().data(), field.value().size()});
        }
    }
}

void appendRefusal(std::string &out, std::string_view requestId, std::chrono::milliseconds retryAfter)
{
    if (!requestId.empty()) {
        internal::appendLine(out, internal::idName, requestId);
    }
    if (retryAfter.count() > 0) {
        std::ostringstream seconds;
        seconds << std::fixed << std::setprecision(3) << std::chrono::duration<double>(retryAfter).count();
        internal::appendLine(out, "Retry-After", seconds.str());
    }
}

} // namespace cyclamenspool::platform
