/** @file cold_start_limiter.h Bounds the requests at a backend server that has just started. */

#pragma once

#include "core/time_type.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace wisteriahoist {

/** What a cold backend server may get from all nodes together. */
struct ColdStartLimits {
    /** Requests per second that it tolerates; 0: none is declared, unlimited; nullopt: not known
     *  yet. */
    std::optional<double> perSecond;
    double overshoot = 1; ///< Multiple of that rate which is allowed.
    double slack = 0;     ///< Requests in a second that are allowed in addition.
    bool operator==(const ColdStartLimits &) const = default;
};

/**
 * Bounds the requests of any one second at a backend server while it is cold; beyond that rate it
 * may crash. All requests to it pass the node beside it, so that no other node has to know.
 *
 * Requests are counted while it is warm as well: it may turn cold at any moment, and what it got
 * shortly before it said so counts.
 */
class ColdStartLimiter
{
public:
    void setLimits(const ColdStartLimits &limits) { limits_ = limits; }
    const ColdStartLimits &limits() const { return limits_; }

    /** @return Whether one more request may be sent beside @p reserved ones that wait. */
    bool hasRoom(bool isCold, size_t reserved, TimePoint now) const;

    /** An earlier process may have sent as much as is allowed until @p until. */
    void assumeSentUntil(TimePoint until);

    /** A request will be sent; it may wait for a connection or for processor time first. */
    void admit() { ++admitted_; }

    /** The request that was admitted is sent at @p now, or never if @p sent is false. */
    void endAdmission(bool sent, TimePoint now);

    /** Counts a request that is sent. */
    void onSent(TimePoint now);

    /** @return When a caller that is rejected now should retry. */
    milliseconds retryAfter(TimePoint now) const;

    /** @return Requests that a cold backend server gets in one window; nullopt: unlimited. While
     *          its rate is not known, what is allowed at any rate. */
    std::optional<size_t> windowLimit() const;

private:
    size_t sentSince(TimePoint time) const;

    ColdStartLimits limits_;
    std::deque<TimePoint> sent_;      ///< Of the last window, in ascending order.
    size_t admitted_ = 0;             ///< Not sent yet.
    TimePoint fullUntil_ = NeverTime; ///< Assumed: requests of an earlier process fill the window.
};

} // namespace wisteriahoist
