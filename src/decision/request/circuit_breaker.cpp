/** @file circuit_breaker.cpp Whether a backend server that turns requests away is sent any more. */

#include "decision/request/circuit_breaker.h"

#include <algorithm>

namespace wisteriahoist {

bool CircuitBreaker::allow(TimePoint now)
{
    if (isOpen(now)) {
        return false;
    }
    if (pause_.count() > 0) {
        openUntil_ = now + pause_; // This one is the trial; the others wait for its end.
    }
    return true;
}

void CircuitBreaker::onRefused(TimePoint now)
{
    ++refusals_;
    if (refusals_ < limits_.refusalsInRow) {
        return;
    }
    pause_ = pause_.count() == 0 ? limits_.firstPause : std::min(pause_ * 2, limits_.longestPause);
    openUntil_ = now + pause_;
}

void CircuitBreaker::onRun()
{
    refusals_ = 0;
    pause_ = milliseconds(0);
    openUntil_ = NeverTime;
}

} // namespace wisteriahoist
