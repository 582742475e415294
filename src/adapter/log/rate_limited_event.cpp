/** @file rate_limited_event.cpp Counts the lines of one event that a budget leaves out. */

#include "adapter/log/rate_limited_event.h"

namespace wisteriahoist {

namespace {
/** While lines go on being dropped, each count is for so long, and comes besides the budget: taken
 *  from it, the counts would leave no room for the event's own lines. */
constexpr milliseconds TellEvery{1000};
} // namespace

bool RateLimitedEvent::tryTake(TimePoint now)
{
    logDropped(now);
    if (budget_.tryTake(now)) {
        return true;
    }
    if (droppingSince_ == NeverTime) {
        droppingSince_ = now;
    }
    return false;
}

void RateLimitedEvent::logDropped(TimePoint now)
{
    if (droppingSince_ == NeverTime || now - droppingSince_ < TellEvery) {
        return;
    }
    const auto since = std::chrono::duration_cast<milliseconds>(now - droppingSince_);
    logEvent(LogEvent::LinesDropped, {{"of", std::string(logEventName(event_))},
                                      {"lines", budget_.dropped() - told_},
                                      {"since_ms", since.count()}});
    told_ = budget_.dropped();
    droppingSince_ = NeverTime;
}

} // namespace wisteriahoist
