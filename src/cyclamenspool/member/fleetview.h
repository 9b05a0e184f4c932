#pragma once

#include <cyclamenspool/config/table.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cyclamenspool::member {

/** @brief A backend server with the agent beside it, as the platform's list shows it. */
struct Member {
    std::string server;
    std::string vm{};
    std::string zone{};
    std::string address{};
    double weight = 1.0;
    bool accepting = true; /**< False while the list or the operators mark it as leaving. */
};

/** @brief Immutable view of the fleet: the table in force joined with the platform's list of VMs. */
class FleetView
{
public:
    /** @brief Joins table and list. @param table Typed content. @param revision Sum of the revisions of the operators' documents. */
    FleetView(std::shared_ptr<const config::Table> table, std::uint64_t revision);

    /** @brief Returns a pool's members. @param pool Pool. @return Members, leaving ones included. */
    [[nodiscard]] const std::vector<Member> &members(const std::string &pool) const;

    /** @brief Finds a member. @param pool Pool. @param server Backend server. @return Member; null if it is not listed. */
    [[nodiscard]] const Member *find(const std::string &pool, const std::string &server) const;

    /**
     * @brief Lists the backend servers that may be the home of an idempotency key.
     *
     * A function of the operators' documents alone: members of the pool's groups without the ones marked as leaving.
     * @param pool Pool.
     * @return Names with weights.
     */
    [[nodiscard]] const std::vector<Member> &keyHomes(const std::string &pool) const;

    /** @brief Lists all backend servers named by a pool's groups, leaving ones included. @param pool Pool. @return Names. */
    [[nodiscard]] std::vector<std::string> groupServers(const std::string &pool) const;

    /** @brief Tells whether the operators or the platform mark a VM as leaving. @param vm VM. @param zone Its zone. @return True if so. */
    [[nodiscard]] bool isLeaving(const std::string &vm, const std::string &zone) const;

    /** @brief Counts the live routers. @return Count, at least 1. */
    [[nodiscard]] std::size_t routerCount() const noexcept
    {
        return routerCount_;
    }

    /** @brief Returns the typed content. @return Table. */
    [[nodiscard]] const config::Table &table() const noexcept
    {
        return *table_;
    }

    /** @brief Returns the revision. @return Sum of the revisions of the operators' documents. */
    [[nodiscard]] std::uint64_t revision() const noexcept
    {
        return revision_;
    }

private:
    void addVm(const world::Vm &vm);
    void addGroup(const world::BackendServerGroup &group);
    [[nodiscard]] bool isMarked(const std::string &kind, const std::string &name) const;

    std::shared_ptr<const config::Table> table_;
    std::uint64_t revision_;
    std::size_t routerCount_ = 0;
    std::map<std::string, std::vector<Member>> members_;
    std::map<std::string, std::vector<Member>> keyHomes_;
};

} // namespace cyclamenspool::member
