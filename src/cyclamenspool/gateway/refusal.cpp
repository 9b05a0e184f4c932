#include <cyclamenspool/gateway/refusal.h>

#include <cyclamenspool/http/refusal.h>
#include <cyclamenspool/platform/headers.h>

#include <boost/beast/http/status.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace cyclamenspool::gateway {

namespace internal {

constexpr double longestPart = 0.3; /* of the time that the caller has left; callers honour a third */
constexpr double shortestPart = 0.4; /* of the longest wait; the rest is the spread */
constexpr std::chrono::milliseconds longestWait{900};

std::string bodyOf(const GatewayRefusal &refusal)
{
    boost::json::object object;
    object["error"] = http::describeError(refusal.kind, refusal.detail, core::ruleOf(refusal.kind).runState);
    return boost::json::serialize(object) + "\n";
}

} // namespace internal

std::string formatRefusal(const GatewayRefusal &refusal)
{
    const auto status = static_cast<unsigned>(core::ruleOf(refusal.kind).status);
    const auto body = internal::bodyOf(refusal);
    std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
    out += boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    out += "\r\n";
    platform::appendRefusal(out, refusal.requestId, refusal.retryAfter);
    out += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    out += refusal.keepAlive ? "\r\n" : "Connection: close\r\n\r\n";
    if (!refusal.isHead) {
        out += body;
    }
    return out;
}

std::chrono::milliseconds retryAfterOf(core::ErrorKind kind, std::chrono::milliseconds timeLeft, core::RandomSource &random)
{
    const auto &rule = core::ruleOf(kind);
    if (rule.retryAfter.count() == 0 || rule.runState != core::RunState::NotRun) {
        return std::chrono::milliseconds(0);
    }
    const auto part = std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft * internal::longestPart);
    const auto longest = std::min({part, rule.retryAfter, internal::longestWait});
    const double spread = internal::shortestPart + (1 - internal::shortestPart) * random.unit();
    return std::max(std::chrono::duration_cast<std::chrono::milliseconds>(longest * spread), std::chrono::milliseconds(1));
}

} // namespace cyclamenspool::gateway
