/** @file ownership_backend.h A modelled backend server that counts its holds by its own clock. */

#pragma once

#include "decision/range/range_keeper.h"

#include <algorithm>
#include <array>

namespace wisteriahoist::testing {

/** Keys move in slices of equal size, so that a hold can be kept for each slice. */
inline constexpr uint32_t SliceCount = 8;
inline constexpr uint32_t SliceKeys = (LastShardKey.value() + 1) / SliceCount;

/** @return Slices @p first to @p last as keys. */
inline KeySpan slicesOf(uint32_t first, uint32_t last)
{
    return {ShardKey(first * SliceKeys), ShardKey((last + 1) * SliceKeys - 1)};
}

inline uint32_t firstSlice(const KeySpan &span)
{
    return span.first.value() / SliceKeys;
}

inline uint32_t lastSlice(const KeySpan &span)
{
    return span.last.value() / SliceKeys;
}

inline std::string spanText(const KeySpan &span)
{
    return "slices " + std::to_string(firstSlice(span)) + " to " + std::to_string(lastSlice(span));
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

    void start(const BackendLife &life)
    {
        life_ = life;
        alive_ = true;
    }

    /** It knows nothing of before when it starts again. */
    void crash()
    {
        alive_ = false;
        slices_ = {};
        sequence_ = 0;
        taken_ = 0;
    }

    /** @param share How much longer than asked for its slow clock makes it hold. */
    void runSlow(double share) { slowness_ = share; }

    const BackendLife &life() const { return life_; }
    bool isAlive() const { return alive_; }

    /** @return Whether it takes the grant that has arrived at @p arrivedAt; carried out @p now. */
    bool grant(const KeySpan &span, Epoch fence, milliseconds hold, TimePoint arrivedAt,
               TimePoint now)
    {
        if (seesHigher(span, fence)) {
            return false;
        }
        for (uint32_t index = firstSlice(span); index <= lastSlice(span); ++index) {
            take(slices_[index], fence, arrivedAt + stretched(hold), now);
        }
        return true;
    }

    /** Ends new work on @p span. @return When the running work will have ended. */
    TimePoint release(const KeySpan &span, Epoch fence, TimePoint now)
    {
        TimePoint ended = now;
        for (uint32_t index = firstSlice(span); index <= lastSlice(span); ++index) {
            Slice &slice = slices_[index];
            if (slice.fence <= fence) {
                slice.ending = true;
            }
            if (isWorkedOn(slice, now)) {
                ended = std::max(ended, std::min(slice.workUntil, slice.until));
            }
        }
        return ended;
    }

    /** @return What a heartbeat that is sent now shows; it gets the next number. */
    HoldReport report(TimePoint now)
    {
        ++sequence_;
        HoldReport report;
        for (uint32_t index = 0; index < SliceCount; ++index) {
            Slice &slice = slices_[index];
            if (holds(slice, now) || isWorkedOn(slice, now)) {
                report.holds.push_back({slicesOf(index, index), slice.fence});
            }
            if (slice.isReleaseNews) {
                slice.toldIn = slice.toldIn == 0 ? sequence_ : slice.toldIn;
                report.released.push_back({slicesOf(index, index), "token"});
            }
        }
        return report;
    }

    uint64_t sequence() const { return sequence_; }

    /** Reads the answer to heartbeat @p number, which may be one that was read before. */
    void takeAnswer(uint64_t number, const std::optional<HoldOrder> &order, TimePoint sentAt,
                    TimePoint now)
    {
        if (number < taken_ || now - sentAt > stretched(AnswerBound)) {
            return;
        }
        taken_ = number;
        for (Slice &slice : slices_) {
            if (slice.isReleaseNews && slice.toldIn != 0 && slice.toldIn <= number) {
                slice.isReleaseNews = false;
            }
        }
        if (order) {
            takeHolds(*order, sentAt, now);
        }
    }

    /** A request for @p slice arrives. @return Whether work on it begins. */
    bool work(uint32_t slice, milliseconds duration, TimePoint now)
    {
        Slice &wanted = slices_[slice];
        if (!alive_ || !holds(wanted, now)) {
            return false;
        }
        wanted.workUntil = std::max(wanted.workUntil, now + duration);
        return true;
    }

    /** @return Whether a request is at work on any key. */
    bool isWorking(TimePoint now) const
    {
        return std::any_of(slices_.begin(), slices_.end(),
                           [now](const Slice &slice) { return isWorkedOn(slice, now); });
    }

    /** @return Whether it may still release something that it works on. */
    bool isReleasing(TimePoint now) const
    {
        return std::any_of(slices_.begin(), slices_.end(), [now](const Slice &slice) {
            return slice.ending && isWorkedOn(slice, now);
        });
    }

    /** @return Whether it counts @p slice as held, or works on it within a hold that it had. */
    bool occupies(uint32_t slice, TimePoint now) const
    {
        return holds(slices_[slice], now) || isWorkedOn(slices_[slice], now);
    }

private:
    struct Slice {
        Epoch fence; ///< The highest it has seen.
        TimePoint until = NeverTime;
        TimePoint workUntil = NeverTime;
        bool ending = true;         ///< No new work; not held, but for what still works on it.
        bool isReleaseNews = false; ///< No acknowledged heartbeat has told of the release.
        uint64_t toldIn = 0;        ///< First heartbeat that told of the release; 0: none yet.
    };

    Duration stretched(milliseconds time) const
    {
        return std::chrono::duration_cast<Duration>(time * (1 + slowness_));
    }

    static bool holds(const Slice &slice, TimePoint now)
    {
        return !slice.ending && now < slice.until;
    }

    /** Work that outlasts its hold is broken off. */
    static bool isWorkedOn(const Slice &slice, TimePoint now)
    {
        return now < slice.workUntil && now < slice.until;
    }

    bool seesHigher(const KeySpan &span, Epoch fence) const
    {
        for (uint32_t index = firstSlice(span); index <= lastSlice(span); ++index) {
            if (slices_[index].fence > fence) {
                return true;
            }
        }
        return false;
    }

    static void take(Slice &slice, Epoch fence, TimePoint until, TimePoint now)
    {
        const bool isRenewal = holds(slice, now);
        slice.fence = fence;
        slice.until = isRenewal ? std::max(slice.until, until) : until;
        slice.ending = false;
    }

    void takeHolds(const HoldOrder &order, TimePoint sentAt, TimePoint now)
    {
        std::array<bool, SliceCount> named{};
        for (const OfferedKeys &row : order.rows) {
            if (!grant(row.span, row.fence, order.hold, sentAt, now)) {
                continue;
            }
            for (uint32_t index = firstSlice(row.span); index <= lastSlice(row.span); ++index) {
                named[index] = true;
            }
        }
        for (uint32_t index = 0; index < SliceCount; ++index) {
            Slice &slice = slices_[index];
            if (holds(slice, now) && !named[index]) {
                slice.ending = true;
                slice.isReleaseNews = true;
                slice.toldIn = 0;
            }
        }
    }

    BackendLife life_;
    bool alive_ = false;
    double slowness_ = 0;
    uint64_t sequence_ = 0; ///< Of the latest heartbeat.
    uint64_t taken_ = 0;    ///< Heartbeat whose answer was read last.
    std::array<Slice, SliceCount> slices_;
};

} // namespace wisteriahoist::testing
