#include <cyclamenspool/telemetry/metrics.h>

#include <array>
#include <sstream>

namespace cyclamenspool::telemetry {

namespace acc = boost::accumulators;

namespace internal {

constexpr std::array<double, 4> quantiles{0.5, 0.9, 0.95, 0.99};
constexpr std::size_t minSamplesForQuantiles = 20; /* with fewer, the estimates are not meaningful */

} // namespace internal

Metrics::Summary Metrics::makeSummary()
{
    return Summary(acc::tag::extended_p_square::probabilities = internal::quantiles);
}

void Metrics::set(const std::string &name, double value)
{
    const std::lock_guard lock(mutex_);
    values_[name] = value;
}

void Metrics::observe(const std::string &name, std::chrono::nanoseconds duration)
{
    const std::chrono::duration<double> seconds = duration;
    const std::lock_guard lock(mutex_);
    const auto found = summaries_.try_emplace(name, makeSummary()).first;
    found->second(seconds.count());
}

std::string Metrics::text() const
{
    const std::lock_guard lock(mutex_);
    std::ostringstream out;
    for (const auto &[name, value] : values_) {
        out << name << ' ' << value << '\n';
    }
    for (const auto &[name, summary] : summaries_) {
        const bool hasQuantiles = acc::count(summary) >= internal::minSamplesForQuantiles;
        for (std::size_t i = 0; hasQuantiles && i < internal::quantiles.size(); ++i) {
            out << name << "{quantile=\"" << internal::quantiles[i] << "\"} " << acc::extended_p_square(summary)[i] << '\n';
        }
        out << name << "_sum " << acc::sum(summary) << '\n';
        out << name << "_count " << acc::count(summary) << '\n';
    }
    return out.str();
}

} // namespace cyclamenspool::telemetry
