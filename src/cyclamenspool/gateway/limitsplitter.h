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
    /** @brief Creates a splitter that knows no other gateway. @param self Own peer address. @param minGateways Lower bound of the number of gateways. */
    LimitSplitter(std::string self, std::size_t minGateways);

    /** @brief Records a sign of life of a gateway; an earlier time than the known one is ignored. @param gateway Its peer address. @param seenAt Time. */
    void onGatewaySeen(const std::string &gateway, core::MonotonicTime seenAt);

    /** @brief Returns the number of gateways seen within the last 30 s, this one included, or the lower bound if that is higher. */
    [[nodiscard]] std::size_t gatewayCount(core::MonotonicTime now) const;

    /**
     * @brief Returns this gateway's share of an integer limit. The remainder of the division is spread one by one, so some gateways get 0 of a total below
     * their number.
     * @param total Limit of all gateways together.
     * @param limitKey Identifies the limit; hashed with the addresses to choose the gateways that get the remainder.
     * @param now Current time.
     * @return Share, 0 or more.
     */
    [[nodiscard]] std::size_t shareOf(std::size_t total, const std::string &limitKey, core::MonotonicTime now) const;

private:
    [[nodiscard]] std::vector<std::string> knownPeers(core::MonotonicTime now) const;

    std::string self_;
    std::size_t minGateways_;
    std::map<std::string, core::MonotonicTime> lastSeen_; /* by address */
};

} // namespace cyclamenspool::gateway
