/** @file member.h A member of a cell: its lease, and when it campaigns to become coordinator. */

#pragma once

#include "decision/config/config_guard.h"
#include "decision/ownership/ownership_type.h"

#include <set>

namespace wisteriahoist {

/** What a member wants done next. */
enum class MemberStep {
    None,
    ReadTerm, ///< Read the term object; answer with onTermRead() or onTermReadFailed().
    Renew,    ///< Send makeRenew() to the coordinator.
    Campaign, ///< Write makeCampaign() if the term object still has knownVersion().
};

/** A term that this node won and has not served yet. */
struct WonTerm {
    TermRecord record;
    ObjectVersion version;
};

/** Pure state machine of a member; each input takes the present time. */
class Member
{
public:
    Member(OwnershipTimes times, MemberInfo self, SafeguardSet safeguards = {});

    /** @return The next step; called every few ten milliseconds. */
    MemberStep onTick(TimePoint now);

    /** The term object as stored; older versions than the known one are ignored. */
    void onTermRead(ObjectVersion version, std::optional<TermRecord> record, TimePoint now);
    void onTermReadFailed(TimePoint now);
    void onRenewReply(const RenewReply &reply, TimePoint now);
    void onRenewFailed(TimePoint now);
    /** The campaign's write took effect, by its reply or by reading its nonce back. */
    void onCampaignWon(ObjectVersion version, const TermRecord &record, TimePoint now);
    void onCampaignLost(TimePoint now);

    /** @return A term won since the last call; each term is handed out once in a node's life. */
    std::optional<WonTerm> takeOffice();

    /** The gate confirmed: none of @p drained is admitted any more, and nothing of it runs. */
    void onDrained(const std::vector<Revocation> &drained);

    RenewRequest makeRenew(TimePoint now) const;
    TermRecord makeCampaign(WriteNonce nonce) const;

    /** The backend server beside this node announced itself or changed. */
    void updateSelf(const MemberInfo &self) { self_ = self; }

    /** Loads of this node's own ranges, sent with the next renewals. */
    void updateLoads(std::vector<ServiceLoad> loads) { loads_ = std::move(loads); }

    const MemberInfo &self() const { return self_; }
    const std::optional<TermRecord> &term() const { return term_; }
    ObjectVersion knownVersion() const { return termVersion_; }
    Term acknowledgedTerm() const { return acknowledged_; }
    NodeId coordinatorId() const { return term_ ? term_->coordinator : InvalidNode; }
    const NodeAddress *coordinatorAddress() const;
    bool isCoordinator() const;
    TimePoint leaseUntil() const { return leaseUntil_; }
    const Declarations &declarations() const { return config_.inForce(); }
    uint64_t refusedConfigs() const { return config_.refusedCount(); }
    /** As the coordinator told it; ownedTables() takes off what was revoked. */
    const AssignmentRecord &assignment() const { return assignment_; }
    ObjectVersion assignmentVersion() const { return assignmentVersion_; }
    const std::vector<MemberInfo> &roster() const { return roster_; }
    const std::set<Revocation> &revocations() const { return revocations_; }

    /** @return The assignment in which this node's revoked ranges have no owner. */
    std::map<std::string, SliceTable> routingTables() const;

    /** @return Whether this node may admit a request at @p now, on its own clock. */
    bool admits(const std::string &service, KeyHash hash, TimePoint now) const;

private:
    TimePoint campaignAt() const;
    Duration readPause() const;
    bool isRevoked(const std::string &service, KeyHash first, KeyHash last, Epoch epoch) const;
    void acknowledge(Term term);
    void pruneRevocations();
    void noteOffice(ObjectVersion version, const TermRecord &record);

    OwnershipTimes times_;
    SafeguardSet safeguards_;
    MemberInfo self_;
    std::optional<TermRecord> term_;
    ObjectVersion termVersion_;
    Term acknowledged_; ///< Invariant: never falls.
    TimePoint echoedHeartbeat_ = NeverTime;
    TimePoint lastReply_ = NeverTime;
    TimePoint lastRenew_ = NeverTime;
    TimePoint lastTermRead_ = NeverTime;
    TimePoint lastCampaign_ = NeverTime;
    TimePoint leaseUntil_ = NeverTime;      ///< Within it, this node may admit what it is assigned.
    TimePoint olderLeaseUntil_ = NeverTime; ///< End of the leases from terms before acknowledged_.
    TimePoint heartbeatTakenAt_ = NeverTime;      ///< Arrival of the latest accepted heartbeat.
    TimePoint olderHeartbeatTakenAt_ = NeverTime; ///< The same for terms before acknowledged_.
    std::optional<WonTerm> won_;
    Term officeTerm_; ///< Latest term handed out or won.
    ConfigGuard config_;
    AssignmentRecord assignment_;
    ObjectVersion assignmentVersion_; ///< Invariant: never falls.
    std::vector<MemberInfo> roster_;
    std::set<Revocation> revocations_; ///< Kept until a newer assignment no longer has the ranges.
    std::set<Revocation> drained_;     ///< Invariant: a subset of revocations_.
    std::vector<ServiceLoad> loads_;
    uint32_t quickRenewals_ = 0; ///< Under this term, sent ahead of the interval; bounded.
    uint32_t campaigns_ = 0;     ///< Without a lasting coordinator since; doubles the wait.
    uint32_t silentReads_ = 0; ///< Reads since the coordinator last answered; lengthens the pause.
    bool started_ = false;
    bool termKnown_ = false;   ///< The term object has been read since the coordinator fell silent.
    bool renewSoon_ = false;   ///< The next tick renews: an echo or a relinquish is waited for.
    bool readSoon_ = false;    ///< The next tick reads the term object.
    bool campaigning_ = false; ///< A campaign's write is on its way.
};

} // namespace wisteriahoist
