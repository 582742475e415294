/** @file adaptive_throttle.h Client-side throttling of requests to an overloaded service. */

#pragma once

#include "core/time_type.h"

namespace wisteriahoist {

/** Limits of the throttle. */
struct ThrottleLimits {
    /** Requests passed on per accepted one. The excess over 1 probes for free capacity, and keeps
     *  every slot in use although one node sees only a small part of the fleet. */
    double passedPerAccepted = 1.5;
    milliseconds decay{1000}; ///< Time constant of the exponential decay of the counts.
    double minDecided = 8;    ///< All requests are passed on while the decayed count is below this.
};

/**
 * Client-side throttling of one kind of request at the ingress node, the one the caller is
 * connected to. When most requests find all instances full, each of them costs several hops
 * between nodes that are short of CPU time, and is refused all the same. The throttle therefore
 * refuses the excess over a multiple of the recently accepted requests on arrival: callers get
 * the refusal at once, and the nodes spend their CPU time on requests that can be served.
 */
class AdaptiveThrottle
{
public:
    explicit AdaptiveThrottle(ThrottleLimits limits = {}) : limits_(limits) { }

    /**
     * Decides about a request that has arrived.
     * @param random Uniformly distributed in [0, 1).
     * @return Whether to pass it on; if so, onEnd() must be called when it has ended.
     */
    bool admit(TimePoint now, double random);

    /** Records the end of a request that was passed on; only then its acceptance is known.
     *  @param accepted Whether an instance had room for it. */
    void onEnd(bool accepted, TimePoint now);

private:
    void decayCounts(TimePoint now);

    ThrottleLimits limits_;
    double decided_ = 0;  ///< Decayed count of requests that have ended or were refused here.
    double accepted_ = 0; ///< Decayed count of accepted requests.
    TimePoint decayedAt_ = NeverTime;
};

} // namespace wisteriahoist
