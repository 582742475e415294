/** @file grant_authority.h Until when a node may grant keys: its lease in the store, and its
 * witnesses. */

#pragma once

#include "core/id_type.h"
#include "decision/range/store_lease.h"

#include <map>
#include <set>
#include <vector>

namespace wisteriahoist {

/** Times of the contact with witnesses. */
struct WitnessTimes {
    /**
     * How long a witness's answer counts, from the sending of the heartbeat. No grant lasts for
     * longer, so it is not shorter than those are to be; a lost node's keys wait for it.
     */
    milliseconds term{4000};
    milliseconds heartbeatEvery{400};
    /** A witness that has answered the node so lately refuses to fence it: the node lives. */
    milliseconds recent{700};
    /** Clocks of two machines may differ by 2%. */
    double driftShare = 0.02;
    /** Time on the way of the last grant that is sent under the term. */
    milliseconds slack{200};
    size_t witnesses = 2; ///< One in the own failure domain, the others elsewhere.
};

/**
 * The holder's side. A node may grant while its lease in the store is valid *and* one of the
 * witnesses that the lease names has answered lately. The lease alone has to outlast outages of the
 * store, so it would make a lost node's keys wait for 9 s; the witnesses end that wait after 4 s.
 *
 * A taker fences the node at every witness, waits for the contact term, has every witness confirm
 * that the fence stood all the while, and revokes the lease by a conditional update. Invariant: no
 * grant of this node lasts beyond that revocation. Heartbeats sent after the fence are not
 * answered, so contact is over when the taker revokes; and contact that comes back later (a
 * witness has restarted and forgotten its fence) counts only together with a renewal of the lease
 * that was sent after it came back, which the revocation and the renewal cannot both win.
 */
class GrantAuthority
{
public:
    GrantAuthority(StoreLeaseTimes lease, WitnessTimes contact) : lease_(lease), contact_(contact)
    { }

    StoreLease &lease() { return lease_; }

    /** The store has taken a renewal that was sent at @p sentAt and names @p witnesses. */
    void onRenewed(const std::set<NodeId> &witnesses, TimePoint sentAt);

    /** A renewal that names @p witnesses is being sent: whose answers count from now on. */
    void onRenewalSent(const std::set<NodeId> &witnesses);

    /** @p witness has answered the heartbeat that was sent at @p sentAt. */
    void onAcknowledged(NodeId witness, TimePoint sentAt, TimePoint now);

    /** The lease was taken away, or a witness refuses this life: nothing is valid any more. */
    void onRevoked();

    /** @return Until when grants may last; in the past if there is no authority. */
    TimePoint validUntil() const;

    /** @return When the latest renewal that the store took was sent. */
    TimePoint renewedAt() const { return renewedAt_; }

    /** @return Whether contact is there but still wants a renewal of the lease. */
    bool needsRenewal(TimePoint now) const;

private:
    /** @return Whether a taker can only read a lease without witnesses, which it outwaits. */
    bool namesNobody() const { return named_.empty() && !isBound_; }

    StoreLease lease_;
    WitnessTimes contact_;
    std::set<NodeId> named_;   ///< By the stored lease.
    std::set<NodeId> counted_; ///< Whose answers count; a part of named_.
    /** The stored lease names nobody, but a renewal that does was sent and may have been taken. A
     * taker that reads it fences its witnesses; without contact, the lease alone no longer counts.
     */
    bool isBound_ = false;
    TimePoint contactSince_ = NeverTime;
    TimePoint contactUntil_ = NeverTime;
    TimePoint renewedAt_ = NeverTime; ///< Sending of the latest renewal that was taken.
};

/**
 * The witness's side: answers heartbeats of others, and fences them when a taker asks.
 * Invariant: a life that was fenced is never answered again by this life of the witness.
 */
class HeartbeatWitness
{
public:
    explicit HeartbeatWitness(WitnessTimes times) : times_(times) { }

    /** @return Whether the heartbeat is answered; false: this life is fenced. */
    bool onHeartbeat(NodeId node, Incarnation life, TimePoint now);

    /** @return Whether @p life of @p node is fenced now; false: it was heard of lately. */
    bool onFence(NodeId node, Incarnation life, TimePoint now);

private:
    struct Entry {
        Incarnation heard; ///< Life that was answered last.
        TimePoint heardAt = NeverTime;
        std::set<Incarnation> fenced;
    };

    WitnessTimes times_;
    std::map<NodeId, Entry> entries_;
};

/**
 * The taker's side for one lost node: which witnesses have fenced it, and when the wait is over.
 */
class Takeover
{
public:
    Takeover(WitnessTimes times, Incarnation life, std::vector<NodeId> witnesses);

    const std::vector<NodeId> &witnesses() const { return witnesses_; }
    Incarnation life() const { return life_; }

    /**
     * @p witness, in its own life @p witnessLife, has fenced the node. A witness that has restarted
     * since it was first asked has forgotten its fence, so the wait begins anew.
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
    Incarnation life_;
    std::vector<NodeId> witnesses_;
    std::map<NodeId, Fence> fences_;
};

} // namespace wisteriahoist
