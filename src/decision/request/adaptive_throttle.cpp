/** @file adaptive_throttle.cpp Client-side throttling of requests to an overloaded service. */

#include "decision/request/adaptive_throttle.h"

#include <cmath>

namespace wisteriahoist {

namespace {

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void AdaptiveThrottle::decayCounts(TimePoint now)
{
    if (decayedAt_ != NeverTime && now > decayedAt_) {
        const double factor = std::exp(-secondsOf(now - decayedAt_) / secondsOf(limits_.decay));
        decided_ *= factor;
        accepted_ *= factor;
    }
    decayedAt_ = now;
}

bool AdaptiveThrottle::admit(TimePoint now, double random)
{
    decayCounts(now);
    const double excess = decided_ - limits_.passedPerAccepted * accepted_;
    const bool isFull = decided_ >= limits_.minDecided && excess > 0;
    if (!isFull || random >= excess / decided_) {
        return true;
    }
    ++decided_;
    return false;
}

void AdaptiveThrottle::onEnd(bool accepted, TimePoint now)
{
    decayCounts(now);
    ++decided_;
    accepted_ += accepted ? 1 : 0;
}

} // namespace wisteriahoist
