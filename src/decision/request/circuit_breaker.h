/** @file circuit_breaker.h Whether a backend server that turns requests away is sent any more. */

#pragma once

#include "core/time_type.h"

namespace wisteriahoist {

/** Bounds of the breaker. */
struct BreakerLimits {
    uint32_t refusalsInRow = 5; ///< That open it; a server that refuses some only rarely does so.
    milliseconds firstPause{100};
    milliseconds longestPause{800}; ///< The pause doubles up to this while trials are refused.
};

/**
 * The circuit breaker of the node beside one backend server. A server that refuses all requests
 * although it has free slots looks idle to everybody, draws more of them, and each counts as an
 * attempt there. In a large fleet no first node sends one server enough to notice; the node beside
 * it sees all, refuses in its place, and the first node asks another one.
 */
class CircuitBreaker
{
public:
    explicit CircuitBreaker(BreakerLimits limits = {}) : limits_(limits) { }

    /** @return Whether a request may be sent; while open, one trial after each pause. */
    bool allow(TimePoint now);

    /** @return Whether requests are being held off. */
    bool isOpen(TimePoint now) const { return now < openUntil_; }

    /** The backend server has refused a request without running it. */
    void onRefused(TimePoint now);

    /** The backend server has run a request. */
    void onRun();

private:
    BreakerLimits limits_;
    uint32_t refusals_ = 0; ///< In a row.
    milliseconds pause_{0}; ///< The present one; 0: closed.
    TimePoint openUntil_ = NeverTime;
};

} // namespace wisteriahoist
