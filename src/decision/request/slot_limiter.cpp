/** @file slot_limiter.cpp Limits the requests that run at a backend server at the same time. */

#include "decision/request/slot_limiter.h"

#include <algorithm>

namespace wisteriahoist {

namespace {
constexpr uint32_t MaxDoublings = 5;
}

void SlotLimiter::onBackend(uint32_t slots, TimePoint now)
{
    slots_ = slots;
    rampStart_ = 1;
    rampFrom_ = now;
    rampTime_ = times_.slowStart;
    pausedUntil_ = NeverTime;
    consecutiveSheds_ = 0;
}

void SlotLimiter::onShed(uint32_t running, TimePoint now)
{
    if (now < pausedUntil_) {
        return;
    }
    const milliseconds pause
            = times_.shedBackOff * (1U << std::min(consecutiveSheds_, MaxDoublings));
    ++consecutiveSheds_;
    pausedUntil_ = now + std::min(pause, times_.longestBackOff);
    rampStart_ = std::max<uint32_t>(1, running / 2);
    rampFrom_ = pausedUntil_;
    rampTime_ = times_.recovery;
}

void SlotLimiter::onSuccess()
{
    consecutiveSheds_ = 0;
}

uint32_t SlotLimiter::limit(TimePoint now) const
{
    if (now < pausedUntil_) {
        return 0;
    }
    const Duration elapsed = now - rampFrom_;
    if (elapsed >= rampTime_ || slots_ <= rampStart_) {
        return slots_;
    }
    const double share = std::chrono::duration<double>(elapsed) / rampTime_;
    return rampStart_ + static_cast<uint32_t>(share * (slots_ - rampStart_));
}

} // namespace wisteriahoist
