/** @file bounded_event.cpp Counts the lines of one event that a budget leaves out. */

#include "adapter/log/bounded_event.h"

namespace wisteriahoist {

bool BoundedEvent::tryTake(TimePoint now)
{
    tellDropped(now);
    if (budget_.tryTake(now)) {
        return true;
    }
    if (droppingSince_ == NeverTime) {
        droppingSince_ = now;
    }
    return false;
}

void BoundedEvent::tellDropped(TimePoint now)
{
    const uint64_t untold = budget_.dropped() - told_;
    if (untold == 0 || !budget_.hasLine(now)) {
        return;
    }
    (void)budget_.tryTake(now);
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(now - droppingSince_);
    logEvent(LogEvent::LinesDropped, {{"of", std::string(logEventName(event_))},
                                      {"lines", untold},
                                      {"since_ms", since.count()}});
    told_ = budget_.dropped();
    droppingSince_ = NeverTime;
}

} // namespace wisteriahoist
