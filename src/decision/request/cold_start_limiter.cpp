/** @file cold_start_limiter.cpp Bounds the requests at a backend server that has just started. */

#include "decision/request/cold_start_limiter.h"

#include <algorithm>
#include <cmath>

namespace wisteriahoist {

namespace {

/** Longer than the second in which requests are counted, since they arrive with varying delay. */
constexpr milliseconds Window{1150};
/** A node that has started knows the configuration after this time, if the store is available. */
constexpr milliseconds UnknownRateTime{300};
/** Bounds the memory; more than a backend server runs in one window. */
constexpr size_t MaxCounted = 4096;

} // namespace

std::optional<size_t> ColdStartLimiter::windowLimit() const
{
    if (limits_.perSecond && *limits_.perSecond <= 0) {
        return std::nullopt;
    }
    const double declared = limits_.perSecond.value_or(0) * limits_.overshoot;
    return static_cast<size_t>(std::max(1.0, std::floor(declared + limits_.slack)));
}

size_t ColdStartLimiter::sentSince(TimePoint time) const
{
    return static_cast<size_t>(sent_.end() - std::upper_bound(sent_.begin(), sent_.end(), time));
}

bool ColdStartLimiter::hasRoom(bool isCold, size_t reserved, TimePoint now) const
{
    const std::optional<size_t> most = windowLimit();
    if (!isCold || !most) {
        return true;
    }
    return now >= fullUntil_ && sentSince(now - Window) + admitted_ + reserved < *most;
}

void ColdStartLimiter::assumeSentUntil(TimePoint until)
{
    fullUntil_ = until + Window;
}

void ColdStartLimiter::endAdmission(bool sent, TimePoint now)
{
    --admitted_;
    if (sent) {
        onSent(now);
    }
}

void ColdStartLimiter::onSent(TimePoint now)
{
    if (!windowLimit()) {
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
    const Duration ofSent = oldest == sent_.end() ? Duration(0) : *oldest + Window - now;
    const Duration wait = now < fullUntil_ ? std::max(ofSent, fullUntil_ - now) : ofSent;
    const auto untilRoom = std::chrono::ceil<milliseconds>(wait);
    return limits_.perSecond ? untilRoom : std::min(untilRoom, UnknownRateTime);
}

} // namespace wisteriahoist
