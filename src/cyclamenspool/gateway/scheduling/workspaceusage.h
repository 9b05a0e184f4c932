#pragma once

#include <cyclamenspool/core/now.h>

#include <map>
#include <string>

namespace cyclamenspool::gateway::scheduling {

/** @brief Requests of each workspace that were sent to a service lately; older ones count less, by half for each second. Not thread safe. */
class WorkspaceUsage
{
public:
    /** @brief Counts a request that is sent. @param workspace Its workspace; empty: none. @param now Current time. */
    void add(const std::string &workspace, core::MonotonicTime now);

    /** @brief Returns the usage of a workspace. */
    [[nodiscard]] double of(const std::string &workspace, core::MonotonicTime now) const;

private:
    struct Usage {
        double value = 0; /* as of `at` */
        core::MonotonicTime at{};
    };

    [[nodiscard]] static double valueAt(const Usage &usage, core::MonotonicTime now);

    std::map<std::string, Usage> usages_; /* by workspace */
};

} // namespace cyclamenspool::gateway::scheduling
