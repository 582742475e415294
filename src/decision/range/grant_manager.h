/** @file grant_manager.h Key ranges that one node grants to its backend server, renews and
 * releases. */

#pragma once

#include "decision/range/held_keys.h"

#include <optional>
#include <string_view>

namespace wisteriahoist {

/** Timing and limits of grants. */
struct GrantTimes {
    /**
     * The hold time of a grant. A request that runs longer than the grant under which it began
     * fails, even if the grant was renewed meanwhile, so this is longer than nearly all requests
     * run. When a backend server stops responding, its keys stay unavailable for this long. When
     * only the node crashes, its backend server keeps its keys for this long, which outlasts most
     * restarts of a node, so that the keys need no warm-up.
     */
    milliseconds hold{4000};
    /** Up to three renewals may be lost before a grant expires. */
    milliseconds renewInterval{600};
    /**
     * Maximum number of grant calls in flight. Each takes a connection, and a backend server
     * refuses connections above its limit, including those of requests. A grant is answered within
     * one or two milliseconds, so this is enough to renew several thousand ranges per renewal
     * interval.
     */
    size_t maxGrantsInFlight = 8;
    /**
     * Minimum hold time of a grant; a shorter one would expire at about the time of its arrival.
     */
    milliseconds minHold{300};
    /**
     * The clock of a backend server may run 2% slow, which makes its hold time that much longer
     * than the one computed here.
     */
    double driftShare = 0.02;
    /**
     * Maximum time from the creation of a grant call until its first byte is sent; after that it
     * is not sent at all. Opening a connection may take time, and the process may be paused
     * meanwhile.
     */
    milliseconds maxSendDelay{80};
    /** Maximum time from the creation of a grant call until its arrival on the same VM. */
    milliseconds maxArrivalDelay{100};
    /**
     * A reply to a heartbeat takes effect only within one second after the heartbeat was sent, so
     * its grants cannot be applied later than this after the arrival of the heartbeat. Includes a
     * clock that runs 2% slow and some slack.
     */
    milliseconds replyValidity{1050};
    /**
     * Time after which a backend server on the same VM has surely read a reply. It rejects a
     * request that arrives earlier, which then has to be sent again.
     */
    milliseconds replyDeliveryTime{20};
    /**
     * Number of consecutive heartbeats without a granted range after which the backend server is
     * assumed to refuse the fence of that range. A single heartbeat may have been sent before the
     * previous reply arrived.
     */
    uint32_t maxMissingReports = 2;
    /**
     * Maximum number of rows in one reply. A reply is limited to 4 KiB; a row with the longest
     * numbers and a token of 16 characters takes 46 bytes, and 200 bytes are reserved for the rest
     * of the reply.
     */
    size_t rows = 84;
};

/** A call to the backend server that grants keys or renews the grant. */
struct GrantRequest {
    KeySpan span;
    Epoch fence;
    milliseconds hold{0};
    std::string handover; ///< Hand-over token; empty: none.
    TimePoint sentAt = NeverTime;
    TimePoint sendBy = NeverTime; ///< Sent later, the grant would outlast its recorded expiry.
    bool renews = false;          ///< The range was granted under this fence before.
};

/**
 * A call to the backend server to reject new requests for these keys and to answer once the
 * running requests have ended.
 */
struct ReleaseRequest {
    KeySpan span;
    Epoch fence;
    uint64_t number = 0; ///< Unique among all releases of this process.
};

/** The outcome of a call. */
enum class ControlResult {
    Accepted,
    StaleFence, ///< The backend server has seen a higher fence on one of the keys.
    Unanswered, ///< No answer; the call may still take effect, even seconds later.
    NotSent,    ///< The connection was refused; the call takes no effect.
    TooLate,    ///< Not sent because its deadline had passed; the call takes no effect.
};

/** The evidence that a backend server no longer holds a range. */
enum class ReleaseEvidence {
    Answered,  ///< The backend server has answered the release.
    NotListed, ///< A heartbeat has reported the release, and a heartbeat no longer lists the range.
    GrantsExpired, ///< The latest grant has expired, even on the slowest possible clock.
};

std::string_view releaseEvidenceName(ReleaseEvidence evidence);

/**
 * The facts behind the decision that a range is no longer held. Heartbeats are identified by their
 * sequence number.
 */
struct ReleaseProof {
    ReleaseEvidence evidence = ReleaseEvidence::GrantsExpired;
    uint64_t listedIn = 0;    ///< Latest heartbeat that listed the range under its fence.
    uint64_t reportedIn = 0;  ///< Heartbeat that reported the release; 0: none.
    uint64_t omittedFrom = 0; ///< Heartbeat that confirmed the end of running requests; 0: none.
    TimePoint confirmedAt = NeverTime; ///< When the evidence arrived; NeverTime: by time alone.
    TimePoint grantedAt = NeverTime;   ///< When the latest grant was sent; NeverTime: none known.
    TimePoint expiresAt = NeverTime;   ///< Expiry of the latest grant.
    TimePoint unansweredUntil = NeverTime; ///< Latest expiry of any unanswered grant.
};

/** A range that the backend server no longer holds, and that may be assigned to another holder. */
struct ReleasedRange {
    KeySpan span;
    Epoch fence;
    std::string handover; ///< Empty if the grants expired without a release.
    ReleaseProof proof;
};

/**
 * Manages the grants of one node to its backend server. No other node grants to this backend
 * server, since none can reach it.
 *
 * A backend server is granted keys in one of two ways: by one call per range (takeDueGrants() and
 * the functions below it), or in the replies to its heartbeats, all ranges at once
 * (onHeldKeysReport() and takeGrantReply()). The evidence required for exclusive ownership is the
 * same. In the second way, a backend server applies no reply that arrives more than one second
 * after it sent the heartbeat. A heartbeat may be sent before the previous one was answered, and it
 * may arrive seconds late. So if a heartbeat does not list a range, this does not rule out that a
 * reply granting that range is applied later.
 *
 * A request is admitted only if the grant for its key was confirmed and has not expired on the
 * clock of this node.
 *
 * Invariant: a range is reported as released only after the backend server has confirmed the
 * release and every unanswered grant has expired, or after the latest grant ever sent for any of
 * its keys has expired. An unanswered grant may still be applied, even after the release; if the
 * range were assigned to another holder earlier, two backend servers would hold its keys.
 */
class GrantManager
{
public:
    /**
     * @param earlierExpiry When the grants sent by an earlier incarnation of this process have
     *        expired.
     */
    GrantManager(GrantTimes times, TimePoint earlierExpiry)
        : times_(times), untrackedExpiry_(earlierExpiry)
    { }

    /**
     * @return When a grant sent at @p now with hold time @p hold has expired on the slowest
     *         possible clock.
     */
    static TimePoint expiryOf(const GrantTimes &times, milliseconds hold, TimePoint now);

    /**
     * Updates from the stored table and the current identity of this node and its backend server.
     */
    void onTable(const RangeTable &table, const std::optional<RangeHolder> &self, TimePoint now);

    /**
     * @return The grants to send now, those that expire first at the front. Each is recorded as
     *         sent.
     * @param leaseUntil No grant outlasts this time.
     */
    std::vector<GrantRequest> takeDueGrants(TimePoint leaseUntil, TimePoint now);

    void onGrantEnd(const GrantRequest &request, ControlResult result);

    /**
     * Stops admitting requests for @p span and renewing its grants, so that it can be released.
     * Keys that are not held are ignored.
     */
    void beginRelease(const KeySpan &span);

    /** @return The releases to send now; each is recorded as in flight until onReleaseEnd(). */
    std::vector<ReleaseRequest> takeDueReleases(TimePoint now);

    void onReleaseEnd(const ReleaseRequest &request, ControlResult result,
                      const std::string &handover, TimePoint now);

    /** Processes the report of a heartbeat that was sent after all earlier ones. */
    void onHeldKeysReport(const HeldKeysReport &report, TimePoint now);

    /** @return Whether @p report lists exactly the ranges that the backend server is to hold. */
    bool matchesReport(const HeldKeysReport &report) const;

    /**
     * @return The grants in the reply to a heartbeat that arrived at @p receivedAt, recorded as
     *         sent; std::nullopt if this node may not grant for long enough. The reply then must
     *         not change what the backend server holds.
     * @param leaseUntil No grant outlasts this time.
     */
    std::optional<GrantReply> takeGrantReply(TimePoint receivedAt, TimePoint leaseUntil,
                                             TimePoint now);

    /**
     * @return Ranges that may be assigned to other holders. They stay listed until the table names
     *         another holder.
     */
    std::vector<ReleasedRange> releasedRanges(TimePoint now) const;

    /** @return Whether a request for @p key may be forwarded to the backend server. */
    bool admits(ShardKey key, TimePoint leaseUntil, TimePoint now) const;

    /** @return Whether @p key is being moved to another holder. */
    bool isLeaving(ShardKey key) const;

    /**
     * @return When the latest grant ever sent for any key, including before a restart, has
     *         expired.
     */
    TimePoint lastExpiry() const;

    /**
     * @return Ranges whose fences the backend server refused; the table needs higher ones for
     *         them.
     */
    std::vector<HeldKeys> refusedRanges() const;

    /** @return The ranges that are held and not being released, in order. */
    std::vector<KeySpan> heldSpans() const;

    /** @return Whether a range is being released or waits for its new holder to be written. */
    bool hasLeaving() const;

    size_t size() const { return held_.size(); }

private:
    struct HeldRange {
        KeySpan span;
        Epoch fence;
        std::string handover;
        TimePoint confirmedUntil = NeverTime; ///< On the clock of this node, counted from sending.
        TimePoint expiresAt = NeverTime;    ///< Latest expiry of all grants sent, with clock drift.
        TimePoint pendingUntil = NeverTime; ///< Expiry of the grant that is in flight.
        TimePoint unansweredUntil = NeverTime; ///< Latest expiry of any unanswered grant.
        TimePoint dueAt = NeverTime;           ///< When the next grant is due.
        bool grantInFlight = false;            ///< A grant call is in flight.
        bool refused = false;                  ///< The backend server refused the fence.
        bool leaving = false;
        uint64_t release = 0;  ///< Number of the release in flight; 0: none.
        bool released = false; ///< The backend server has confirmed the release.
        TimePoint releaseDueAt = NeverTime;
        bool releaseReported = false; ///< Token reported by a heartbeat; requests may still run.
        std::string releaseToken;
        TimePoint admittedFrom = NeverTime; ///< The reply with the grant has arrived by then.
        bool grantedByReply = false;        ///< Granted in the reply to a heartbeat.
        bool listed = false;                ///< Listed as held in the latest heartbeat.
        bool wasListed = false;             ///< Listed as held under its fence by some heartbeat.
        uint32_t missedReports = 0; ///< Consecutive heartbeats that omitted it despite a grant.
        ReleaseProof proof;         ///< Facts known so far about the end of this holding.

        bool isWanted() const { return !leaving && !refused; }
    };

    std::vector<HeldRange *> dueForGrant(TimePoint now);
    /** @return The number of keys of @p held that are in @p next under the same fence. */
    static uint32_t countListed(const HeldRange &held, const std::vector<HeldRange> &next);
    void recordUnlisted(const RangeTable &table, const std::vector<HeldRange> &next);
    void addEntry(const KeySpan &span, const RangeEntry &entry, TimePoint now,
                  std::vector<HeldRange> &next) const;
    void recordReleased(const ReleasedKeys &released, uint64_t sequence);
    void recordListed(HeldRange &held, bool listed) const;
    void recordGrant(HeldRange &held, milliseconds hold, TimePoint receivedAt, TimePoint now) const;
    void splitLeavingAt(uint32_t key);
    void applyGrantEnd(HeldRange &held, const GrantRequest &request, ControlResult result) const;
    const HeldRange *find(ShardKey key) const;

    GrantTimes times_;
    /**
     * Latest expiry of grants that are not tracked in held_: those of an earlier incarnation of
     * the process, and those of ranges that are no longer listed. The table may list these ranges
     * again under a new incarnation of the node while the backend server still holds them.
     */
    TimePoint untrackedExpiry_;
    std::vector<HeldRange> held_; ///< Sorted by span; disjoint.
    uint64_t releases_ = 0;       ///< Number of releases sent so far.
    /**
     * Ranges that were being released when the table stopped listing them for this holder, because
     * the holder was unknown for a moment or the lease was lost. A write that assigns them to
     * other holders may still be in flight, so their release continues if they are listed again
     * under the same fence. If they were granted again, two backend servers would hold them once
     * that write succeeds. Disjoint from held_.
     */
    std::vector<HeldRange> unlisted_;
};

} // namespace wisteriahoist
