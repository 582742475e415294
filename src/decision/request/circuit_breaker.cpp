/** @file circuit_breaker.cpp Circuit breaker for a backend server that refuses requests. */

#include "decision/request/circuit_breaker.h"

#include <algorithm>

namespace wisteriahoist {

bool CircuitBreaker::allow(TimePoint now)
{
    if (isOpen(now)) {
        return false;
    }
    if (pause_.count() > 0) {
        openUntil_ = now + pause_; // The trial; others are refused meanwhile.
    }
    return true;
}

void CircuitBreaker::onRefused(TimePoint now)
{
    ++refusals_;
    if (refusals_ < limits_.consecutiveRefusals) {
        return;
    }
    pause_ = pause_.count() == 0 ? limits_.firstPause : std::min(pause_ * 2, limits_.longestPause);
    openUntil_ = now + pause_;
}

void CircuitBreaker::onExecuted()
{
    refusals_ = 0;
    pause_ = milliseconds(0);
    openUntil_ = NeverTime;
}

} // namespace wisteriahoist
