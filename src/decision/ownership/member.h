/** @file member.h A member of a cell: its lease, and when it campaigns to become coordinator. */

#pragma once

#include "decision/ownership/ownership_type.h"

namespace wisteriahoist {

/** What a member wants done next. */
enum class MemberStep {
    None,
    ReadTerm, ///< Read the term object; answer with onTermRead().
    Renew,    ///< Send makeRenew() to the coordinator.
    Campaign, ///< Write makeCampaign() if the term object still has knownVersion().
};

/** Pure state machine of a member; each input takes the present time. */
class Member
{
public:
    Member(OwnershipTimes times, MemberInfo self);

    /** @return The next step; called every few ten milliseconds. */
    MemberStep onTick(TimePoint now);

    void onTermRead(ObjectVersion version, std::optional<TermRecord> record, TimePoint now);
    void onRenewReply(const RenewReply &reply, TimePoint now);
    void onRenewFailed(TimePoint now);
    void onCampaignWon(ObjectVersion version, const TermRecord &record, TimePoint now);
    void onCampaignLost(TimePoint now);

    RenewRequest makeRenew(TimePoint now) const;
    TermRecord makeCampaign(WriteNonce nonce) const;

    /** The backend server beside this node announced itself or changed. */
    void updateSelf(const MemberInfo &self) { self_ = self; }

    const MemberInfo &self() const { return self_; }
    const std::optional<TermRecord> &term() const { return term_; }
    ObjectVersion knownVersion() const { return termVersion_; }
    const MemberInfo *coordinator() const;
    bool isCoordinator() const;
    TimePoint leaseUntil() const { return leaseUntil_; }
    const Declarations &declarations() const { return declarations_; }
    const AssignmentRecord &assignment() const { return assignment_; }
    ObjectVersion assignmentVersion() const { return assignmentVersion_; }
    const std::vector<MemberInfo> &roster() const { return roster_; }

private:
    TimePoint campaignAt() const;

    OwnershipTimes times_;
    MemberInfo self_;
    std::optional<TermRecord> term_;
    ObjectVersion termVersion_;
    Term acknowledged_; ///< Invariant: never falls.
    TimePoint echoedHeartbeat_ = NeverTime;
    TimePoint lastReply_ = NeverTime;
    TimePoint lastRenew_ = NeverTime;
    TimePoint lastTermRead_ = NeverTime;
    TimePoint leaseUntil_ = NeverTime; ///< Within it, this node may admit what it is assigned.
    Declarations declarations_;
    AssignmentRecord assignment_;
    ObjectVersion assignmentVersion_; ///< Invariant: never falls.
    std::vector<MemberInfo> roster_;
    bool started_ = false;
    bool termKnown_ = false; ///< The term object has been read since the coordinator fell silent.
};

} // namespace wisteriahoist
