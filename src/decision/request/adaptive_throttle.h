/** @file adaptive_throttle.h Which requests a first node refuses itself, since their service is
 * full everywhere. */

#pragma once

#include "core/time_type.h"

namespace wisteriahoist {

/** Bounds of the throttle. */
struct ThrottleLimits {
    /** Requests passed on for each one that found room. What is above 1 finds out when there is
     *  room again, and keeps every slot in use although one node sees little of the fleet. */
    double passedPerAccepted = 1.5;
    milliseconds decay{1000}; ///< Time constant in which earlier requests fade.
    double leastSeen = 8;     ///< Faded requests below which all are passed on.
};

/**
 * Client-side throttling of one kind of request at the node that its callers reach first. Where
 * most requests find all instances full, each of them costs several hops between nodes that are
 * short of processor time already, and its caller is refused all the same. So the excess over a
 * multiple of what found room lately is refused on arrival; callers learn at once, and nodes keep
 * their processor time for what is served.
 */
class AdaptiveThrottle
{
public:
    explicit AdaptiveThrottle(ThrottleLimits limits = {}) : limits_(limits) { }

    /**
     * A request has arrived.
     * @param random In [0, 1).
     * @return Whether it is to be passed on; if so, onEnd() is to follow.
     */
    bool admit(TimePoint now, double random);

    /** A request that was passed on has ended; until then nothing is known of the room for it.
     *  @param accepted Whether it found room. */
    void onEnd(bool accepted, TimePoint now);

private:
    void fade(TimePoint now);

    ThrottleLimits limits_;
    double decided_ = 0;  ///< Faded count of requests that have ended or were refused here.
    double accepted_ = 0; ///< Faded count of those that found room.
    TimePoint fadedAt_ = NeverTime;
};

} // namespace wisteriahoist
