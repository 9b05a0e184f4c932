#include <cyclamenspool/telemetry/histogram.h>

#include <algorithm>
#include <numeric>

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

std::chrono::nanoseconds Histogram::quantile(double share) const noexcept
{
    const auto total = std::accumulate(bucketCounts_.begin(), bucketCounts_.end(), std::uint64_t{0});
    if (total == 0) {
        return std::chrono::nanoseconds(0);
    }
    std::uint64_t count = 0;
    std::size_t i = 0;
    while (i + 1 < internal::bounds.size() && static_cast<double>(count + bucketCounts_[i]) < share * static_cast<double>(total)) {
        count += bucketCounts_[i];
        ++i;
    }
    return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(internal::bounds[i]));
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
