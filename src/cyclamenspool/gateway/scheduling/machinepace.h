#pragma once

#include <cyclamenspool/core/now.h>

namespace cyclamenspool::gateway::scheduling {

/** @brief Time that work takes on a machine as a multiple of the usual, from samples that change faster than they arrive. Not thread safe. */
class MachinePace
{
public:
    /** @brief Adds a sample. @param multiple Time that work takes now, as a multiple of the usual. @param now Current time. */
    void add(double multiple, core::MonotonicTime now);

    /** @brief Returns the recent mean, which approaches 1 as the latest sample ages. */
    [[nodiscard]] double multiple(core::MonotonicTime now) const;

private:
    double excess_ = 0; /* of the mean over 1, at the latest sample */
    core::MonotonicTime sampledAt_{};
};

} // namespace cyclamenspool::gateway::scheduling
