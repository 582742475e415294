/** @file fleet_view.cpp A node's copy of the store's records. */

#include "duty/fleet_view.h"

#include "adapter/log/event_log.h"

namespace wisteriahoist {

void logMalformedRecord(RecordKind kind, const std::string &name, const Failure &failure)
{
    logEvent(LogEvent::ObjectMalformed, {{"kind", std::string(recordKindName(kind))},
                                         {"name", name},
                                         {"cause", failure.context}});
}

std::string memberRecordName(NodeId node)
{
    return "node-" + std::to_string(node.value());
}

Result<MemberRecord> decodeMemberRecord(const StoredRecord &record)
{
    Result<MemberRecord> member = decodeMember(record.content);
    if (member && record.name != memberRecordName(member.assume_value().node)) {
        return Failure{FailureCode::Malformed,
                       "member record: its name is not that of the record of node "
                               + std::to_string(member.assume_value().node.value())};
    }
    return member;
}

std::string blockRecordName(const std::string &service, uint32_t block)
{
    return service + ".block-" + std::to_string(block);
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
    ready_.clear();
    for (const auto &action : memberActions_) {
        action(member);
    }
    notify();
}

void FleetView::onMemberRemoved(const std::string &name)
{
    const auto removed = std::erase_if(
            members_, [&name](const auto &entry) { return memberRecordName(entry.first) == name; });
    if (removed > 0) {
        ready_.clear();
        notify();
    }
}

void FleetView::onEvacuationsChanged()
{
    ready_.clear();
    notify();
}

void FleetView::onEvacuationListing(const RecordListing &listing, TimePoint now)
{
    std::map<std::string, uint64_t> domains;
    for (const StoredRecord &record : listing.records) {
        domains[record.name] = record.revision.value();
    }
    if (evacuations_.onListing(domains, listing.at.value(), now)) {
        onEvacuationsChanged();
    }
}

void FleetView::onEvacuationChanges(const RecordChanges &changes, TimePoint now)
{
    bool changed = false;
    for (const RecordChange &change : changes.changes) {
        changed |= evacuations_.onChange(change.record.name, change.removed, changes.at.value(),
                                         now);
    }
    if (changed) {
        onEvacuationsChanged();
    }
}

StoreRevision StoredTable::revisionOf(uint32_t block) const
{
    if (layout.count == 1) {
        return revision;
    }
    const auto found = blocks.find(block);
    return found == blocks.end() ? StoreRevision(0) : found->second;
}

void FleetView::onRangeRecord(const StoredRecord &record)
{
    Result<RangeRecord> decoded = decodeRangeRecord(record.content);
    if (!decoded) {
        logMalformedRecord(RecordKind::Ranges, record.name, decoded.assume_error());
        return;
    }
    RangeRecord &ranges = decoded.assume_value();
    if (ranges.isBlock() && record.name != blockRecordName(ranges.service, ranges.block)) {
        logMalformedRecord(RecordKind::Ranges, record.name,
                           {FailureCode::Malformed,
                            "range record: its name is not that of the block which it describes"});
        return;
    }
    onRanges(record.name, std::move(ranges), record.revision);
}

void FleetView::onRanges(const std::string &name, RangeRecord record, StoreRevision revision)
{
    RangeRecords &records = tables_[record.isBlock() ? record.service : name];
    StoreRevision &known
            = record.isBlock() ? records.joined.blocks[record.block] : records.joined.revision;
    if (revision <= known) {
        return;
    }
    known = revision;
    RangeTable &table = records.joined.table;
    const bool divided = records.joined.revision.value() != 0;
    if (!record.isBlock()) {
        table = std::move(record.table);
        records.joined.layout = record.layout;
        for (const auto &[block, early] : records.early) {
            if (block >= record.layout.count) {
                continue;
            }
            table = replaceBlock(std::move(table), record.layout.spanOf(block), early);
        }
        records.early.clear();
    } else if (!divided) {
        records.early[record.block] = std::move(record.table);
    } else if (record.layout == records.joined.layout) {
        table = replaceBlock(std::move(table), record.layout.spanOf(record.block), record.table);
    } else {
        logMalformedRecord(
                RecordKind::Ranges, name,
                {FailureCode::Malformed,
                 "block layout differs from that of the service's record; the block is ignored"});
        return;
    }
    notify();
}

const MemberRecord *FleetView::findMember(NodeId node) const
{
    const auto found = members_.find(node);
    return found == members_.end() ? nullptr : &found->second;
}

const std::vector<const MemberRecord *> &FleetView::readyMembers(const std::string &service) const
{
    const auto [found, isNew] = ready_.try_emplace(service);
    if (isNew) {
        for (const auto &[node, member] : members_) {
            if (member.service == service && member.acceptsRequests()
                && !evacuations_.isEvacuated(member.failureDomain)) {
                found->second.push_back(&member);
            }
        }
    }
    return found->second;
}

const StoredTable *FleetView::findTable(const std::string &service) const
{
    const auto found = tables_.find(service);
    const bool known = found != tables_.end() && found->second.joined.revision.value() != 0;
    return known ? &found->second.joined : nullptr;
}

} // namespace wisteriahoist
