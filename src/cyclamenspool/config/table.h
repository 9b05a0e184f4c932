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

/** @brief Typed content of the operators' table and of the platform's list of VMs. */
class Table
{
public:
    /**
     * @brief Checks one row.
     * @param section Section of the row.
     * @param node YAML mapping.
     * @param diagnostics Receives every error.
     * @return Name of the row; empty if it is invalid.
     */
    [[nodiscard]] static std::string checkRow(const std::string &section, const YAML::Node &node, Diagnostics &diagnostics);

    /** @brief Tells whether a section exists. @param section Section. @return True if it does. */
    [[nodiscard]] static bool hasSection(const std::string &section);

    /** @brief Applies changed rows. @param changes Rows; an empty text means removed. @throws InvalidInput If a row is invalid. */
    void apply(const Rows &changes);

    /** @brief Checks references between rows. @param file Name for the errors. @throws InvalidInput With every error. */
    void checkReferences(const std::string &file) const;

    /** @brief Returns the workspaces. @return Workspaces by name. */
    [[nodiscard]] const std::map<std::string, world::Workspace> &workspaces() const noexcept
    {
        return workspaces_;
    }

    /** @brief Returns the pools. @return Pools by name. */
    [[nodiscard]] const std::map<std::string, world::Pool> &pools() const noexcept
    {
        return pools_;
    }

    /** @brief Returns the backend server groups. @return Groups by name. */
    [[nodiscard]] const std::map<std::string, world::BackendServerGroup> &groups() const noexcept
    {
        return groups_;
    }

    /** @brief Returns the operators' leaving marks. @return Marks by name. */
    [[nodiscard]] const std::map<std::string, world::LeavingMark> &leaving() const noexcept
    {
        return leaving_;
    }

    /** @brief Returns the VMs. @return VMs by name. */
    [[nodiscard]] const std::map<std::string, world::Vm> &vms() const noexcept
    {
        return vms_;
    }

private:
    friend struct SectionAccess;

    std::map<std::string, world::Workspace> workspaces_;
    std::map<std::string, world::Pool> pools_;
    std::map<std::string, world::BackendServerGroup> groups_;
    std::map<std::string, world::LeavingMark> leaving_;
    std::map<std::string, world::Vm> vms_;
};

} // namespace cyclamenspool::config
