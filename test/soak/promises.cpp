#include "promises.h"

#include <algorithm>

namespace cyclamenspool::soak {

namespace {

bool promisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

bool isCutByStop(const Seen &seen, const std::vector<PlannedStop> &stops)
{
    return std::any_of(stops.begin(), stops.end(), [&seen](const PlannedStop &stop) {
        return stop.gateway == seen.gateway && seen.sentAt >= stop.from && seen.endedAt <= stop.to;
    });
}

} // namespace

void Promises::record(Seen seen)
{
    const std::lock_guard lock(mutex_);
    requests_.push_back(std::move(seen));
}

void Promises::addPlannedStop(const PlannedStop &stop)
{
    const std::lock_guard lock(mutex_);
    stops_.push_back(stop);
}

void Promises::addViolation(Violation violation)
{
    const std::lock_guard lock(mutex_);
    violations_.push_back(std::move(violation));
}

std::vector<Violation> Promises::check(const std::map<std::string, int> &runs) const
{
    const std::lock_guard lock(mutex_);
    auto violations = violations_;
    for (const auto &seen : requests_) {
        const auto found = runs.find(seen.id);
        const int count = found == runs.end() ? 0 : found->second;
        if (seen.kind == Kind::Once && count > 1) {
            violations.push_back({"at most once", seen.id, "ran " + std::to_string(count) + " times"});
        }
        if (seen.kind == Kind::Once && promisesNotRun(seen.status) && count > 0) {
            violations.push_back({"not run is true", seen.id, "status " + std::to_string(seen.status) + ", but it ran"});
        }
        if (seen.status == 200 && seen.isComplete && !seen.isOwn) {
            violations.push_back({"a whole answer to its own caller", seen.id, "complete 200 with another body"});
        }
        if (count > 0 && !seen.isComplete && isCutByStop(seen, stops_)) {
            violations.push_back({"a planned stop cuts nothing", seen.id, "it ran and its response was cut"});
        }
    }
    return violations;
}

int Promises::answeredCount() const
{
    const std::lock_guard lock(mutex_);
    return static_cast<int>(std::count_if(requests_.begin(), requests_.end(), [](const Seen &seen) {
        return seen.isOwn && seen.isComplete;
    }));
}

int Promises::requestCount() const
{
    const std::lock_guard lock(mutex_);
    return static_cast<int>(requests_.size());
}

} // namespace cyclamenspool::soak
