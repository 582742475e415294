/** @file stall_monitor.h Detects that the event loop of a node stood still. */

#pragma once

#include "core/time_type.h"

#include <optional>

namespace wisteriahoist {

/** Intervals of the stall monitor. */
struct StallLimits {
    milliseconds interval{250}; ///< Between two turns that are observed.
    /** A turn that is later than this is a stall: news of the store are read that much later, and
     *  count as confirmed at the time of reading. */
    milliseconds lateness{250};
};

/** Compares the turns of an event loop with the interval at which they were asked for. */
class StallMonitor
{
public:
    explicit StallMonitor(StallLimits limits = {}) : limits_(limits) { }

    /** @return How late this turn is, if it is a stall. */
    std::optional<milliseconds> onTurn(TimePoint now)
    {
        const Duration late
                = lastTurn_ == NeverTime ? Duration(0) : now - lastTurn_ - limits_.interval;
        lastTurn_ = now;
        if (late < limits_.lateness) {
            return std::nullopt;
        }
        total_ += late;
        return std::chrono::duration_cast<milliseconds>(late);
    }

    milliseconds interval() const { return limits_.interval; }

    /** @return The sum of all stalls. */
    Duration total() const { return total_; }

private:
    StallLimits limits_;
    TimePoint lastTurn_ = NeverTime;
    Duration total_{0};
};

} // namespace wisteriahoist
