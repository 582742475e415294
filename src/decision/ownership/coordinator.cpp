/** @file coordinator.cpp The coordinator of one cell. */

#include "decision/ownership/coordinator.h"

#include <algorithm>

namespace wisteriahoist {

Coordinator::Coordinator(OwnershipTimes times, TermRecord term, ObjectVersion termVersion)
    : times_(times), term_(std::move(term)), termVersion_(termVersion)
{
    for (const MemberInfo &info : term_.roster) {
        members_[info.id] = {info, NeverTime, NeverTime};
    }
}

void Coordinator::onAssignmentRead(ObjectVersion version, std::optional<AssignmentRecord> stored,
                                   TimePoint now)
{
    adopted_ = true;
    assignmentVersion_ = version;
    if (stored) {
        committed_ = std::move(*stored);
    }
    // A fresh coordinator counts every member as heard just now: it must outwait their leases.
    for (auto &[id, member] : members_) {
        member.heard = now;
    }
    wanted_ = committed_;
    wanted_.term = term_.term;
    assignmentDirty_ = true;
}

void Coordinator::onDeclarations(const Declarations &declarations, TimePoint now)
{
    if (declarations.version > declarations_.version) {
        declarations_ = declarations;
        onTick(now);
    }
}

TimePoint Coordinator::authorityUntil() const
{
    std::vector<TimePoint> acknowledged;
    for (const auto &[id, member] : members_) {
        acknowledged.push_back(member.acknowledged);
    }
    if (acknowledged.empty()) {
        return NeverTime;
    }
    std::sort(acknowledged.begin(), acknowledged.end(), std::greater<>());
    const TimePoint majority = acknowledged[acknowledged.size() / 2];
    return majority == NeverTime ? NeverTime : majority + times_.leaseTerm;
}

RenewReply Coordinator::onRenew(const RenewRequest &request, TimePoint now)
{
    RenewReply reply;
    reply.term = term_.term;
    reply.heartbeat = now;
    reply.echoedSentAt = request.sentAt;
    const auto found = members_.find(request.member.id);
    const bool known = found != members_.end()
                       && found->second.info.incarnation == request.member.incarnation;
    if (!known) {
        joining_[request.member.id] = request.member;
        termDirty_ = true;
        return reply;
    }
    MemberState &member = found->second;
    if (member.info != request.member) {
        member.info = request.member;
        termDirty_ = true;
    }
    member.heard = now;
    if (request.acknowledgedTerm == term_.term) {
        member.acknowledged = std::max(member.acknowledged, request.echoedHeartbeat);
    }
    const TimePoint until = authorityUntil();
    if (request.acknowledgedTerm == term_.term && until > now) {
        reply.leaseLeft = until - now;
    }
    reply.configVersion = declarations_.version;
    if (request.configVersion < declarations_.version) {
        reply.config = declarations_;
    }
    reply.assignmentVersion = assignmentVersion_;
    if (request.assignmentVersion < assignmentVersion_ && !assignmentWriting_) {
        reply.assignment = committed_;
        reply.roster = term_.roster;
    }
    return reply;
}

bool Coordinator::isLost(const MemberState &member, TimePoint now) const
{
    return now - member.heard > times_.leaseTerm + times_.driftBound;
}

void Coordinator::onTick(TimePoint now)
{
    if (!adopted_) {
        return;
    }
    for (const ServiceDeclaration &service : declarations_.services) {
        if (!wanted_.services.contains(service.name)) {
            wanted_.services[service.name] = SliceTable::makeEven(service.keySpace.initialSlices);
            assignmentDirty_ = true;
        }
    }
    assignOrphans(now);
}

void Coordinator::assignOrphans(TimePoint now)
{
    if (firstMember_ == NeverTime || now - firstMember_ < times_.settle || assignmentWriting_) {
        return;
    }
    for (auto &[service, table] : wanted_.services) {
        std::vector<NodeId> live;
        for (const auto &[id, member] : members_) {
            if (member.info.service == service && !isLost(member, now)) {
                live.push_back(id);
            }
        }
        std::map<NodeId, size_t> owned;
        for (const Slice &slice : table.slices()) {
            ++owned[slice.owner];
        }
        std::vector<Slice> slices = table.slices();
        for (Slice &slice : slices) {
            const bool orphaned = std::find(live.begin(), live.end(), slice.owner) == live.end();
            if (!orphaned || live.empty()) {
                continue;
            }
            const NodeId next = *std::min_element(
                    live.begin(), live.end(),
                    [&owned](NodeId left, NodeId right) { return owned[left] < owned[right]; });
            ++owned[next];
            wanted_.highestEpoch = wanted_.highestEpoch.next();
            slice.owner = next;
            slice.epoch = wanted_.highestEpoch;
            assignmentDirty_ = true;
        }
        table = SliceTable(std::move(slices));
    }
}

std::optional<TermRecord> Coordinator::pendingTermWrite()
{
    if (!termDirty_ || termWriting_) {
        return std::nullopt;
    }
    termDirty_ = false;
    termWriting_ = true;
    term_.roster.clear();
    std::map<NodeId, MemberInfo> roster;
    for (const auto &[id, member] : members_) {
        roster[id] = member.info;
    }
    for (const auto &[id, info] : joining_) {
        roster[id] = info;
    }
    for (const auto &[id, info] : roster) {
        term_.roster.push_back(info);
    }
    return term_;
}

void Coordinator::onTermWritten(ObjectVersion version, TimePoint now)
{
    termWriting_ = false;
    termVersion_ = version;
    for (const MemberInfo &info : term_.roster) {
        const auto found = members_.find(info.id);
        if (found == members_.end() || found->second.info.incarnation != info.incarnation) {
            members_[info.id] = {info, NeverTime, now};
            joining_.erase(info.id);
        }
        if (firstMember_ == NeverTime) {
            firstMember_ = now;
        }
    }
}

std::optional<AssignmentRecord> Coordinator::pendingAssignmentWrite()
{
    if (!assignmentDirty_ || assignmentWriting_) {
        return std::nullopt;
    }
    assignmentDirty_ = false;
    assignmentWriting_ = true;
    return wanted_;
}

void Coordinator::onAssignmentWritten(ObjectVersion version, TimePoint)
{
    assignmentWriting_ = false;
    assignmentVersion_ = version;
    committed_ = wanted_;
}

} // namespace wisteriahoist
