/** @file ownership_backend.h A modelled backend server that counts its holds by its own clock. */

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
 * The backend server beside a node, over all its lives. It alone knows what it holds: a grant by
 * call counts from its arrival, one by heartbeat from the sending of the heartbeat.
 */
class ModelBackend
{
public:
    /** An answer to a heartbeat counts for so long from the heartbeat's sending. */
    static constexpr milliseconds AnswerBound{1000};

    /** Keys that it has always held, released and worked on together. */
    struct Part {
        KeySpan span;
        Epoch fence; ///< The highest it has seen.
        TimePoint until = NeverTime;
        TimePoint workUntil = NeverTime;
        bool ending = true;         ///< No new work; not held, but for what still works on it.
        bool isReleaseNews = false; ///< No acknowledged heartbeat has told of the release.
        uint64_t toldIn = 0;        ///< First heartbeat that told of the release; 0: none yet.

        bool isHeld(TimePoint now) const { return !ending && now < until; }

        /** Work that outlasts its hold is broken off. */
        bool isWorkedOn(TimePoint now) const { return now < workUntil && now < until; }

        /** @return Whether it counts as held, or is worked on within a hold that it had. */
        bool isOccupied(TimePoint now) const { return isHeld(now) || isWorkedOn(now); }
    };

    void start(const BackendIncarnation &life)
    {
        life_ = life;
        alive_ = true;
    }

    /** It knows nothing of before when it starts again. */
    void crash()
    {
        alive_ = false;
        parts_ = {Part{}};
        sequence_ = 0;
        taken_ = 0;
    }

    /** @param share How much longer than asked for its slow clock makes it hold. */
    void runSlow(double share) { slowness_ = share; }

    const BackendIncarnation &life() const { return life_; }
    bool isAlive() const { return alive_; }
    const std::vector<Part> &parts() const { return parts_; }

    /** @return Whether it takes the grant that has arrived at @p arrivedAt; carried out @p now. */
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

    /** Ends new work on @p span. @return When the running work will have ended. */
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

    /** @return What a heartbeat that is sent now shows; it gets the next number. */
    HeldKeysReport report(TimePoint now)
    {
        HeldKeysReport report;
        report.sequence = ++sequence_;
        for (Part &part : parts_) {
            if (part.isOccupied(now)) {
                report.holds.push_back({part.span, part.fence});
            }
            if (part.isReleaseNews) {
                part.toldIn = part.toldIn == 0 ? sequence_ : part.toldIn;
                report.released.push_back({part.span, "token"});
            }
        }
        return report;
    }

    uint64_t sequence() const { return sequence_; }

    /** Reads the answer to heartbeat @p number, which may be one that was read before. */
    void takeAnswer(uint64_t number, const std::optional<GrantReply> &order, TimePoint sentAt,
                    TimePoint now)
    {
        if (number < taken_ || now - sentAt > stretched(AnswerBound)) {
            return;
        }
        taken_ = number;
        for (Part &part : parts_) {
            if (part.isReleaseNews && part.toldIn != 0 && part.toldIn <= number) {
                part.isReleaseNews = false;
            }
        }
        if (order) {
            takeHolds(*order, sentAt, now);
        }
    }

    /** A request for @p key arrives. @return Whether work on it begins. */
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

    /** @return Whether a request is at work on any key. */
    bool isWorking(TimePoint now) const
    {
        return std::any_of(parts_.begin(), parts_.end(),
                           [now](const Part &part) { return part.isWorkedOn(now); });
    }

    /** @return Whether it may still release something that it works on. */
    bool isReleasing(TimePoint now) const
    {
        return std::any_of(parts_.begin(), parts_.end(),
                           [now](const Part &part) { return part.ending && part.isWorkedOn(now); });
    }

    /** @return Whether it takes requests for @p key. */
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

    /** Makes parts begin and end where @p span does. */
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

    void takeHolds(const GrantReply &order, TimePoint sentAt, TimePoint now)
    {
        std::vector<KeySpan> named;
        for (const GrantedKeys &row : order.rows) {
            if (grant(row.span, row.fence, order.hold, sentAt, now)) {
                named.push_back(row.span);
            }
        }
        for (Part &part : parts_) {
            const bool isNamed
                    = std::any_of(named.begin(), named.end(),
                                  [&part](const KeySpan &span) { return span.covers(part.span); });
            if (part.isHeld(now) && !isNamed) {
                part.ending = true;
                part.isReleaseNews = true;
                part.toldIn = 0;
            }
        }
    }

    BackendIncarnation life_;
    bool alive_ = false;
    double slowness_ = 0;
    uint64_t sequence_ = 0;              ///< Of the latest heartbeat.
    uint64_t taken_ = 0;                 ///< Heartbeat whose answer was read last.
    std::vector<Part> parts_ = {Part{}}; ///< Sorted by span; they cover all keys.
};

} // namespace wisteriahoist::testing
