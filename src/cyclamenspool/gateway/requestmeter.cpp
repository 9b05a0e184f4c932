#include <cyclamenspool/gateway/requestmeter.h>

#include <cyclamenspool/telemetry/label.h>

#include <set>
#include <string_view>

namespace cyclamenspool::gateway {

namespace internal {

constexpr std::array<const char *, 3> kindLabels{"kind=\"non_idempotent\"", "kind=\"idempotent\"", "kind=\"streaming\""}; /* by RouteKind */

constexpr double usualShare = 0.95; /* of the answered requests; the slowest ones are exceptions */

} // namespace internal

void RequestMeter::record(const EndedRequest &request)
{
    const auto kind = static_cast<std::size_t>(request.kind);
    const std::lock_guard lock(mutex_);
    durations_[kind].observe(request.duration);
    if (request.isAnswered) {
        answeredDurations_[kind].observe(request.duration);
    }
    if (request.isAnswered && request.kind == world::RouteKind::NonIdempotent) {
        routeDurations_[request.route].observe(request.duration);
    }
    if (request.timeToHeaders) {
        timesToHeaders_[kind].observe(*request.timeToHeaders);
    }
    if (!request.workspace.empty()) {
        auto &counts = workspaces_[request.workspace];
        ++(request.isAnswered ? counts.answered : counts.unanswered);
    }
}

std::chrono::nanoseconds RequestMeter::usualDuration(const world::Route &route) const
{
    const std::lock_guard lock(mutex_);
    const auto own = routeDurations_.find(route.name);
    const bool isMeasured = route.kind == world::RouteKind::NonIdempotent && own != routeDurations_.end();
    const auto &durations = isMeasured ? own->second : answeredDurations_[static_cast<std::size_t>(route.kind)];
    return durations.quantile(internal::usualShare);
}

void RequestMeter::retainRoutes(const std::vector<world::Route> &routes)
{
    std::set<std::string_view> names;
    for (const auto &route : routes) {
        if (route.kind == world::RouteKind::NonIdempotent) {
            names.insert(route.name);
        }
    }
    const std::lock_guard lock(mutex_);
    std::erase_if(routeDurations_, [&names](const auto &entry) {
        return names.count(entry.first) == 0;
    });
}

void RequestMeter::write(std::ostream &out) const
{
    const std::lock_guard lock(mutex_);
    out << "# TYPE cyclamenspool_request_seconds histogram\n";
    for (std::size_t kind = 0; kind < kindCount; ++kind) {
        durations_[kind].write(out, "cyclamenspool_request_seconds", internal::kindLabels[kind]);
    }
    out << "# TYPE cyclamenspool_answer_head_seconds histogram\n";
    for (std::size_t kind = 0; kind < kindCount; ++kind) {
        timesToHeaders_[kind].write(out, "cyclamenspool_answer_head_seconds", internal::kindLabels[kind]);
    }
    for (const auto &[workspace, counts] : workspaces_) {
        const auto label = telemetry::label("workspace", workspace);
        out << "cyclamenspool_workspace_requests_total{" << label << ",answered=\"yes\"} " << counts.answered << '\n';
        out << "cyclamenspool_workspace_requests_total{" << label << ",answered=\"no\"} " << counts.unanswered << '\n';
    }
}

} // namespace cyclamenspool::gateway
