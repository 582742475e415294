/** @file circuit_breaker.h Circuit breaker for a backend server that refuses requests. */

#pragma once

#include "core/time_type.h"

namespace wisteriahoist {

/** Limits of the breaker. */
struct BreakerLimits {
    uint32_t consecutiveRefusals = 5; ///< To open it; rarely reached if only some are refused.
    milliseconds firstPause{100};
    milliseconds longestPause{800}; ///< The pause doubles up to this while trials are refused.
};

/**
 * Circuit breaker of the node beside one backend server. A server that refuses all requests
 * although it has free slots appears idle to all nodes, attracts more requests, and each of them
 * uses up an attempt. In a large fleet no single ingress node sends one server enough requests to
 * detect this. The node beside it sees all of them and refuses on its behalf, so that the ingress
 * node tries another instance.
 */
class CircuitBreaker
{
public:
    explicit CircuitBreaker(BreakerLimits limits = {}) : limits_(limits) { }

    /** @return Whether a request may be sent; while the breaker is open, one trial per pause. */
    bool allow(TimePoint now);

    /** @return Whether requests are being rejected. */
    bool isOpen(TimePoint now) const { return now < openUntil_; }

    /** The backend server refused a request without running it. */
    void onRefused(TimePoint now);

    /** The backend server ran a request. */
    void onExecuted();

private:
    BreakerLimits limits_;
    uint32_t refusals_ = 0; ///< Consecutive ones.
    milliseconds pause_{0}; ///< Current pause; 0: closed.
    TimePoint openUntil_ = NeverTime;
};

} // namespace wisteriahoist
