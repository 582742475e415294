/** @file store_lease.h The lease in the platform's store that allows a node to grant keys. */

#pragma once

#include "core/time_type.h"

namespace wisteriahoist {

/** Timing of the lease. */
struct StoreLeaseTimes {
    /**
     * How long a renewal is valid, counted from its sending. Longer than the usual outages of the
     * store (4.5 to 9 s on the users' sites): while the store is unavailable no other node can
     * take over the keys, so a node that stopped granting would only make requests fail. The keys
     * of a lost node stay unavailable until the lease expires, so the term is no longer than that.
     */
    milliseconds term{9000};
    /** Five renewals may be lost before the lease expires. */
    milliseconds renewInterval{1500};
    /**
     * Renewal interval in a large fleet, where two renewals may be lost. There, renewals make up
     * most of the store's writes, and the write rate that the store can handle grows more slowly
     * than the fleet. For fleets between smallFleet and largeFleet the interval grows linearly
     * with the number of nodes.
     */
    milliseconds maxRenewInterval{2500};
    size_t smallFleet = 20;
    size_t largeFleet = 100;
    /**
     * Clocks of two machines may differ by 2%; a node that takes over waits for this share of the
     * term in addition.
     */
    double driftShare = 0.02;
    /** Allowance for the transmission of the last grant that is sent under the lease. */
    milliseconds slack{300};
};

/** @return The renewal interval of a node in a fleet of @p nodes nodes. */
milliseconds renewalInterval(const StoreLeaseTimes &times, size_t nodes);

/** The holder's part: determines until when this node may grant. */
class StoreLease
{
public:
    explicit StoreLease(StoreLeaseTimes times) : times_(times), renewInterval_(times.renewInterval)
    { }

    /** Updates the renewal interval for a fleet of @p nodes nodes. */
    void onFleetSize(size_t nodes) { renewInterval_ = renewalInterval(times_, nodes); }

    /** @return Whether a renewal is to be sent now; if so, it is recorded as in flight. */
    bool beginRenewal(TimePoint now);

    /**
     * The store has accepted a renewal.
     * @param sentAt When the renewal was sent. The store may have accepted it at any time since
     *        then, and a node that takes over counts from that time, so the lease must not be
     *        extended from the arrival of the answer.
     */
    void onRenewed(TimePoint sentAt);

    /**
     * The renewal ended without an answer, or with an error that does not concern the lease
     * itself.
     */
    void onFailed() { inFlight_ = false; }

    /**
     * Makes the next renewal due at once, because the last one ended without renewing the lease.
     */
    void retryNow() { sentAt_ = NeverTime; }

    /** Another node has revoked the lease. */
    void onRevoked();

    TimePoint validUntil() const { return validUntil_; }

    /** @return When the renewal that is in flight was sent. */
    TimePoint sentAt() const { return sentAt_; }

    bool isValid(TimePoint now) const { return now < validUntil_; }

private:
    StoreLeaseTimes times_;
    milliseconds renewInterval_;
    TimePoint validUntil_ = NeverTime;
    TimePoint sentAt_ = NeverTime;
    bool inFlight_ = false;
};

/**
 * The part of a node that takes over: observes a lease record that has stopped changing. The lease
 * has expired once the revision of its record has not changed for the term plus the possible clock
 * difference. The lease is then revoked by a conditional update of exactly that revision, which
 * fails if the holder was only slow. So of the holder's clock only the rate has to be trusted.
 */
class LeaseObserver
{
public:
    explicit LeaseObserver(StoreLeaseTimes times) : times_(times) { }

    /**
     * The lease record was read at @p revision; 0: there is no lease, so no waiting time is
     * needed.
     */
    void onRead(uint64_t revision, TimePoint now);

    /** @return Whether the lease may be revoked at the observed revision. */
    bool hasExpired(TimePoint now) const;

    uint64_t revision() const { return revision_; }

private:
    StoreLeaseTimes times_;
    uint64_t revision_ = 0;
    TimePoint unchangedSince_ = NeverTime;
};

} // namespace wisteriahoist
