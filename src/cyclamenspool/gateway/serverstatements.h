#pragma once

#include <cyclamenspool/core/now.h>
#include <cyclamenspool/platform/headers.h>
#include <cyclamenspool/policy/tokenbucket.h>

#include <cstddef>
#include <optional>
#include <string>

namespace cyclamenspool::gateway {

class LimitSplitter;

/** @brief Statement about a backend server's limit, with the time from which it holds. */
struct StatedLimit {
    std::optional<double> perSecond; /**< Requests per second of all gateways together; empty: none any more. */
    core::MonotonicTime statedAt{};
};

/**
 * @brief What a backend server has said of itself in its responses to this gateway, and to others as they report it. Not thread safe.
 *
 * That it leaves holds for its process, a back-off time for this gateway. Of limits the latest statement holds, for at most 30 s.
 */
class ServerStatements
{
public:
    /**
     * @brief Handles the statement in a response.
     * @param statement Statement.
     * @param sentAt Time at which its request was placed: a response without a limit ends one that was stated earlier, but not a later one.
     * @param now Current time.
     * @return True if it begins to leave, or a limit begins or ends.
     */
    bool onResponse(const platform::ServerStatement &statement, core::MonotonicTime sentAt, core::MonotonicTime now);

    /** @brief Handles another gateway's report of a limit; an earlier statement than the known one is ignored. */
    void onReportedLimit(const StatedLimit &reported);

    /** @brief Handles another gateway's report that the server leaves. */
    void onReportedLeaving() noexcept
    {
        isLeaving_ = true;
    }

    /** @brief Returns whether the server has said that it leaves. */
    [[nodiscard]] bool isLeaving() const noexcept
    {
        return isLeaving_;
    }

    /** @brief Returns the end of its back-off time. */
    [[nodiscard]] core::MonotonicTime backOffUntil() const noexcept
    {
        return backOffUntil_;
    }

    /** @brief Returns the limit in force in requests per second; empty if there is none. */
    [[nodiscard]] std::optional<double> limit(core::MonotonicTime now) const noexcept;

    /** @brief Returns the latest statement about a limit; its time is zero if there was none. */
    [[nodiscard]] const StatedLimit &latestLimit() const noexcept
    {
        return limit_;
    }

    /**
     * @brief Returns the time until this gateway's share of the limit allows a request; zero if it allows one now or there is no limit.
     * @param splitter Splits the limit among the gateways.
     * @param serverId Id of the backend server.
     * @param now Current time.
     */
    [[nodiscard]] core::Milliseconds waitTime(const LimitSplitter &splitter, const std::string &serverId, core::MonotonicTime now);

    /** @brief Counts a request to the server against the limit. */
    void onSent(core::MonotonicTime now);

private:
    bool isLeaving_ = false;
    core::MonotonicTime backOffUntil_{};
    StatedLimit limit_;
    std::optional<policy::TokenBucket> bucket_; /* this gateway's share of the limit */
};

/**
 * @brief Returns the number of gateways that share a limit; the others send the server nothing.
 *
 * Each of them may save up one request, so their number bounds the burst above the limit.
 * @param perSecond Limit in requests per second.
 * @param gateways Number of gateways.
 */
[[nodiscard]] std::size_t limitHolders(double perSecond, std::size_t gateways) noexcept;

} // namespace cyclamenspool::gateway
