#include <cyclamenspool/member/fleetview.h>

#include <algorithm>

namespace cyclamenspool::member {

namespace internal {

const std::vector<Member> noMembers;

const std::vector<Member> &membersOf(const std::map<std::string, std::vector<Member>> &byPool, const std::string &pool)
{
    const auto found = byPool.find(pool);
    return found == byPool.end() ? noMembers : found->second;
}

} // namespace internal

FleetView::FleetView(std::shared_ptr<const config::Table> table, std::uint64_t revision)
    : table_(std::move(table))
    , revision_(revision)
{
    for (const auto &[name, vm] : table_->vms()) {
        addVm(vm);
    }
    for (const auto &[name, group] : table_->groups()) {
        addGroup(group);
    }
    routerCount_ = std::max<std::size_t>(routerCount_, 1);
}

bool FleetView::isMarkedLeaving(const std::string &kind, const std::string &name) const
{
    const auto found = table_->leavingMarks().find(name);
    return found != table_->leavingMarks().end() && found->second.kind == kind;
}

bool FleetView::isLeaving(const std::string &vm, const std::string &zone) const
{
    const auto found = table_->vms().find(vm);
    const bool isListedAsLeaving = found != table_->vms().end() && found->second.state == "leaving";
    return isListedAsLeaving || isMarkedLeaving("vm", vm) || isMarkedLeaving("zone", zone);
}

void FleetView::addVm(const world::Vm &vm)
{
    const bool leaving = isLeaving(vm.name, vm.zone);
    if (vm.role == "router") {
        routerCount_ += leaving ? 0 : 1;
        return;
    }
    const auto group = table_->groups().find(vm.group);
    if (group == table_->groups().end()) {
        return;
    }
    const bool accepting = !leaving && !isMarkedLeaving("server", vm.server);
    members_[group->second.pool].push_back({vm.server, vm.name, vm.zone, vm.address, group->second.weight, accepting});
}

void FleetView::addGroup(const world::BackendServerGroup &group)
{
    if (isMarkedLeaving("zone", group.zone)) {
        return;
    }
    for (const auto &server : group.servers) {
        if (!isMarkedLeaving("server", server)) {
            keyHomes_[group.pool].push_back({server, "", group.zone, "", group.weight, true});
        }
    }
}

const std::vector<Member> &FleetView::members(const std::string &pool) const
{
    return internal::membersOf(members_, pool);
}

const std::vector<Member> &FleetView::keyHomes(const std::string &pool) const
{
    return internal::membersOf(keyHomes_, pool);
}

const Member *FleetView::find(const std::string &pool, const std::string &server) const
{
    const auto &all = members(pool);
    const auto found = std::find_if(all.begin(), all.end(), [&server](const Member &member) {
        return member.server == server;
    });
    return found == all.end() ? nullptr : &*found;
}

std::vector<std::string> FleetView::groupServers(const std::string &pool) const
{
    std::vector<std::string> servers;
    for (const auto &[name, group] : table_->groups()) {
        if (group.pool == pool) {
            servers.insert(servers.end(), group.servers.begin(), group.servers.end());
        }
    }
    return servers;
}

} // namespace cyclamenspool::member
