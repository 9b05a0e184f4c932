#include <cyclamenspool/telemetry/histogram.h>

#include <algorithm>

namespace cyclamenspool::telemetry {

namespace internal {

constexpr std::array<double, 14> bounds{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30}; /* seconds */

} // namespace internal

void Histogram::observe(std::chrono::nanoseconds duration) noexcept
{
    static_assert(internal::bounds.size() == boundCount);
    const std::chrono::duration<double> seconds = duration;
    const auto bound = std::lower_bound(internal::bounds.begin(), internal::bounds.end(), seconds.count());
    ++bucketCounts_[static_cast<std::size_t>(bound - internal::bounds.begin())];
    sum_ += duration;
}

void Histogram::write(std::ostream &out, const std::string &name, const std::string &labels) const
{
    const std::string labelPrefix = labels.empty() ? "" : labels + ",";
    const std::string bracedLabels = labels.empty() ? "" : "{" + labels + "}";
    std::uint64_t count = 0;
    for (std::size_t i = 0; i < internal::bounds.size(); ++i) {
        count += bucketCounts_[i];
        out << name << "_bucket{" << labelPrefix << "le=\"" << internal::bounds[i] << "\"} " << count << '\n';
    }
    count += bucketCounts_.back();
    out << name << "_bucket{" << labelPrefix << "le=\"+Inf\"} " << count << '\n';
    out << name << "_sum" << bracedLabels << ' ' << std::chrono::duration<double>(sum_).count() << '\n';
    out << name << "_count" << bracedLabels << ' ' << count << '\n';
}

} // namespace cyclamenspool::telemetry
