/** @file slot_limiter.cpp How many requests a backend server is given at once. */

#include "decision/request/slot_limiter.h"

#include <algorithm>

namespace wisteriahoist {

namespace {
constexpr uint32_t MaxDoublings = 5;
}

void SlotLimiter::onBackend(uint32_t slots, TimePoint now)
{
    slots_ = slots;
    floor_ = 1;
    rampFrom_ = now;
    rampTime_ = times_.slowStart;
    pausedUntil_ = NeverTime;
    sheds_ = 0;
}

void SlotLimiter::onShed(uint32_t running, TimePoint now)
{
    if (now < pausedUntil_) {
        return;
    }
    const milliseconds pause = times_.shedBackOff * (1U << std::min(sheds_, MaxDoublings));
    ++sheds_;
    pausedUntil_ = now + std::min(pause, times_.longestBackOff);
    floor_ = std::max<uint32_t>(1, running / 2);
    rampFrom_ = pausedUntil_;
    rampTime_ = times_.regrowth;
}

void SlotLimiter::onSuccess()
{
    sheds_ = 0;
}

uint32_t SlotLimiter::limit(TimePoint now) const
{
    if (now < pausedUntil_) {
        return 0;
    }
    const Duration elapsed = now - rampFrom_;
    if (elapsed >= rampTime_ || slots_ <= floor_) {
        return slots_;
    }
    const double share = std::chrono::duration<double>(elapsed) / rampTime_;
    return floor_ + static_cast<uint32_t>(share * (slots_ - floor_));
}

} // namespace wisteriahoist
