#pragma once

#include <cyclamenspool/core/now.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace cyclamenspool::gateway {

/** @brief Splits limits that hold for all gateways together into one share for each gateway. Not thread safe. */
class LimitSplitter
{
public:
    /** @brief Creates a splitter that knows no other gateway. @param self Own VM. @param minGateways Number of gateways assumed at least. */
    LimitSplitter(std::string self, std::size_t minGateways);

    /** @brief Records that a gateway is alive. @param vm VM of the gateway. @param now Current time. */
    void onGatewaySeen(const std::string &vm, core::MonotonicTime now);

    /** @brief Returns the number of gateways seen recently, this one included; a gateway that stops responding for a moment still counts. */
    [[nodiscard]] std::size_t gatewayCount(core::MonotonicTime now) const;

    /**
     * @brief Returns this gateway's share of a whole number. A remainder is given out by ones, so a total below the number of gateways leaves some without.
     * @param total Limit of all gateways together.
     * @param limitKey Name of what is limited; decides which gateways get the remainder.
     * @param now Current time.
     * @return Share; 0 is possible.
     */
    [[nodiscard]] std::size_t shareOf(std::size_t total, const std::string &limitKey, core::MonotonicTime now) const;

private:
    [[nodiscard]] std::vector<std::string> livePeers(core::MonotonicTime now) const;

    std::string self_;
    std::size_t minGateways_;
    std::map<std::string, core::MonotonicTime> lastSeen_; /* by VM */
};

} // namespace cyclamenspool::gateway
