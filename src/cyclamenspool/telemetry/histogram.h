#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <ostream>
#include <string>

namespace cyclamenspool::telemetry {

/** @brief Latency histogram with fixed bucket bounds from 1 ms to 30 s, written in the Prometheus text format. Not thread safe. */
class Histogram
{
public:
    /** @brief Counts a duration in its bucket and adds it to the sum. */
    void observe(std::chrono::nanoseconds duration) noexcept;

    /** @brief Returns a duration that a share of the observed ones does not exceed: the bound of its bucket, 30 s at most; zero if there are none. @param share
     * 0 to 1. */
    [[nodiscard]] std::chrono::nanoseconds quantile(double share) const noexcept;

    /**
     * @brief Writes the cumulative buckets, the sum in seconds and the count.
     * @param out Output stream.
     * @param name Name of the metric, without the suffixes of its series.
     * @param labels Comma-separated labels without braces; may be empty.
     */
    void write(std::ostream &out, const std::string &name, const std::string &labels) const;

private:
    static constexpr std::size_t boundCount = 14;

    std::array<std::uint64_t, boundCount + 1> bucketCounts_{}; /* the last bucket has no upper bound */
    std::chrono::nanoseconds sum_{0};
};

} // namespace cyclamenspool::telemetry
