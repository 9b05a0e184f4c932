#pragma once

#include <cyclamenspool/core/now.h>
#include <cyclamenspool/gateway/scheduling/machinepace.h>
#include <cyclamenspool/gateway/scheduling/pendingprompts.h>

#include <optional>

namespace cyclamenspool::gateway::scheduling {

/** @brief Load that a backend server has reported in a response, in requests of all gateways. */
struct LoadSample {
    int running = 0;
    int waiting = 0;
    int slots = 0; /**< Requests that can run at once. */
    core::MonotonicTime at{};
};

/** @brief Work of this gateway that a backend server has still to do, and what the server says of its load. Not thread safe. */
class ServerCapacity
{
public:
    /** @brief Records a report. @param load Load. @param paceMultiple As in MachinePace::add(); empty: the server does not report it. */
    void onReport(const LoadSample &load, const std::optional<double> &paceMultiple);

    PendingPrompts pending; /**< Prompts of this gateway's requests that wait for their first event. */

    /** @brief Returns the pace of the server's machine. */
    [[nodiscard]] const MachinePace &pace() const noexcept
    {
        return pace_;
    }

    /** @brief Returns the latest report; empty: none. */
    [[nodiscard]] const std::optional<LoadSample> &latestReport() const noexcept
    {
        return latest_;
    }

private:
    MachinePace pace_;
    std::optional<LoadSample> latest_;
};

} // namespace cyclamenspool::gateway::scheduling
