#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <chrono>
#include <map>
#include <mutex>
#include <string>

namespace cyclamenspool::telemetry {

/** @brief Counters, gauges and latency summaries of a process in the Prometheus text format. Thread safe; its lock is the innermost. */
class Metrics
{
public:
    /** @brief Sets a value. @param name Name with labels. @param value Value. */
    void set(const std::string &name, double value);

    /** @brief Adds a duration to a summary. @param name Name without labels. @param duration Duration. */
    void observe(const std::string &name, std::chrono::nanoseconds duration);

    /** @brief Formats everything. @return Prometheus text. */
    [[nodiscard]] std::string text() const;

private:
    using Summary = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum, boost::accumulators::tag::extended_p_square>>;

    [[nodiscard]] static Summary makeSummary();

    mutable std::mutex mutex_;
    std::map<std::string, double> values_;
    std::map<std::string, Summary> summaries_;
};

} // namespace cyclamenspool::telemetry
