/** @file grant_manager.h What one node grants to the backend server beside it, renews and takes
 * back. */

#pragma once

#include "decision/range/held_keys.h"

#include <optional>
#include <string_view>

namespace wisteriahoist {

/** Times of grants. */
struct GrantTimes {
    /**
     * How long a grant lasts. Work that outlasts the grant under which it began ends as failed,
     * whatever was renewed meanwhile, so this is longer than nearly all requests run. After a
     * backend server falls silent its keys wait for so long; after a crash of the node alone its
     * backend server keeps its keys for so long, which outlasts most restarts, so that the keys
     * need no warm-up.
     */
    milliseconds hold{4000};
    /** Three renewals may be lost before a grant lapses. */
    milliseconds renewEvery{600};
    /**
     * Grants on their way at the same time. Each takes a connection, and a backend server refuses
     * those beyond its bound, requests among them. A grant is answered in a millisecond or two, so
     * these few renew some thousand ranges between two renewals.
     */
    size_t openGrants = 8;
    /** No grant is sent for less: it would lapse about when it arrives. */
    milliseconds least{300};
    /** A backend server's clock may run 2% slow: its hold lasts so much longer than ours. */
    double driftShare = 0.02;
    /** From the order of a grant until its first byte is sent; later it is not sent at all. A
     *  connection may have to be opened, and the process may stand still meanwhile. */
    milliseconds sending{80};
    /** Between the order of a grant and its arrival on the same VM. */
    milliseconds arrival{100};
    /**
     * An answer to a heartbeat takes effect only within a second of the heartbeat's sending, so
     * what it grants can't be taken up later than this after its arrival (a clock that runs 2% slow
     * and some slack included).
     */
    milliseconds answerCounts{1050};
    /** From the sending of an answer until the backend server has surely read it, on the same VM;
     *  a request that comes sooner is turned away there and has to be sent again. */
    milliseconds answerArrival{20};
    /** So many heartbeats in a row without keys that were granted before mean that the backend
     *  server refuses their fence; one can be sent before the answer to the last has arrived. */
    uint32_t missingReports = 2;
    /**
     * Rows in one answer. It may have 4 KiB; a row with the longest numbers and a token of 16
     * characters takes 46 bytes, and 200 are left for the rest.
     */
    size_t rows = 84;
};

/** A call to the backend server: take these keys, or keep them. */
struct GrantRequest {
    KeySpan span;
    Epoch fence;
    milliseconds hold{0};
    std::string handover; ///< Empty: none.
    TimePoint sentAt = NeverTime;
    TimePoint sendBy = NeverTime; ///< Sent later, it would last longer than is noted of it.
    bool renews = false;          ///< The range was granted under this fence before.
};

/** A call to the backend server: stop new work on these keys, answer when the old work has ended.
 */
struct ReleaseRequest {
    KeySpan span;
    Epoch fence;
    uint64_t number = 0; ///< Among all releases of this process.
};

/** How a call ended. */
enum class ControlResult {
    Accepted,
    StaleFence, ///< The backend server has seen a higher fence on one of the keys.
    Unanswered, ///< It may take effect, also seconds later.
    NotSent,    ///< Its connection was refused: it takes no effect.
    TooLate,    ///< It could not be sent in time, and was not: it takes no effect.
};

/** What shows that a backend server holds a range no more. */
enum class ReleaseGround {
    Answered,     ///< The backend server has answered the release.
    NotListed,    ///< A heartbeat has told the release, and one does not list the range any more.
    GrantsRunOut, ///< The latest grant has run out on the slowest clock.
};

std::string_view releaseGroundName(ReleaseGround ground);

/** The inputs of the decision that a range is held no more; a heartbeat is named by its sequence.
 */
struct ReleaseProof {
    ReleaseGround ground = ReleaseGround::GrantsRunOut;
    uint64_t shownIn = 0;                  ///< Latest heartbeat that listed it under its fence.
    uint64_t toldIn = 0;                   ///< Heartbeat that told its release; 0: none.
    uint64_t leftOutOf = 0;                ///< Heartbeat that confirmed the end of work; 0: none.
    TimePoint confirmedAt = NeverTime;     ///< When the ground became known, if not by time alone.
    TimePoint grantedAt = NeverTime;       ///< Sending of the latest grant; never: none is known.
    TimePoint lapsesAt = NeverTime;        ///< Of the latest grant.
    TimePoint unansweredUntil = NeverTime; ///< Until when a grant without an answer may count.
};

/** A range that the backend server holds no more and that may be given to another one. */
struct ReleasedRange {
    KeySpan span;
    Epoch fence;
    std::string handover; ///< Empty if it was not released but outwaited.
    ReleaseProof proof;
};

/**
 * A backend server is told what to hold in one of two forms: by calls, one for each range
 * (takeDueGrants() and what follows it), or in the answers to its heartbeats, all at once
 * (onHolds() and takeHolds()). The proofs of sole ownership are the same.
 * In the second form a backend server takes up no answer later than a second after its heartbeat.
 * A heartbeat may be sent before the last one was answered and may arrive seconds late, so that it
 * does not show a range proves nothing of an answer that grants it.
 *
 * The only one that grants to its backend server, since nobody else can reach it. It admits a
 * request only for a key whose grant was confirmed and has not lapsed on this node's own clock.
 *
 * Invariant: a range is reported as released only after the backend server has confirmed it and
 * every grant without an answer has run out, or after the latest grant ever sent for any of its
 * keys has. A grant without an answer may still be applied, also after the release; given on
 * sooner, its keys would be held twice.
 */
class GrantManager
{
public:
    /**
     * @param earlierUntil When grants that an earlier life of this process sent have run out.
     */
    GrantManager(GrantTimes times, TimePoint earlierUntil)
        : times_(times), earlierUntil_(earlierUntil)
    { }

    /** @return When a grant that is sent at @p now for @p hold has run out on the slowest clock. */
    static TimePoint lapseOf(const GrantTimes &times, milliseconds hold, TimePoint now);

    /** Takes over the stored table, and who this node and its backend server are at present. */
    void onTable(const RangeTable &table, const std::optional<RangeHolder> &self, TimePoint now);

    /** @return The grants to send now, those that lapse first first; each counts as sent.
     *  @param leaseUntil No grant outlasts it. */
    std::vector<GrantRequest> takeDueGrants(TimePoint leaseUntil, TimePoint now);

    void onGrantEnd(const GrantRequest &order, ControlResult result);

    /** Stops admitting and renewing @p span, to be released. Spans that are not held are ignored.
     */
    void beginRelease(const KeySpan &span);

    /** @return The releases to send now; each counts as sent until onReleaseEnd(). */
    std::vector<ReleaseRequest> takeDueReleases(TimePoint now);

    void onReleaseEnd(const ReleaseRequest &order, ControlResult result,
                      const std::string &handover, TimePoint now);

    /** A heartbeat, sent after all earlier ones, tells what the backend server holds. */
    void onHolds(const HeldKeysReport &report, TimePoint now);

    /** @return Whether it holds all that it should, and nothing else, as @p report has it. */
    bool isAsReported(const HeldKeysReport &report) const;

    /**
     * @return What the answer to a heartbeat that arrived at @p receivedAt grants; it counts as
     *         sent. Nothing if there is no authority to grant for long enough; the answer then must
     *         leave alone what is held. @param leaseUntil No grant outlasts it.
     */
    std::optional<GrantReply> takeHolds(TimePoint receivedAt, TimePoint leaseUntil, TimePoint now);

    /** @return Ranges that may be written to others; they stay listed until the table names them
     *  others'. */
    std::vector<ReleasedRange> releasedRanges(TimePoint now) const;

    /** @return Whether a request for @p key may be handed to the backend server. */
    bool admits(ShardKey key, TimePoint leaseUntil, TimePoint now) const;

    /** @return Whether @p key is on its way to another holder. */
    bool isLeaving(ShardKey key) const;

    /** @return When the latest grant ever sent for any key, also before a restart, has run out. */
    TimePoint lastLapse() const;

    /** @return Fences that the backend server refused; the table needs higher ones for them. */
    std::vector<KeySpan> refusedSpans() const;

    /** @return Spans held and not leaving, in order. */
    std::vector<KeySpan> heldSpans() const;

    /** @return Whether a range is being released, or waits to be written to another holder. */
    bool hasLeaving() const;

    size_t size() const { return held_.size(); }

private:
    struct Held {
        KeySpan span;
        Epoch fence;
        std::string handover;
        TimePoint confirmedUntil = NeverTime;  ///< On this node's clock, from the sending.
        TimePoint lapsesAt = NeverTime;        ///< Of the latest grant sent, clock drift included.
        TimePoint pendingUntil = NeverTime;    ///< Lapse of the grant that waits for its answer.
        TimePoint unansweredUntil = NeverTime; ///< Latest lapse of a grant without an answer.
        TimePoint dueAt = NeverTime;           ///< Of the next grant.
        bool granting = false;                 ///< A grant is on its way.
        bool refused = false;                  ///< Its fence is used up.
        bool leaving = false;
        uint64_t release = 0;  ///< Number of the release that is on its way; 0: none.
        bool released = false; ///< The backend server has confirmed.
        TimePoint releaseDueAt = NeverTime;
        bool releaseTold = false; ///< A heartbeat has told its token; it may still be worked on.
        std::string releaseToken;
        TimePoint admittedFrom = NeverTime; ///< The answer that grants it has arrived by then.
        bool offered = false;               ///< An answer to a heartbeat has granted it.
        bool shown = false;                 ///< The latest heartbeat has shown it as held.
        bool taken = false;                 ///< A heartbeat has shown it as held under its fence.
        uint32_t missing = 0;               ///< Heartbeats in a row that did not, though offered.
        ReleaseProof proof;                 ///< What is known of its end so far.

        bool isWanted() const { return !leaving && !refused; }
    };

    std::vector<Held *> dueForGrant(TimePoint now);
    /** @return How many keys of @p held are in @p next under its fence. */
    static uint32_t countListed(const Held &held, const std::vector<Held> &next);
    void rememberDropped(const RangeTable &table, const std::vector<Held> &next);
    void takeEntry(const KeySpan &span, const RangeEntry &entry, TimePoint now,
                   std::vector<Held> &next) const;
    void takeReleased(const ReleasedKeys &released, uint64_t sequence);
    void noteShown(Held &held, bool shown) const;
    void offer(Held &held, milliseconds hold, TimePoint receivedAt, TimePoint now) const;
    void cutLeavingAt(uint32_t key);
    void applyGrantEnd(Held &held, const GrantRequest &order, ControlResult result) const;
    const Held *find(ShardKey key) const;

    GrantTimes times_;
    /** When grants have run out of which nothing else is known: of an earlier life of the process,
     * and of ranges that are no longer listed. The node may list them again under a new life of its
     * own, while its backend server still holds them. */
    TimePoint earlierUntil_;
    std::vector<Held> held_; ///< Sorted by span; disjoint.
    uint64_t releases_ = 0;  ///< Releases sent so far.
    /** Ranges that were leaving when they were no longer listed: the holder was unknown for
     * a moment, or the lease was lost. A write that gives them to others may still be on
     * its way, so they go on leaving when they are listed again under their fence; granted anew,
     * they would be held twice once that write is done. Disjoint from held_. */
    std::vector<Held> unlisted_;
};

} // namespace wisteriahoist
