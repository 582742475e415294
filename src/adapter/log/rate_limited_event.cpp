/** @file rate_limited_event.cpp Rate limit for the log lines of one event. */

#include "adapter/log/rate_limited_event.h"

namespace wisteriahoist {

namespace {
/** Minimum interval between two lines that report dropped ones. These lines do not count against
 *  the rate limit, since they would otherwise displace the event's own lines. */
constexpr milliseconds MinReportInterval{1000};
} // namespace

bool RateLimitedEvent::tryTake(TimePoint now)
{
    logDropped(now);
    if (limiter_.tryTake(now)) {
        return true;
    }
    if (firstUnreportedAt_ == NeverTime) {
        firstUnreportedAt_ = now;
    }
    return false;
}

void RateLimitedEvent::logDropped(TimePoint now)
{
    if (firstUnreportedAt_ == NeverTime || now - firstUnreportedAt_ < MinReportInterval) {
        return;
    }
    const auto since = std::chrono::duration_cast<milliseconds>(now - firstUnreportedAt_);
    logEvent(LogEvent::LinesDropped, {{"of", std::string(logEventName(event_))},
                                      {"lines", limiter_.dropped() - reported_},
                                      {"since_ms", since.count()}});
    reported_ = limiter_.dropped();
    firstUnreportedAt_ = NeverTime;
}

} // namespace wisteriahoist
