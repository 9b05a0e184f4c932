#pragma once

#include <cyclamenspool/config/document.h>
#include <cyclamenspool/config/fieldreader.h>
#include <cyclamenspool/world/backendservergroup.h>
#include <cyclamenspool/world/pool.h>
#include <cyclamenspool/world/vm.h>
#include <cyclamenspool/world/workspace.h>

#include <map>
#include <string>

namespace cyclamenspool::config {

/** @brief Typed content of the operators' configuration table (workspaces, pools, groups, leaving marks) and of the platform's VM list. */
class Table
{
public:
    /**
     * @brief Validates a row.
     * @param section Name of the row's section; must exist.
     * @param node YAML mapping with the row's fields.
     * @param diagnostics Receives every error.
     * @return Value of the field "name"; empty if the row is invalid.
     */
    [[nodiscard]] static std::string checkRow(const std::string &section, const YAML::Node &node, Diagnostics &diagnostics);

    /** @brief Returns whether a section of that name exists. */
    [[nodiscard]] static bool hasSection(const std::string &section);

    /**
     * @brief Applies changed rows one by one.
     * @param changes Rows by key "section/name"; an empty value removes the row.
     * @throws InvalidInput A row is invalid; the rows before it have been applied.
     */
    void apply(const Rows &changes);

    /**
     * @brief Checks that every pool that a group or workspace refers to exists.
     * @param file File name that error messages refer to.
     * @throws InvalidInput Contains every reference to an unknown pool.
     */
    void checkReferences(const std::string &file) const;

    /** @brief Returns the workspaces by name. */
    [[nodiscard]] const std::map<std::string, world::Workspace> &workspaces() const noexcept
    {
        return workspaces_;
    }

    /** @brief Returns the pools by name. */
    [[nodiscard]] const std::map<std::string, world::Pool> &pools() const noexcept
    {
        return pools_;
    }

    /** @brief Returns the backend server groups by name. */
    [[nodiscard]] const std::map<std::string, world::BackendServerGroup> &groups() const noexcept
    {
        return groups_;
    }

    /** @brief Returns the zones, VMs and backend servers that operators marked as leaving, by name. */
    [[nodiscard]] const std::map<std::string, world::LeavingMark> &leavingMarks() const noexcept
    {
        return leavingMarks_;
    }

    /** @brief Returns the VMs by name. */
    [[nodiscard]] const std::map<std::string, world::Vm> &vms() const noexcept
    {
        return vms_;
    }

private:
    friend struct SectionAccess;

    std::map<std::string, world::Workspace> workspaces_;
    std::map<std::string, world::Pool> pools_;
    std::map<std::string, world::BackendServerGroup> groups_;
    std::map<std::string, world::LeavingMark> leavingMarks_;
    std::map<std::string, world::Vm> vms_;
};

} // namespace cyclamenspool::config
