/** @file ownership_backend.h A simulated backend server that measures hold times on its own
 * clock. */

#pragma once

#include "decision/range/grant_manager.h"

#include <algorithm>

namespace wisteriahoist::testing {

inline std::string spanText(const KeySpan &span)
{
    return "keys " + std::to_string(span.first.value()) + " to "
           + std::to_string(span.last.value());
}

/**
 * The backend server of a node, over all its incarnations. It alone knows which keys it holds: a
 * grant by call counts from its arrival, a grant by heartbeat from the sending of the heartbeat.
 */
class SimulatedBackend
{
public:
    /** Maximum time between the sending of a heartbeat and the use of its reply. */
    static constexpr milliseconds AnswerBound{1000};

    /** Keys that have been held, released and worked on together so far. */
    struct Part {
        KeySpan span;
        Epoch fence; ///< Highest fence seen.
        TimePoint until = NeverTime;
        TimePoint workUntil = NeverTime;
        bool ending = true; ///< No new requests; not held, apart from running requests.
        bool isReleaseUnreported = false; ///< No acknowledged heartbeat has reported the release.
        uint64_t reportedIn = 0; ///< First heartbeat that reported the release; 0: none yet.

        bool isHeld(TimePoint now) const { return !ending && now < until; }

        /** A request that runs longer than the hold time is aborted. */
        bool isWorkedOn(TimePoint now) const { return now < workUntil && now < until; }

        /** @return Whether the keys are held, or a request runs within the last hold time. */
        bool isOccupied(TimePoint now) const { return isHeld(now) || isWorkedOn(now); }
    };

    void start(const BackendIncarnation &life)
    {
        life_ = life;
        alive_ = true;
    }

    /** Loses all state; it starts again empty. */
    void crash()
    {
        alive_ = false;
        parts_ = {Part{}};
        sequence_ = 0;
        lastReadHeartbeat_ = 0;
    }

    /** @param share By how much the slow clock extends the requested hold time. */
    void runSlow(double share) { slowness_ = share; }

    const BackendIncarnation &life() const { return life_; }
    bool isAlive() const { return alive_; }
    const std::vector<Part> &parts() const { return parts_; }

    /**
     * @return Whether it accepts the grant that arrived at @p arrivedAt and is applied at @p now.
     */
    bool grant(const KeySpan &span, Epoch fence, milliseconds hold, TimePoint arrivedAt,
               TimePoint now)
    {
        cut(span);
        if (seesHigher(span, fence)) {
            return false;
        }
        for (Part &part : parts_) {
            if (span.covers(part.span)) {
                take(part, fence, arrivedAt + stretched(hold), now);
            }
        }
        return true;
    }

    /** Rejects new requests for @p span. @return When the running requests will have ended. */
    TimePoint release(const KeySpan &span, Epoch fence, TimePoint now)
    {
        cut(span);
        TimePoint ended = now;
        for (Part &part : parts_) {
            if (!span.covers(part.span)) {
                continue;
            }
            if (part.fence <= fence) {
                part.ending = true;
            }
            if (part.isWorkedOn(now)) {
                ended = std::max(ended, std::min(part.workUntil, part.until));
            }
        }
        return ended;
    }

    /** @return The report of a heartbeat sent now; it gets the next sequence number. */
    HeldKeysReport report(TimePoint now)
    {
        HeldKeysReport report;
        report.sequence = ++sequence_;
        for (Part &part : parts_) {
            if (part.isOccupied(now)) {
                report.holds.push_back({part.span, part.fence});
            }
            if (part.isReleaseUnreported) {
                part.reportedIn = part.reportedIn == 0 ? sequence_ : part.reportedIn;
                report.released.push_back({part.span, "token"});
            }
        }
        return report;
    }

    uint64_t sequence() const { return sequence_; }

    /** Reads the reply to heartbeat @p number, which may have been read before. */
    void takeAnswer(uint64_t number, const std::optional<GrantReply> &reply, TimePoint sentAt,
                    TimePoint now)
    {
        if (number < lastReadHeartbeat_ || now - sentAt > stretched(AnswerBound)) {
            return;
        }
        lastReadHeartbeat_ = number;
        for (Part &part : parts_) {
            if (part.isReleaseUnreported && part.reportedIn != 0 && part.reportedIn <= number) {
                part.isReleaseUnreported = false;
            }
        }
        if (reply) {
            takeGrantReply(*reply, sentAt, now);
        }
    }

    /** A request for @p key arrives. @return Whether it is accepted. */
    bool work(ShardKey key, milliseconds duration, TimePoint now)
    {
        const auto part = std::find_if(parts_.begin(), parts_.end(), [key](const Part &candidate) {
            return candidate.span.contains(key);
        });
        if (!alive_ || !part->isHeld(now)) {
            return false;
        }
        part->workUntil = std::max(part->workUntil, now + duration);
        return true;
    }

    /** @return Whether a request is running for any key. */
    bool isWorking(TimePoint now) const
    {
        return std::any_of(parts_.begin(), parts_.end(),
                           [now](const Part &part) { return part.isWorkedOn(now); });
    }

    /** @return Whether requests are running for keys that are being released. */
    bool isReleasing(TimePoint now) const
    {
        return std::any_of(parts_.begin(), parts_.end(),
                           [now](const Part &part) { return part.ending && part.isWorkedOn(now); });
    }

    /** @return Whether it accepts requests for @p key. */
    bool holds(ShardKey key, TimePoint now) const
    {
        return std::any_of(parts_.begin(), parts_.end(), [&](const Part &part) {
            return part.span.contains(key) && part.isHeld(now);
        });
    }

private:
    Duration stretched(milliseconds time) const
    {
        return std::chrono::duration_cast<Duration>(time * (1 + slowness_));
    }

    /** Splits parts so that they begin and end where @p span does. */
    void cut(const KeySpan &span)
    {
        cutAt(span.first.value());
        cutAt(span.last.value() + 1);
    }

    void cutAt(uint32_t key)
    {
        for (auto part = parts_.begin(); part != parts_.end(); ++part) {
            if (part->span.first.value() < key && key <= part->span.last.value()) {
                Part rest = *part;
                part->span.last = ShardKey(key - 1);
                rest.span.first = ShardKey(key);
                parts_.insert(std::next(part), rest);
                return;
            }
        }
    }

    bool seesHigher(const KeySpan &span, Epoch fence) const
    {
        return std::any_of(parts_.begin(), parts_.end(), [&](const Part &part) {
            return span.covers(part.span) && part.fence > fence;
        });
    }

    static void take(Part &part, Epoch fence, TimePoint until, TimePoint now)
    {
        part.until = part.isHeld(now) ? std::max(part.until, until) : until;
        part.fence = fence;
        part.ending = false;
    }

    void takeGrantReply(const GrantReply &reply, TimePoint sentAt, TimePoint now)
    {
        std::vector<KeySpan> named;
        for (const GrantedKeys &row : reply.rows) {
            if (grant(row.span, row.fence, reply.hold, sentAt, now)) {
                named.push_back(row.span);
            }
        }
        for (Part &part : parts_) {
            const bool isNamed
                    = std::any_of(named.begin(), named.end(),
                                  [&part](const KeySpan &span) { return span.covers(part.span); });
            if (part.isHeld(now) && !isNamed) {
                part.ending = true;
                part.isReleaseUnreported = true;
                part.reportedIn = 0;
            }
        }
    }

    BackendIncarnation life_;
    bool alive_ = false;
    double slowness_ = 0;
    uint64_t sequence_ = 0;              ///< Sequence number of the latest heartbeat.
    uint64_t lastReadHeartbeat_ = 0;     ///< Heartbeat whose reply was read last.
    std::vector<Part> parts_ = {Part{}}; ///< Sorted by span; covers all keys.
};

} // namespace wisteriahoist::testing
