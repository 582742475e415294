/** @file coordinator.h The coordinator of one cell: leases from acknowledgements, and the
 * assignment. */

#pragma once

#include "decision/ownership/ownership_type.h"

namespace wisteriahoist {

/**
 * Pure state machine of a node that holds a term. Each input takes the present time; writes that
 * it wants are fetched by pendingTermWrite() and pendingAssignmentWrite(), one at a time each.
 */
class Coordinator
{
public:
    Coordinator(OwnershipTimes times, TermRecord term, ObjectVersion termVersion);

    /** The stored assignment, read after the term was won (absent: nothing assigned yet). */
    void onAssignmentRead(ObjectVersion version, std::optional<AssignmentRecord> stored,
                          TimePoint now);
    void onDeclarations(const Declarations &declarations, TimePoint now);

    /** Answers a member's renewal. */
    RenewReply onRenew(const RenewRequest &request, TimePoint now);

    /** Looks for lost members and for ranges without an owner. */
    void onTick(TimePoint now);

    /** @return The term object to write now (roster changed); none while one is on its way. */
    std::optional<TermRecord> pendingTermWrite();
    void onTermWritten(ObjectVersion version, TimePoint now);

    /** @return The assignment to write now; none while one is on its way. */
    std::optional<AssignmentRecord> pendingAssignmentWrite();
    void onAssignmentWritten(ObjectVersion version, TimePoint now);

    ObjectVersion termVersion() const { return termVersion_; }
    ObjectVersion assignmentVersion() const { return assignmentVersion_; }
    const TermRecord &term() const { return term_; }
    const AssignmentRecord &assignment() const { return committed_; }

    /** @return Until when this term may act: the latest majority acknowledgement plus D. */
    TimePoint authorityUntil() const;

private:
    struct MemberState {
        MemberInfo info;
        TimePoint acknowledged = NeverTime; ///< Latest heartbeat time that it echoed.
        TimePoint heard;                    ///< Arrival of its latest renewal.
    };

    bool isLost(const MemberState &member, TimePoint now) const;
    void assignOrphans(TimePoint now);

    OwnershipTimes times_;
    TermRecord term_;
    ObjectVersion termVersion_;
    AssignmentRecord committed_; ///< What the platform holds; the only thing members are told.
    AssignmentRecord wanted_;    ///< What is written next.
    ObjectVersion assignmentVersion_;
    Declarations declarations_;
    std::map<NodeId, MemberState> members_; ///< Invariant: exactly the roster of term_.
    std::map<NodeId, MemberInfo> joining_;  ///< Seen, not yet in the written roster.
    TimePoint firstMember_ = NeverTime;
    bool adopted_ = false; ///< The stored assignment has been read.
    bool termDirty_ = false;
    bool termWriting_ = false;
    bool assignmentDirty_ = false;
    bool assignmentWriting_ = false;
};

} // namespace wisteriahoist
