/** @file coordinator.h The coordinator of one cell: leases from acknowledgements, and the
 * assignment. */

#pragma once

#include "decision/ownership/object_sync.h"
#include "decision/ownership/ownership_type.h"

#include <memory>
#include <set>

namespace wisteriahoist {

/** A platform call that the coordinator wants made. */
enum class CoordinatorStep {
    None,
    ReadTerm,        ///< Answer with onTermStored() or onTermCallFailed().
    WriteTerm,       ///< Write makeTermWrite() if the object still has termVersion().
    ReadAssignment,  ///< Answer with onAssignmentStored() or onAssignmentCallFailed().
    WriteAssignment, ///< Write makeAssignmentWrite() if it still has assignmentVersion().
};

/**
 * Pure state machine of a node that holds a term. Each input takes the present time.
 *
 * What it promises: until deposed, no range is told to a new owner before the platform holds it,
 * and none is moved before its old owner relinquished it or can no longer hold a lease of any term.
 */
class Coordinator
{
public:
    /** The term object that was won. */
    struct Office {
        TermRecord term;
        ObjectVersion version;
        TimePoint askedAt; ///< Send time of the call that showed the term in the platform.
    };

    Coordinator(OwnershipTimes times, Office office, std::shared_ptr<PlacementPolicy> policy,
                TimePoint now, SafeguardSet safeguards = {});

    /** @return The next platform call to make; ask again until None. At most one per object. */
    CoordinatorStep nextStep(TimePoint now);
    TermRecord makeTermWrite(WriteNonce nonce);
    AssignmentRecord makeAssignmentWrite(WriteNonce nonce);

    /** The write took effect and its reply arrived. */
    void onTermWritten(ObjectVersion version, TimePoint now);
    void onAssignmentWritten(ObjectVersion version, TimePoint now);
    /** What the platform holds, from a read asked at @p askedAt. */
    void onTermStored(ObjectVersion version, const std::optional<TermRecord> &record,
                      TimePoint askedAt, TimePoint now);
    /** The same from a watch, beside whatever call is on its way. */
    void onTermSeen(ObjectVersion version, const std::optional<TermRecord> &record,
                    TimePoint askedAt);
    void onAssignmentStored(ObjectVersion version, const std::optional<AssignmentRecord> &record,
                            TimePoint now);
    /** No answer, a refusal or a conflict: a write may have taken effect, so it is read back. */
    void onTermCallFailed(TimePoint now);
    void onAssignmentCallFailed(TimePoint now);

    void onDeclarations(const Declarations &declarations, TimePoint now);
    /** An operator confirmed that what is missing of the rosters up to @p term is gone for good. */
    void onLossConfirmed(Term term, TimePoint now);

    /** Answers a member's renewal. */
    RenewReply onRenew(const RenewRequest &request, TimePoint now);

    /** Looks for lost members, for ranges to move, and for rosters to close. */
    void onTick(TimePoint now);

    /** @return Whether a later term was seen; then this object does nothing more. */
    bool isDeposed() const { return deposed_; }
    ObjectVersion termVersion() const { return termSync_.version; }
    ObjectVersion assignmentVersion() const { return assignmentSync_.version; }
    const TermRecord &term() const { return term_; }
    const AssignmentRecord &assignment() const { return committed_; }
    /** @return Whether the stored assignment carries this term. */
    bool isFenced() const { return fenced_; }
    bool areRostersClosed(TimePoint now) const;

    /** @return Until when this term may act: the latest majority acknowledgement plus D. */
    TimePoint authorityUntil() const;

private:
    struct MemberState {
        MemberInfo info;
        TimePoint acknowledged = NeverTime; ///< Latest heartbeat time that it echoed.
        TimePoint heard = NeverTime;        ///< Arrival of its latest renewal; for detection only.
        TimePoint sentAt = NeverTime;       ///< Its clock; older renewals change nothing known.
        TimePoint granted = NeverTime;      ///< Its leases of this term end by then.
        TimePoint olderLeaseUntil = NeverTime; ///< Its leases of older terms end by then.
        bool hasAcknowledged = false;          ///< This term.
        bool lost = false;                     ///< As of the latest tick.
        bool leaving = false; ///< A roster without it may be stored: no lease, no ranges.
        std::vector<ServiceLoad> loads;
        TimePoint loadsAt = NeverTime; ///< Arrival of loads; old ones weigh less.
    };
    struct JoiningState {
        MemberInfo info;
        TimePoint heard;
    };
    /** A roster still to be outwaited. */
    struct OpenState {
        OpenRoster roster;
        TimePoint ownCloseAt = NeverTime; ///< For rosters of this term: the end of its leases.
    };
    using RangeKey = std::pair<std::string, KeyHash>;
    /** A range on its way from its owner; kept until the change is stored. */
    struct Move {
        Revocation revocation;
        NodeId from;
        NodeId to;            ///< InvalidNode: to be decided.
        bool applied = false; ///< The range in wanted_ has its new owner.
    };

    Duration drift(Duration span) const;
    bool isSilent(const MemberState &member, TimePoint now) const;
    bool isLeaseOver(const MemberState &member, TimePoint now) const;
    bool isLost(const MemberState &member, TimePoint now) const;
    bool isRunningOn(const MemberInfo &info) const;
    bool canOwn(NodeId id, const std::string &service, TimePoint now) const;
    std::optional<TimePoint> closedAt(const OpenState &open) const;
    std::optional<TimePoint> majorityClosedAt(const OpenRoster &roster) const;
    void adoptTerm(const TermRecord &record, TimePoint now);
    void updateMember(MemberState &member, const RenewRequest &request, TimePoint now);
    void noteJoining(const MemberInfo &info, TimePoint now);
    TimePoint recentAuthority(TimePoint now);
    void grantLease(MemberState &member, RenewReply &reply, TimePoint now);
    void fillNews(const RenewRequest &request, RenewReply &reply) const;
    bool ownsAnything(NodeId id) const;
    bool canDrop(const MemberState &member, TimePoint now) const;
    std::vector<MemberInfo> nextRoster(TimePoint now) const;
    std::vector<OpenRoster> stillOpen(TimePoint now) const;

    void createTables();
    void placeRanges(TimePoint now);
    SliceTable plannedTable(const std::string &service, const SliceTable &table) const;
    bool isUrgent(const SliceTable &planned) const;
    static void addLoads(const ServiceLoad &load, NodeId owner, const SliceTable &planned,
                         std::vector<SliceLoad> &loads, std::vector<HotKey> &hotKeys);
    void decidePlacement(const std::string &service, const SliceTable &planned, TimePoint now);
    std::vector<InstanceView> makeInstances(const std::string &service, TimePoint now) const;
    void applyStep(const std::string &service, const PlacementStep &step, TimePoint now);
    void applyMove(const std::string &service, const PlacementStep &step, TimePoint now);
    void resolveMoves(TimePoint now);
    void releaseLost(TimePoint now);
    void release(Move &move, TimePoint now);
    void onRelinquished(const MemberInfo &from, const Revocation &revocation, TimePoint now);
    void startMove(const std::string &service, size_t index, NodeId to);
    void setOwner(const std::string &service, KeyHash first, NodeId owner);
    void forgetStoredMoves();

    OwnershipTimes times_;
    SafeguardSet safeguards_;
    std::shared_ptr<PlacementPolicy> policy_;
    TermRecord term_; ///< As stored; authority counts this roster only.
    TimePoint wonAt_;
    TimePoint confirmedAt_; ///< Send time of the latest call that showed this term in the platform.
    ObjectSync termSync_;
    ObjectSync assignmentSync_;
    AssignmentRecord committed_; ///< What the platform holds; the only thing members are told.
    AssignmentRecord wanted_;    ///< What is written next; committed_ and all applied moves.
    AssignmentRecord pendingAssignment_; ///< On its way.
    TermRecord pendingTerm_;             ///< On its way.
    Declarations declarations_;
    std::map<NodeId, MemberState> members_;  ///< Invariant: exactly the roster of term_.
    std::map<NodeId, JoiningState> joining_; ///< Heard, not in the stored roster.
    std::map<Voter, TimePoint> closers_; ///< Acknowledged this term: end of older heartbeats taken.
    std::vector<OpenState> openRosters_;
    std::map<RangeKey, Move> moves_;
    std::map<std::string, TimePoint> decidedAt_; ///< Latest placement decision, by service.
    TimePoint authority_ = NeverTime;            ///< authorityUntil() at authorityAt_.
    TimePoint authorityAt_ = NeverTime;
    TimePoint grantedMax_ = NeverTime; ///< No lease of this term ends later.
    TimePoint firstMember_ = NeverTime;
    Term confirmedLoss_; ///< Rosters up to this term are closed by the operator's word.
    bool adopted_ = false;
    bool fenced_ = false; ///< The stored assignment carries this term, so older writes fail.
    bool deposed_ = false;
};

} // namespace wisteriahoist
