/** @file adaptive_throttle.cpp Which requests a first node refuses itself. */

#include "decision/request/adaptive_throttle.h"

#include <cmath>

namespace wisteriahoist {

namespace {

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void AdaptiveThrottle::fade(TimePoint now)
{
    if (fadedAt_ != NeverTime && now > fadedAt_) {
        const double factor = std::exp(-secondsOf(now - fadedAt_) / secondsOf(limits_.decay));
        decided_ *= factor;
        accepted_ *= factor;
    }
    fadedAt_ = now;
}

bool AdaptiveThrottle::admit(TimePoint now, double random)
{
    fade(now);
    const double excess = decided_ - limits_.passedPerAccepted * accepted_;
    const bool isFull = decided_ >= limits_.leastSeen && excess > 0;
    if (!isFull || random >= excess / decided_) {
        return true;
    }
    ++decided_;
    return false;
}

void AdaptiveThrottle::onEnd(bool accepted, TimePoint now)
{
    fade(now);
    ++decided_;
    accepted_ += accepted ? 1 : 0;
}

} // namespace wisteriahoist
