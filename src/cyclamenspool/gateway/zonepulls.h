#pragma once

#include <cyclamenspool/core/now.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace cyclamenspool::gateway {

/** @brief Request for the totals of another zone. */
struct ZonePullRequest {
    std::string zone;
    std::string address; /**< Gateway of that zone. */
    core::Milliseconds sinceReply{0}; /**< Time since the zone's last reply; 60 s if there was none. */
};

/**
 * @brief Decides when the totals of each other zone are requested, and from which of its gateways. Does no I/O. Not thread safe.
 *
 * A gateway prefers its own partner in a zone, by rendezvous hashing, so that requests are spread over the zone. A partner that does not reply is avoided
 * for 5 s. The period follows the size of the replies, so that they take a bounded number of bytes per second at any fleet size.
 */
class ZonePulls
{
public:
    /** @brief Creates an instance without zones. @param self Own peer address. */
    explicit ZonePulls(std::string self);

    /** @brief Adds a gateway of another zone, or moves it there. @param address Peer address. @param zone Its zone. */
    void addGateway(const std::string &address, const std::string &zone);

    /** @brief Removes a gateway; a zone without gateways is no longer requested. */
    void removeGateway(const std::string &address);

    /**
     * @brief Returns the requests that are due, and counts them as sent. A request without a reply for 400 ms has failed.
     *
     * One gateway of the own zone asks each other zone and shares the reply; the others ask only if nothing has been shared for longer than the period.
     * @param now Current time.
     * @param members Peer addresses of the other live gateways of the own zone.
     */
    [[nodiscard]] std::vector<ZonePullRequest> takeDue(core::MonotonicTime now, const std::vector<std::string> &members = {});

    /** @brief Records a reply, also one that another gateway of the own zone has shared. @param zone Zone. @param bytes Size of the reply. @param now Current
     * time. */
    void onReply(const std::string &zone, std::size_t bytes, core::MonotonicTime now);

    /** @brief Handles the end of a request; without a reply until then it has failed. @param zone Zone. @param address Gateway that was asked.
     * @param now Current time. */
    void onRequestEnded(const std::string &zone, const std::string &address, core::MonotonicTime now);

    /** @brief Returns the time between two requests to a zone: 100 ms, or longer if the replies of all zones would exceed 9 KB/s. */
    [[nodiscard]] core::Milliseconds period() const;

    /** @brief Returns the age from which on a zone's totals are stale. */
    [[nodiscard]] core::Milliseconds maxAge() const;

private:
    struct Gateway {
        std::string zone;
        core::MonotonicTime avoidUntil{};
    };
    struct Zone {
        core::MonotonicTime repliedAt{}; /* zero: never */
        core::MonotonicTime requestedAt{};
        std::string pendingAddress; /* gateway that has not replied yet; empty: none */
        std::size_t replyBytes = 0;
    };

    void avoid(const std::string &address, core::MonotonicTime now);
    [[nodiscard]] const std::string *choosePartner(const std::string &zone, core::MonotonicTime now) const;

    std::string self_;
    std::map<std::string, Gateway> gateways_; /* by address */
    std::map<std::string, Zone> zones_; /* by name */
};

} // namespace cyclamenspool::gateway
