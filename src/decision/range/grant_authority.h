/** @file grant_authority.h How long a node may grant keys, based on its lease in the store and on
 * its witnesses. */

#pragma once

#include "core/id_type.h"
#include "decision/range/store_lease.h"

#include <map>
#include <set>
#include <vector>

namespace wisteriahoist {

/** Timing of the contact with witnesses. */
struct WitnessTimes {
    /**
     * How long an acknowledgement by a witness is valid, counted from the sending of the
     * heartbeat. No grant lasts longer than this term, so it must not be shorter than the intended
     * grant duration. The keys of a lost node stay unavailable for this long.
     */
    milliseconds term{4000};
    milliseconds heartbeatEvery{400};
    /**
     * A witness refuses to fence a node whose heartbeat it acknowledged within this time, since
     * the node is alive.
     */
    milliseconds recent{700};
    /** Maximum rate difference between the clocks of two machines. */
    double driftShare = 0.02;
    /** Allowance for the transmission of the last grant that is sent within the term. */
    milliseconds slack{200};
    size_t witnesses = 2; ///< One in the same failure domain, the others elsewhere.
};

/**
 * The holder's part. A node may grant while its lease in the store is valid *and* one of the
 * witnesses named in the lease has recently acknowledged a heartbeat. The lease alone has to
 * outlast outages of the store, so with the lease alone the keys of a lost node would stay
 * unavailable for 9 s; the witnesses reduce this to 4 s.
 *
 * A node that takes over fences the lost node at every witness, waits for the contact term, lets
 * every witness confirm that the fence was in place during the whole term, and revokes the lease by
 * a conditional update.
 *
 * Invariant: no grant of this node lasts beyond that revocation. Heartbeats sent after the fence
 * are not acknowledged, so contact has expired when the lease is revoked. Contact that resumes
 * later (a witness that has restarted has lost its fences) counts only together with a renewal of
 * the lease that was sent after contact resumed. The revocation and this renewal are conditional on
 * the same revision, so only one of them can succeed.
 */
class GrantAuthority
{
public:
    GrantAuthority(StoreLeaseTimes lease, WitnessTimes contact) : lease_(lease), contact_(contact)
    { }

    StoreLease &lease() { return lease_; }

    /** The store has accepted a renewal that was sent at @p sentAt and names @p witnesses. */
    void onRenewed(const std::set<NodeId> &witnesses, TimePoint sentAt);

    /**
     * A renewal that names @p witnesses is being sent. Determines whose acknowledgements count
     * from now on.
     */
    void onRenewalSent(const std::set<NodeId> &witnesses);

    /** @p witness has acknowledged the heartbeat that was sent at @p sentAt. */
    void onAcknowledged(NodeId witness, TimePoint sentAt, TimePoint now);

    /**
     * The lease was revoked, or a witness has fenced this incarnation. The node may no longer
     * grant.
     */
    void onRevoked();

    /** @return The time until which grants may last; in the past if the node may not grant. */
    TimePoint validUntil() const;

    /** @return When the latest renewal that the store accepted was sent. */
    TimePoint renewedAt() const { return renewedAt_; }

    /** @return Whether contact has resumed but the lease must be renewed before it counts. */
    bool needsRenewal(TimePoint now) const;

private:
    /**
     * @return Whether every stored version of the lease names no witnesses, so that a takeover has
     *         to wait for the full lease term.
     */
    bool hasNoWitnesses() const { return namedWitnesses_.empty() && !mayNameWitnesses_; }

    StoreLease lease_;
    WitnessTimes contact_;
    std::set<NodeId> namedWitnesses_;   ///< Named by the stored lease.
    std::set<NodeId> countedWitnesses_; ///< Acknowledgements of these witnesses count; a subset of
                                        ///< namedWitnesses_.
    /**
     * The stored lease names no witnesses, but a renewal that names some was sent and may have
     * been accepted. A node that takes over and reads the renewed lease fences these witnesses, so
     * without contact the lease alone no longer counts.
     */
    bool mayNameWitnesses_ = false;
    TimePoint contactSince_ = NeverTime;
    TimePoint contactUntil_ = NeverTime;
    TimePoint renewedAt_ = NeverTime; ///< When the latest accepted renewal was sent.
};

/**
 * The witness's part: acknowledges heartbeats of other nodes, and fences them on request of a node
 * that takes over.
 * Invariant: this incarnation of the witness never again acknowledges an incarnation that it has
 * fenced.
 */
class HeartbeatWitness
{
public:
    explicit HeartbeatWitness(WitnessTimes times) : times_(times) { }

    /** @return Whether the heartbeat is acknowledged; false if this incarnation is fenced. */
    bool onHeartbeat(NodeId node, Incarnation life, TimePoint now);

    /**
     * @return Whether @p life of @p node is fenced now; false if its heartbeat was acknowledged
     *         recently.
     */
    bool onFence(NodeId node, Incarnation life, TimePoint now);

private:
    struct Entry {
        Incarnation acknowledged; ///< Incarnation whose heartbeat was acknowledged last.
        TimePoint acknowledgedAt = NeverTime;
        std::set<Incarnation> fenced;
    };

    WitnessTimes times_;
    std::map<NodeId, Entry> entries_;
};

/**
 * The part of the node that takes over from one lost node: which witnesses have fenced the lost
 * node, and when the waiting time is over.
 */
class Takeover
{
public:
    Takeover(WitnessTimes times, Incarnation life, std::vector<NodeId> witnesses);

    const std::vector<NodeId> &witnesses() const { return witnesses_; }
    Incarnation life() const { return incarnation_; }

    /**
     * @p witness, in its incarnation @p witnessLife, has fenced the node. A witness that has
     * restarted since the first request has lost its fence, so the waiting time starts again.
     */
    void onFenced(NodeId witness, Incarnation witnessLife, TimePoint now);

    /** @return Whether every witness has fenced the node for the whole term. */
    bool isDue(TimePoint now) const;

private:
    struct Fence {
        Incarnation witnessLife;
        TimePoint since = NeverTime;
    };

    WitnessTimes times_;
    Incarnation incarnation_;
    std::vector<NodeId> witnesses_;
    std::map<NodeId, Fence> fences_;
};

} // namespace wisteriahoist
