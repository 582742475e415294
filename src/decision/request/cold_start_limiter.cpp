/** @file cold_start_limiter.cpp Bounds the requests at a backend server that has just started. */

#include "decision/request/cold_start_limiter.h"

#include <algorithm>
#include <cmath>

namespace wisteriahoist {

namespace {

/** Longer than the second in which requests are counted, since they arrive with varying delay. */
constexpr milliseconds Window{1150};
/** Bounds the memory; more than a backend server runs in one window. */
constexpr size_t MaxCounted = 4096;

} // namespace

size_t ColdStartLimiter::windowLimit() const
{
    if (limits_.perSecond <= 0) {
        return 0;
    }
    const double most = std::floor(limits_.perSecond * limits_.overshoot + limits_.slack);
    return static_cast<size_t>(std::max(1.0, most));
}

size_t ColdStartLimiter::sentSince(TimePoint time) const
{
    return static_cast<size_t>(sent_.end() - std::upper_bound(sent_.begin(), sent_.end(), time));
}

bool ColdStartLimiter::hasRoom(bool isCold, size_t reserved, TimePoint now) const
{
    const size_t most = windowLimit();
    return !isCold || most == 0 || sentSince(now - Window) + reserved < most;
}

void ColdStartLimiter::onSent(TimePoint now)
{
    if (windowLimit() == 0) {
        return;
    }
    sent_.push_back(now);
    while (sent_.front() <= now - Window || sent_.size() > MaxCounted) {
        sent_.pop_front();
    }
}

milliseconds ColdStartLimiter::retryAfter(TimePoint now) const
{
    const auto oldest = std::upper_bound(sent_.begin(), sent_.end(), now - Window);
    const Duration wait = oldest == sent_.end() ? Duration(0) : *oldest + Window - now;
    return std::chrono::ceil<milliseconds>(wait);
}

} // namespace wisteriahoist
