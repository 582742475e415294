/** @file rate_limited_event.h Rate limit for the log lines of one event. */

#pragma once

#include "adapter/log/event_log.h"
#include "adapter/log/log_rate_limiter.h"

namespace wisteriahoist {

/**
 * Limits the log lines of one frequent event. A reader of the log must see where lines are missing,
 * so dropped lines are counted and reported in a separate line, at most one per second. Used by
 * one thread.
 */
class RateLimitedEvent
{
public:
    /** @param perSecond Sustained rate in lines per second. @param burst Maximum burst in lines. */
    RateLimitedEvent(LogEvent event, double perSecond, double burst)
        : event_(event), limiter_(perSecond, burst)
    { }

    /** @return Whether a line may be written with log(); if false it is counted as dropped. */
    bool tryTake(TimePoint now);

    void log(LogFields fields) const { logEvent(event_, fields); }

    /** Logs the number of dropped lines if the first one is at least a second old. */
    void logDropped(TimePoint now);

    uint64_t dropped() const { return limiter_.dropped(); }

private:
    LogEvent event_;
    LogRateLimiter limiter_;
    uint64_t reported_ = 0;                   ///< Dropped lines that have been reported.
    TimePoint firstUnreportedAt_ = NeverTime; ///< Time of the first unreported dropped line.
};

} // namespace wisteriahoist
