/** @file rate_limited_event.h An event that may come often: so many lines a second, the rest is
 * counted.
 */

#pragma once

#include "adapter/log/event_log.h"
#include "adapter/log/line_budget.h"

namespace wisteriahoist {

/**
 * Who reads the log later must know where lines are missing, so those that were dropped are counted
 * in a line of their own, at most one a second. Used by one thread.
 */
class RateLimitedEvent
{
public:
    /** @param perSecond Lines in the long run. @param burst Lines at once. */
    RateLimitedEvent(LogEvent event, double perSecond, double burst)
        : event_(event), budget_(perSecond, burst)
    { }

    /** @return Whether a line may be written now, with log(); if not, it counts as dropped. */
    bool tryTake(TimePoint now);

    void log(LogFields fields) const { logEvent(event_, fields); }

    /** Logs how many lines were dropped, if the first of them was a second ago. */
    void logDropped(TimePoint now);

    uint64_t dropped() const { return budget_.dropped(); }

private:
    LogEvent event_;
    LineBudget budget_;
    uint64_t told_ = 0;                   ///< Of the dropped lines.
    TimePoint droppingSince_ = NeverTime; ///< First dropped line that is not told yet.
};

} // namespace wisteriahoist
