#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <ostream>
#include <string>

namespace cyclamenspool::telemetry {

/** @brief Latency histogram with fixed bounds from 1 ms to 30 s, in the Prometheus text format. Not thread safe. */
class Histogram
{
public:
    /** @brief Adds a duration. @param duration Duration. */
    void observe(std::chrono::nanoseconds duration) noexcept;

    /** @brief Writes the buckets, the sum in seconds and the count. @param out Output. @param name Name. @param labels Labels without braces; may be empty. */
    void write(std::ostream &out, const std::string &name, const std::string &labels) const;

private:
    static constexpr std::size_t boundCount = 14;

    std::array<std::uint64_t, boundCount + 1> counts_{}; /* the last one is above all bounds */
    std::chrono::nanoseconds sum_{0};
};

} // namespace cyclamenspool::telemetry
