/** @file fleet_view.cpp What one node knows from the store. */

#include "duty/fleet_view.h"

namespace wisteriahoist {

std::string memberRecordName(NodeId node)
{
    return "node-" + std::to_string(node.value());
}

void FleetView::notify()
{
    ++changes_;
    for (const auto &action : actions_) {
        action();
    }
}

bool FleetView::onConfig(RouteConfig config)
{
    const bool newer = config_.offer(std::move(config));
    if (newer) {
        notify();
    }
    return newer;
}

void FleetView::onMember(const MemberRecord &member, StoreRevision revision)
{
    StoreRevision &known = memberRevisions_[member.node];
    if (revision <= known) {
        return;
    }
    known = revision;
    members_[member.node] = member;
    notify();
}

void FleetView::onMemberRemoved(const std::string &name)
{
    const auto removed = std::erase_if(
            members_, [&name](const auto &entry) { return memberRecordName(entry.first) == name; });
    if (removed > 0) {
        notify();
    }
}

void FleetView::onTable(const std::string &service, RangeTable table, StoreRevision revision)
{
    StoredTable &known = tables_[service];
    if (revision <= known.revision) {
        return;
    }
    known = {std::move(table), revision};
    notify();
}

const MemberRecord *FleetView::findMember(NodeId node) const
{
    const auto found = members_.find(node);
    return found == members_.end() ? nullptr : &found->second;
}

std::vector<const MemberRecord *> FleetView::readyMembers(const std::string &service) const
{
    std::vector<const MemberRecord *> ready;
    for (const auto &[node, member] : members_) {
        if (member.service == service && member.takesRequests()) {
            ready.push_back(&member);
        }
    }
    return ready;
}

const StoredTable *FleetView::findTable(const std::string &service) const
{
    const auto found = tables_.find(service);
    return found == tables_.end() ? nullptr : &found->second;
}

} // namespace wisteriahoist
