/** @file request_rate_limiter.h The rate of requests that a backend server takes from all nodes. */

#pragma once

#include "core/time_type.h"

#include <cstddef>
#include <optional>

namespace wisteriahoist {

/**
 * Keeps the requests at one backend server within the rate that it names. All requests to it pass
 * the node beside it, so that no other node has to know the rate.
 *
 * A token bucket: a token is taken for each request that is sent. Requests that wait for a slot
 * have one reserved, so that they are not sent all at once when slots become free.
 */
class RequestRateLimiter
{
public:
    /** The backend server has named a limit of @p limit requests per second. */
    void onNamed(double limit, TimePoint now);

    /** The backend server has answered a request that was sent at @p sentAt, and named no limit. An
     *  answer to a request from before the latest naming may be older than that. */
    void onNoneNamed(TimePoint sentAt);

    /** Another incarnation is current. */
    void clear() { limit_.reset(); }

    /** @return Whether one more request may be sent beside @p reserved ones that wait. */
    bool hasRoom(size_t reserved, TimePoint now) const;

    /** Takes a token for a request that is about to be sent. @return Whether there was one. */
    bool tryTake(TimePoint now);

    /** Counts a request that is rejected for want of a token.
     *  @return When its caller should retry, so that as many return as can be served. */
    milliseconds reject(TimePoint now);

    /** @return The limit in requests per second; nullopt if none is named. */
    const std::optional<double> &limit() const { return limit_; }

private:
    double rate() const;
    double capacity() const;
    double tokensAt(TimePoint now) const;

    std::optional<double> limit_; ///< As named.
    TimePoint namedAt_ = NeverTime;
    double tokens_ = 0; ///< At countedAt_. Invariant: from 0 to capacity().
    TimePoint countedAt_ = NeverTime;
    double rejected_ = 0; ///< Callers told to retry that are still to return, at rejectedAt_.
    TimePoint rejectedAt_ = NeverTime;
};

/**
 * @return The slots that a backend server can keep busy if it takes at most @p limit requests per
 *         second, each of which runs for @p serviceTime (0: not known).
 */
double usableSlots(double slots, const std::optional<double> &limit, milliseconds serviceTime);

/** @return @p limit in steps of a quarter, so that small changes need not be published. */
double roundLimit(double limit);

} // namespace wisteriahoist
