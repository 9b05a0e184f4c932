#pragma once

#include <cyclamenspool/core/now.h>

#include <optional>

namespace cyclamenspool::gateway {

/** @brief Period in which the store has answered some gateway without a gap in which entries of backend servers may expire. */
struct StoreUptime {
    core::MonotonicTime since{}; /**< First known answer. */
    core::MonotonicTime until{}; /**< Latest known answer. */
};

/**
 * @brief Decides whether the removal of a backend server's entry may be due to an outage of the store, in which no server could renew its entry. Not thread
 * safe.
 *
 * That a store does not answer this gateway is no outage while it answers others: gateways tell each other their latest uptime. Answers at most 1.5 s apart
 * belong to one uptime.
 */
class StoreAvailability
{
public:
    /** @brief Records an answer of the store to this gateway. @param at Time of the answer. */
    void onAnswered(core::MonotonicTime at);

    /** @brief Records a failed call of this gateway. */
    void onCallFailed() noexcept
    {
        hasFailed_ = true;
    }

    /** @brief Begins a new uptime after an outage, as the store was restored from an older copy. @param at Current time. */
    void onRestored(core::MonotonicTime at);

    /** @brief Merges another gateway's uptime; of two that a gap separates, the later one is kept. @param reported Its uptime. */
    void onReported(const StoreUptime &reported);

    /** @brief Returns the latest uptime, for other gateways; empty if it is not known yet whether an outage preceded it. */
    [[nodiscard]] std::optional<StoreUptime> uptime() const noexcept;

    /** @brief Returns whether an entry that is found removed may have expired in an outage: until 2.2 s after the end of the outage, in which servers renew
     * their entries. */
    [[nodiscard]] bool mayEntryHaveExpired(core::MonotonicTime now) const noexcept;

private:
    std::optional<StoreUptime> uptime_;
    bool isAfterOutage_ = false; /* the uptime follows an outage; false: not known to */
    bool hasFailed_ = false;
};

} // namespace cyclamenspool::gateway
