#include <cyclamenspool/gateway/storelog.h>

#include <cyclamenspool/telemetry/log.h>

#include <chrono>

namespace cyclamenspool::gateway {

namespace internal {

constexpr std::chrono::milliseconds slowReadTime{100};

} // namespace internal

void logMalformedItem(const std::string &key, const std::string &reason)
{
    telemetry::logRateLimited("item_passed_over", {{"key", key}, {"reason", reason}});
}

void logSlowRead(const std::string &prefix, const char *call, const platform::StoreResponse &response)
{
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - response.headersAt);
    if (time >= internal::slowReadTime) {
        telemetry::logRateLimited("store_read_slow", {{"section", prefix}, {"call", call}, {"bytes", response.body.size()}, {"took_ms", time.count()}});
    }
}

void logListPreferred(const std::string &prefix)
{
    telemetry::logRateLimited("store_list_preferred", {{"section", prefix}});
}

} // namespace cyclamenspool::gateway
