/** @file store_lease.h The lease in the platform's store under which a node may grant keys. */

#pragma once

#include "core/time_type.h"

namespace wisteriahoist {

/** Times of the lease. */
struct StoreLeaseTimes {
    /**
     * How long a renewal counts, from its sending. Longer than the store's usual outages (4.5 to 9
     * s on the users' sites), since nobody can take keys over while the store is away and stopping
     * would only turn callers down; a lost node's keys wait for it, so no longer than that.
     */
    milliseconds term{9000};
    /** Leaves room for five renewals that are lost before the term is over. */
    milliseconds renewEvery{1500};
    /**
     * The same in a large fleet, whose renewals are most of its writes while the rate that the
     * store takes grows more slowly: room for two that are lost. In between it grows with the
     * number of nodes.
     */
    milliseconds longestRenewEvery{2500};
    size_t smallFleet = 20;
    size_t largeFleet = 100;
    /** Clocks of two machines may differ by 2%; the taker adds this share of the term. */
    double driftShare = 0.02;
    /** Time on the way of the last grant that is sent under the lease. */
    milliseconds slack{300};
};

/** @return How often each of @p nodes renews its lease. */
milliseconds renewalInterval(const StoreLeaseTimes &times, size_t nodes);

/** The holder's side: until when may this node grant? */
class StoreLease
{
public:
    explicit StoreLease(StoreLeaseTimes times) : times_(times), renewEvery_(times.renewEvery) { }

    /** The fleet has @p nodes at present. */
    void onFleetSize(size_t nodes) { renewEvery_ = renewalInterval(times_, nodes); }

    /** @return Whether a renewal is to be sent now; if so, it counts as sent. */
    bool beginRenewal(TimePoint now);

    /**
     * The store has taken a renewal.
     * @param sentAt When it was sent: the store may have taken it at any time since, and a taker
     *        counts from then, so the answer's arrival must not extend the lease.
     */
    void onRenewed(TimePoint sentAt);

    /** The renewal ended without an answer or with a refusal that says nothing about the lease. */
    void onFailed() { inFlight_ = false; }

    /** The next renewal is due at once: the last one ended without renewing anything. */
    void retryNow() { sentAt_ = NeverTime; }

    /** Another node has taken the lease away. */
    void onRevoked();

    TimePoint validUntil() const { return validUntil_; }

    /** @return When the renewal that is on its way was sent. */
    TimePoint sentAt() const { return sentAt_; }

    bool isValid(TimePoint now) const { return now < validUntil_; }

private:
    StoreLeaseTimes times_;
    milliseconds renewEvery_;
    TimePoint validUntil_ = NeverTime;
    TimePoint sentAt_ = NeverTime;
    bool inFlight_ = false;
};

/**
 * The taker's side: watches one lease object that has stopped changing.
 * A lease is over once its object has kept one revision for the term and what clocks may differ;
 * the taker then revokes it by a conditional update of that very revision, which fails if the
 * holder was only slow. So no clock of the holder is trusted beyond its rate.
 */
class LeaseObserver
{
public:
    explicit LeaseObserver(StoreLeaseTimes times) : times_(times) { }

    /** The lease object was read at @p revision; 0: there is none, nothing has to be outwaited. */
    void onRead(uint64_t revision, TimePoint now);

    /** @return Whether the lease may be revoked at the observed revision. */
    bool isOver(TimePoint now) const;

    uint64_t revision() const { return revision_; }

private:
    StoreLeaseTimes times_;
    uint64_t revision_ = 0;
    TimePoint unchangedSince_ = NeverTime;
};

} // namespace wisteriahoist
