#pragma once

#include <cyclamenspool/core/now.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace cyclamenspool::gateway {

/** @brief Counts the gateways that may be at work, so that bounds that sum over all of them can be split. Not thread safe. */
class Shares
{
public:
    /** @brief Creates a count. @param self Own VM. @param leastGateways Gateways that exist at least. */
    Shares(std::string self, std::size_t leastGateways);

    /** @brief Takes the news that a gateway is alive. @param vm Its VM. @param now Time. */
    void onGateway(const std::string &vm, core::MonotonicTime now);

    /** @brief Counts the gateways that were alive lately, this one included. @param now Time. @return Count; never too low while peers are silent for moments.
     */
    [[nodiscard]] std::size_t gateways(core::MonotonicTime now) const;

    /**
     * @brief Splits a whole number among the gateways; where it is smaller than their number, only some get one.
     * @param whole Sum over all gateways.
     * @param subject What is bounded; spreads the rest over the gateways.
     * @param now Time.
     * @return This gateway's part.
     */
    [[nodiscard]] std::size_t part(std::size_t whole, const std::string &subject, core::MonotonicTime now) const;

private:
    [[nodiscard]] std::vector<std::string> othersAlive(core::MonotonicTime now) const;

    std::string self_;
    std::size_t leastGateways_;
    std::map<std::string, core::MonotonicTime> heard_; /* by VM */
};

} // namespace cyclamenspool::gateway
