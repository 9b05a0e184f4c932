#include <cyclamenspool/gateway/refusal.h>

#include <cyclamenspool/http/refusal.h>
#include <cyclamenspool/platform/headers.h>

#include <boost/beast/http/status.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace cyclamenspool::gateway {

namespace internal {

constexpr double maxDelayFraction = 0.3; /* of the time until the caller's deadline; callers honour delays of up to a third of it */
constexpr double minJitter = 0.4; /* the longest delay is multiplied by a random factor between this and 1 */
constexpr std::chrono::milliseconds maxRetryDelay{900};
constexpr std::chrono::milliseconds missingConfigurationDelay{3000}; /* a process without configuration waits for an outage to end, which takes seconds */
constexpr std::chrono::milliseconds overloadDelay{10000}; /* an overload takes seconds, and a caller may return only once */

/** @brief Returns the longest delay that suits the cause of a refusal. */
std::chrono::milliseconds maxDelayOf(core::ErrorKind kind)
{
    switch (kind) {
    case core::ErrorKind::StaleView:
        return missingConfigurationDelay;
    case core::ErrorKind::PoolFull:
        return overloadDelay;
    default:
        return std::min(core::ruleOf(kind).retryAfter, maxRetryDelay);
    }
}

std::string formatBody(const GatewayRefusal &refusal)
{
    boost::json::object object;
    object["error"] = http::describeError(refusal.kind, refusal.detail, core::ruleOf(refusal.kind).runState);
    return boost::json::serialize(object) + "\n";
}

} // namespace internal

std::string formatRefusal(const GatewayRefusal &refusal)
{
    const auto status = static_cast<unsigned>(core::ruleOf(refusal.kind).status);
    const auto body = internal::formatBody(refusal);
    std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
    out += boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    out += "\r\n";
    platform::appendRefusalHeaders(out, refusal.requestId, refusal.retryAfter);
    out += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    out += refusal.keepAlive ? "\r\n" : "Connection: close\r\n\r\n";
    if (!refusal.isHeadRequest) {
        out += body;
    }
    return out;
}

std::chrono::milliseconds chooseRetryAfter(core::ErrorKind kind,
                                           std::chrono::milliseconds remainingTime,
                                           core::RandomSource &random,
                                           std::chrono::milliseconds availableIn)
{
    const auto &rule = core::ruleOf(kind);
    if (rule.retryAfter.count() == 0 || rule.runState != core::RunState::NotRun) {
        return std::chrono::milliseconds(0);
    }
    const auto callerLimit = std::chrono::duration_cast<std::chrono::milliseconds>(remainingTime * internal::maxDelayFraction);
    const auto maxDelay = std::min(callerLimit, internal::maxDelayOf(kind));
    // Callers return between the time at which there is room and the longest delay, so that they don't all come at once.
    const auto earliest = std::min(availableIn, callerLimit);
    const auto low = std::max(std::chrono::duration_cast<std::chrono::milliseconds>(maxDelay * internal::minJitter), earliest);
    const auto high = std::max(maxDelay, earliest);
    const auto delay = low + std::chrono::duration_cast<std::chrono::milliseconds>((high - low) * random.uniform());
    return std::max(delay, std::chrono::milliseconds(1));
}

} // namespace cyclamenspool::gateway
