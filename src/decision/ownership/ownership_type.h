/** @file ownership_type.h Members, records in the platform, and the messages of ownership. */

#pragma once

#include "core/failure_type.h"
#include "core/id_type.h"
#include "core/time_type.h"
#include "decision/config/declaration_type.h"
#include "decision/placement/placement_type.h"
#include "decision/routing/slice_table.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wisteriahoist {

/** Where a node is reached. */
struct NodeAddress {
    std::string ip;
    uint16_t callerPort = 0; ///< HTTP/1.1 from callers.
    uint16_t peerPort = 0;   ///< HTTP/2 between nodes.
    uint16_t adminPort = 0;  ///< Operators and metrics.
    bool operator==(const NodeAddress &) const = default;
};

/** One member of a cell: a node and the backend server beside it. */
struct MemberInfo {
    NodeId id;
    Incarnation incarnation;
    NodeAddress address;
    std::string failureDomain;
    std::string service; ///< Empty until a backend server has announced itself.
    uint32_t slots = 0;  ///< Requests that the backend server runs at once.
    GrantMode grantMode = GrantMode::Fenced;
    bool draining = false;
    bool operator==(const MemberInfo &) const = default;
};

/** One life of one node; only this life's acknowledgements count for a roster that names it. */
struct Voter {
    NodeId id;
    Incarnation incarnation;
    auto operator<=>(const Voter &) const = default;
};

/**
 * A roster under which leases may still run. A later coordinator changes no owner that has not
 * acknowledged its term before it has closed every open roster.
 */
struct OpenRoster {
    Term term;                 ///< The term whose leases counted this roster's acknowledgements.
    std::vector<Voter> voters; ///< Sorted.
    bool operator==(const OpenRoster &) const = default;
};

/** The term object of a cell. */
struct TermRecord {
    Term term;
    NodeId coordinator;
    Incarnation coordinatorIncarnation;
    NodeAddress coordinatorAddress; ///< The coordinator need not be in the roster.
    WriteNonce nonce;
    std::vector<MemberInfo> roster; ///< Sorted by id; at most one incarnation of each id.
    std::vector<OpenRoster> openRosters;
    bool operator==(const TermRecord &) const = default;
};

/**
 * Hash interval of one service that its owner must stop admitting: epochs up to this one, whatever
 * splits or merges happen meanwhile. Never taken back; a later grant has a higher epoch.
 */
struct Revocation {
    std::string service;
    KeyHash first;
    KeyHash last; ///< Inclusive.
    Epoch epoch;
    auto operator<=>(const Revocation &) const = default;

    /** @return Whether a range [@p from, @p to] of @p name at @p at is touched. */
    bool covers(const std::string &name, KeyHash from, KeyHash to, Epoch at) const
    {
        return name == service && first <= to && from <= last && at <= epoch;
    }
};

/** The assignment object of a cell. */
struct AssignmentRecord {
    Term term; ///< The term that wrote it; an older one's late write fails on the version.
    WriteNonce nonce;
    Epoch highestEpoch; ///< Invariant: no slice has a higher one.
    std::map<std::string, SliceTable> services;
};

/** Loads of a member's ranges and hottest keys of one service. */
struct ServiceLoad {
    std::string service;
    std::vector<SliceLoad> slices;
    std::vector<HotKey> hotKeys;
};

/** A member's periodic exchange: acknowledgement, lease request and load in one. */
struct RenewRequest {
    MemberInfo member;
    Term acknowledgedTerm;
    TimePoint echoedHeartbeat = NeverTime; ///< Coordinator's send time from its latest reply.
    TimePoint sentAt;                      ///< The member's clock; the lease counts from here.
    uint64_t configVersion = 0;
    ObjectVersion assignmentVersion;
    Duration olderLeaseLeft{0}; ///< What is left of a lease from an older term.
    Duration olderEchoAge{0};   ///< Time since a heartbeat of an older term was last accepted.
    std::vector<Revocation> relinquished; ///< Revoked, drained and no longer admitted here.
    double load = 0;                      ///< Requests per second.
    std::vector<ServiceLoad> loads;       ///< Loads of the member's own ranges.
};

/** The coordinator's answer. */
struct RenewReply {
    Term term;
    bool notCoordinator = false; ///< The member reads the term object again.
    TimePoint heartbeat;         ///< The coordinator's send time, to be echoed.
    TimePoint echoedSentAt;      ///< The member's send time.
    Duration leaseLeft{0}; ///< The lease ends at echoedSentAt + leaseLeft on the member's clock.
    uint64_t configVersion = 0;
    std::optional<Declarations> config; ///< Present when the member's is older.
    ObjectVersion assignmentVersion;
    std::optional<AssignmentRecord> assignment; ///< Present when the member's is older.
    std::vector<MemberInfo> roster;             ///< Present with the assignment.
    std::vector<Revocation> revoked;            ///< What the member must stop admitting.
};

/** Times of the ownership protocol. */
struct OwnershipTimes {
    milliseconds renewInterval{120};
    milliseconds leaseTerm{1200};   ///< D: how long an acknowledgement counts.
    milliseconds suspectAfter{360}; ///< Silence of the coordinator before a campaign.
    milliseconds driftBound{20};    ///< Clock drift over one lease term, added to each outwaiting.
    milliseconds settle{1000}; ///< Wait after the first member before ranges are first given out.
    milliseconds uncheckedOverrun{500}; ///< How long a backend server that checks nothing may run
                                        ///< on past a request's deadline.
    /**
     * B: a coordinator that has not seen its own term in the platform for so long stops granting.
     * It lets a successor outwait a roster of which more than half is lost. 0: no bound, an
     * operator has to confirm the loss.
     */
    milliseconds platformBound{3600000};
};

/**
 * Safeguards of the protocol; all on but in tests that show what each one prevents.
 * docs/design/fault-matrix.md lists the test of each.
 */
struct SafeguardSet {
    bool countHeartbeatTime = true;    ///< Not the arrival of its acknowledgement.
    bool outwaitLease = true;          ///< A silent owner's lease ends before its ranges move.
    bool fenceAssignment = true;       ///< The term's own rewrite comes before any lease.
    bool rememberRevoked = true;       ///< The member keeps what was revoked.
    bool outwaitOlderLease = true;     ///< Lease of an older term, reported with the ack.
    bool countLeaseFromRequest = true; ///< Not from receipt of the answer.
    bool refuseOlderTerm = true;       ///< Replies of an older term give no lease.
    bool applyNewerOnly = true;        ///< Stored answers in order of version.
    bool winnerAcknowledges = true;    ///< Winning a term is acknowledging it.
    bool closeOpenRosters = true;      ///< Outwait rosters of older terms.
    bool listOpenRosters = true;       ///< Name them in the term object.
    bool matchIncarnation = true;      ///< A new life of a node inherits nothing.
    bool writeBeforeTelling = true;    ///< An assignment is durable before it is told.
    bool bundleAssignment = true;      ///< A lease comes with the assignment it covers.
    bool awaitRelinquish = true;       ///< A live owner drains before its range moves.
    bool addDriftBound = true;         ///< Each wait is longer by the drift bound.
    bool readBack = true;              ///< A write without a reply is read back.
    bool limitWithoutPlatform = true;  ///< The bound B.
};

} // namespace wisteriahoist
