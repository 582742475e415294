/** @file slot_limiter.h How many requests a backend server is given at once. */

#pragma once

#include "core/time_type.h"

#include <cstdint>

namespace wisteriahoist {

/** Times of the limiter. */
struct SlotTimes {
    milliseconds slowStart{2000}; ///< From one slot to all of them after a cold start.
    milliseconds shedBackOff{50}; ///< Pause after a shed; doubles while sheds go on.
    milliseconds longestBackOff{1000};
    milliseconds regrowth{1000}; ///< From the limit after a shed back to all slots.
};

/**
 * Limits the requests at a backend server to its slots, to fewer after a cold start, and to fewer
 * after it shed one. Without the back-off every shed request is handed over again at once; the
 * backend server then spends its time on refusals.
 */
class SlotLimiter
{
public:
    explicit SlotLimiter(SlotTimes times) : times_(times) { }

    /** A backend server with @p slots has come up (or has been replaced). */
    void onBackend(uint32_t slots, TimePoint now);

    void onShed(uint32_t running, TimePoint now);
    void onSuccess();

    /** @return How many requests may run at @p now; at least one but during a back-off. */
    uint32_t limit(TimePoint now) const;

    /** @return Until when nothing is handed over; NeverTime if there is no back-off. */
    TimePoint pausedUntil() const { return pausedUntil_; }

private:
    SlotTimes times_;
    uint32_t slots_ = 0;
    uint32_t floor_ = 1; ///< Slots from which the ramp starts.
    TimePoint rampFrom_ = NeverTime;
    milliseconds rampTime_{0};
    TimePoint pausedUntil_ = NeverTime;
    uint32_t sheds_ = 0; ///< In a row.
};

} // namespace wisteriahoist
