#pragma once

#include <cyclamenspool/config/table.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cyclamenspool::member {

/** @brief Backend server and its agent, as listed by the platform. */
struct Member {
    std::string server; /**< Name of the backend server. */
    std::string vm{};
    std::string zone{}; /**< Availability zone. */
    std::string address{}; /**< IP address and port of the agent. */
    double weight = 1.0; /**< Relative capacity; keys and load are distributed in proportion to it. */
    bool accepting = true; /**< Whether it accepts new work; false while the platform or the operators mark it as leaving. */
};

/** @brief Immutable view of the fleet: the operators' configuration table joined with the platform's VM list. */
class FleetView
{
public:
    /** @brief Builds the view. @param table Configuration table, VM list included. @param revision Sum of the revisions of the operators' documents. */
    FleetView(std::shared_ptr<const config::Table> table, std::uint64_t revision);

    /** @brief Returns the members of a pool, including those that accept no new work; empty if the pool is unknown. */
    [[nodiscard]] const std::vector<Member> &members(const std::string &pool) const;

    /** @brief Looks up a member of a pool by its backend server. @return Member; null if it is not listed. */
    [[nodiscard]] const Member *find(const std::string &pool, const std::string &server) const;

    /**
     * @brief Returns the backend servers of a pool that can be the home of an idempotency key.
     *
     * The result depends only on the operators' documents and not on the VM list: it holds the servers named by the pool's
     * groups, except those that the operators mark as leaving and those of a group whose availability zone they mark as leaving.
     * @return Members with server, zone and weight set; empty if the pool is unknown.
     */
    [[nodiscard]] const std::vector<Member> &keyHomes(const std::string &pool) const;

    /** @brief Returns the names of all backend servers in a pool's groups, including those marked as leaving. */
    [[nodiscard]] std::vector<std::string> groupServers(const std::string &pool) const;

    /**
     * @brief Returns whether a VM is leaving: the platform or the operators mark it, or the operators mark its availability zone.
     * @param vm Name of the VM.
     * @param zone Its availability zone.
     */
    [[nodiscard]] bool isLeaving(const std::string &vm, const std::string &zone) const;

    /** @brief Returns the number of router VMs that are not leaving, at least 1. */
    [[nodiscard]] std::size_t routerCount() const noexcept
    {
        return routerCount_;
    }

    /** @brief Returns the configuration table of the view. */
    [[nodiscard]] const config::Table &table() const noexcept
    {
        return *table_;
    }

    /** @brief Returns the sum of the revisions of the operators' documents. */
    [[nodiscard]] std::uint64_t revision() const noexcept
    {
        return revision_;
    }

private:
    void addVm(const world::Vm &vm);
    void addGroup(const world::BackendServerGroup &group);
    [[nodiscard]] bool isMarkedLeaving(const std::string &kind, const std::string &name) const;

    std::shared_ptr<const config::Table> table_;
    std::uint64_t revision_;
    std::size_t routerCount_ = 0;
    std::map<std::string, std::vector<Member>> members_;
    std::map<std::string, std::vector<Member>> keyHomes_;
};

} // namespace cyclamenspool::member
