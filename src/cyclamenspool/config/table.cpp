#include <cyclamenspool/config/table.h>

#include <algorithm>
#include <functional>

namespace cyclamenspool::config {

namespace internal {

constexpr Range positive{1e-6, 1e9};
constexpr Range nonNegative{0, 1e9};
constexpr Range loadMultiple{1.0, 100.0};
constexpr Range durationMs{1, 1e9};

using world::BackendServerGroup;
using world::LeavingMark;
using world::Pool;
using world::Vm;
using world::Workspace;

const std::vector<Field<Workspace>> workspaceFields{
    {"name", &Workspace::name, true},
    {"weight", &Workspace::weight, false, positive},
    {"requests_per_second", &Workspace::requestsPerSecond, false, nonNegative},
    {"priority", &Workspace::priority, false, {-10, 10}},
    {"pools", &Workspace::pools},
};

const std::vector<Field<Pool>> poolFields{
    {"name", &Pool::name, true},
    {"kind", &Pool::kind, false, {}, {"model", "service"}},
    {"model", &Pool::model},
    {"load_bound", &Pool::loadFactor, false, loadMultiple},
    {"max_tokens", &Pool::maxTokens, false, positive},
    {"cold_tokens", &Pool::coldTokens, false, positive},
    {"warm_up_ms", &Pool::warmUp, false, durationMs},
    {"non_idempotent", &Pool::nonIdempotent},
    {"retention_ms", &Pool::retention, false, durationMs},
};

const std::vector<Field<BackendServerGroup>> groupFields{
    {"name", &BackendServerGroup::name, true},
    {"pool", &BackendServerGroup::pool, true},
    {"weight", &BackendServerGroup::weight, false, positive},
    {"zone", &BackendServerGroup::zone},
    {"checks_fencing", &BackendServerGroup::checksFencing},
    {"servers", &BackendServerGroup::servers},
};

const std::vector<Field<LeavingMark>> leavingFields{
    {"name", &LeavingMark::name, true},
    {"kind", &LeavingMark::kind, true, {}, {"zone", "vm", "server"}},
};

const std::vector<Field<Vm>> vmFields{
    {"name", &Vm::name, true},
    {"zone", &Vm::zone, true},
    {"role", &Vm::role, true, {}, {"router", "agent"}},
    {"address", &Vm::address, true},
    {"group", &Vm::group},
    {"server", &Vm::server},
    {"state", &Vm::state, false, {}, {"live", "leaving"}},
};

} // namespace internal

/** @brief Holds the operations on each section of a table, with access to its private members. */
struct SectionAccess {
    template<typename Record>
    using Map = std::map<std::string, Record> Table::*;

    struct Section {
        std::function<std::string(const YAML::Node &, Diagnostics &)> check;
        std::function<void(Table &, const std::string &, const std::string &)> put;
        std::function<void(Table &, const std::string &)> remove;
    };

    template<typename Record>
    static Section make(Map<Record> member, const std::vector<Field<Record>> &fields)
    {
        Section section;
        section.check = [&fields](const YAML::Node &node, Diagnostics &diagnostics) {
            Record record;
            const auto errorsBefore = diagnostics.count();
            readRecord(node, fields, record, diagnostics);
            return diagnostics.count() == errorsBefore ? record.name : std::string();
        };
        section.put = [member, &fields](Table &table, const std::string &name, const std::string &text) {
            Diagnostics diagnostics(name);
            Record record;
            readRecord(diagnostics.parse(text), fields, record, diagnostics);
            diagnostics.throwIfAny();
            (table.*member)[name] = std::move(record);
        };
        section.remove = [member](Table &table, const std::string &name) {
            (table.*member).erase(name);
        };
        return section;
    }

    static const std::map<std::string, Section> &sections()
    {
        static const std::map<std::string, Section> all{
            {"workspaces", make(&Table::workspaces_, internal::workspaceFields)},
            {"pools", make(&Table::pools_, internal::poolFields)},
            {"groups", make(&Table::groups_, internal::groupFields)},
            {"leaving", make(&Table::leavingMarks_, internal::leavingFields)},
            {"vms", make(&Table::vms_, internal::vmFields)},
        };
        return all;
    }
};

std::string Table::checkRow(const std::string &section, const YAML::Node &node, Diagnostics &diagnostics)
{
    return SectionAccess::sections().at(section).check(node, diagnostics);
}

bool Table::hasSection(const std::string &section)
{
    return SectionAccess::sections().count(section) > 0;
}

void Table::apply(const Rows &changes)
{
    for (const auto &[key, text] : changes) {
        const auto slash = key.find('/');
        const auto section = SectionAccess::sections().find(key.substr(0, slash));
        if (slash == std::string::npos || section == SectionAccess::sections().end()) {
            throw InvalidInput({{key, 0, 0, "unknown section"}});
        }
        const auto name = key.substr(slash + 1);
        if (text.empty()) {
            section->second.remove(*this, name);
        } else {
            section->second.put(*this, name, text);
        }
    }
}

void Table::checkReferences(const std::string &file) const
{
    Diagnostics diagnostics(file);
    for (const auto &[name, group] : groups_) {
        if (pools_.count(group.pool) == 0) {
            diagnostics.add("group '" + name + "' refers to unknown pool '" + group.pool + "'");
        }
    }
    for (const auto &[name, workspace] : workspaces_) {
        for (const auto &pool : workspace.pools) {
            if (pools_.count(pool) == 0) {
                diagnostics.add("workspace '" + name + "' refers to unknown pool '" + pool + "'");
            }
        }
    }
    diagnostics.throwIfAny();
}

} // namespace cyclamenspool::config
