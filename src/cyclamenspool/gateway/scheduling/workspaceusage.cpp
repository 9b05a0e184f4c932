#include <cyclamenspool/gateway/scheduling/workspaceusage.h>

#include <cmath>

namespace cyclamenspool::gateway::scheduling {

namespace internal {

constexpr std::chrono::duration<double> halfLife{1.0};
constexpr std::size_t maxWorkspaces = 1024; /* above that, the ones with little usage are dropped */
constexpr double negligible = 0.01;

} // namespace internal

double WorkspaceUsage::valueAt(const Usage &usage, core::MonotonicTime now)
{
    return usage.value * std::exp2(-(std::chrono::duration<double>(now - usage.at) / internal::halfLife));
}

void WorkspaceUsage::add(const std::string &workspace, core::MonotonicTime now)
{
    if (usages_.size() > internal::maxWorkspaces) {
        std::erase_if(usages_, [now](const auto &entry) {
            return valueAt(entry.second, now) < internal::negligible;
        });
    }
    auto &usage = usages_[workspace];
    usage = {valueAt(usage, now) + 1, now};
}

double WorkspaceUsage::of(const std::string &workspace, core::MonotonicTime now) const
{
    const auto found = usages_.find(workspace);
    return found == usages_.end() ? 0 : valueAt(found->second, now);
}

} // namespace cyclamenspool::gateway::scheduling
