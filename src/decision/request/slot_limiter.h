/** @file slot_limiter.h Limits the requests that run at a backend server at the same time. */

#pragma once

#include "core/time_type.h"

#include <cstdint>

namespace wisteriahoist {

/** Times of the limiter. */
struct SlotTimes {
    milliseconds slowStart{2000}; ///< Ramp from one slot to all of them after a cold start.
    milliseconds shedBackOff{50}; ///< Back-off after a shed request; doubles with consecutive ones.
    milliseconds longestBackOff{1000};
    milliseconds recovery{1000}; ///< Ramp from the reduced limit back to all slots.
};

/**
 * Limits the requests at a backend server to its slots, to fewer of them after a cold start, and to
 * fewer after it has shed one. Without the back-off each shed request would be sent again at once,
 * and the backend server would spend its time on refusals.
 */
class SlotLimiter
{
public:
    explicit SlotLimiter(SlotTimes times) : times_(times) { }

    /** A backend server with @p slots has started or has been replaced. */
    void onBackend(uint32_t slots, TimePoint now);

    void onShed(uint32_t running, TimePoint now);
    void onSuccess();

    /** @return How many requests may run at @p now; 0 during a back-off, else at least one. */
    uint32_t limit(TimePoint now) const;

    /** @return End of the back-off; NeverTime if there is none. */
    TimePoint pausedUntil() const { return pausedUntil_; }

private:
    SlotTimes times_;
    uint32_t slots_ = 0;
    uint32_t rampStart_ = 1; ///< Slots at the start of the ramp.
    TimePoint rampFrom_ = NeverTime;
    milliseconds rampTime_{0};
    TimePoint pausedUntil_ = NeverTime;
    uint32_t consecutiveSheds_ = 0;
};

} // namespace wisteriahoist
