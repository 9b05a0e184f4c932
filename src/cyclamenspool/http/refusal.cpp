#include <cyclamenspool/http/refusal.h>

#include <cyclamenspool/core/uuid.h>

#include <boost/json/serialize.hpp>

#include <mutex>
#include <random>

namespace cyclamenspool::http {

boost::json::object describeError(core::ErrorKind kind, const std::string &detail, core::RunState runState)
{
    const auto &rule = core::ruleOf(kind);
    boost::json::object error;
    error["kind"] = rule.name;
    error["message"] = rule.message;
    error["detail"] = detail;
    error["not_run"] = runState == core::RunState::NotRun;
    return error;
}

std::string Refusal::json() const
{
    auto error = describeError(kind, detail, runState);
    if (retryAfter.count() > 0) {
        error["retry_after_ms"] = retryAfter.count();
    }
    boost::json::object object;
    object["error"] = std::move(error);
    object["request_id"] = requestId;
    return boost::json::serialize(object);
}

Headers Refusal::headers() const
{
    Headers headers{{"Content-Type", "application/json"}, {"X-Request-Id", requestId}};
    if (retryAfter.count() > 0) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter);
        headers.emplace_back("Retry-After", std::to_string(seconds.count()));
    }
    return headers;
}

Refusal makeRefusal(const std::string &requestId, core::ErrorKind kind, const std::string &detail)
{
    const auto &rule = core::ruleOf(kind);
    return {requestId, kind, detail, rule.retryAfter, rule.runState};
}

boost::asio::awaitable<void> sendRefusal(Refusal refusal, Responder &responder)
{
    if (refusal.runState == core::RunState::NotRun) {
        responder.markRefused();
    }
    co_await responder.send(core::ruleOf(refusal.kind).status, refusal.headers(), refusal.json() + "\n");
}

boost::asio::awaitable<void> refuseWithNewId(core::ErrorKind kind, const std::string &detail, Responder &responder)
{
    co_await sendRefusal(makeRefusal(makeRequestId(), kind, detail), responder);
}

std::string makeRequestId()
{
    static std::mutex mutex;
    static core::RandomSource random((static_cast<std::uint64_t>(std::random_device{}()) << 32U) | std::random_device{}());
    const std::lock_guard lock(mutex);
    return core::makeUuid7(std::chrono::system_clock::now(), random);
}

} // namespace cyclamenspool::http
