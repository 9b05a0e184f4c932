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

/**
 * @brief Counters, gauges and latency summaries of a process in the Prometheus text format.
 *
 * Thread safe. Lock order: the mutex of the metrics is acquired last; no other one is acquired while it is held.
 */
class Metrics
{
public:
    /**
     * @brief Sets a counter or gauge.
     * @param name Metric name with its labels.
     * @param value New value; counters are passed as totals.
     */
    void set(const std::string &name, double value);

    /**
     * @brief Adds a duration to a latency summary in seconds.
     * @param name Metric name without labels.
     * @param duration Observed duration.
     */
    void observe(const std::string &name, std::chrono::nanoseconds duration);

    /** @brief Returns all metrics in the Prometheus text format. Quantiles are left out until a summary has 20 samples. */
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
