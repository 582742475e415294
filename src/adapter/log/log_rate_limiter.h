/** @file log_rate_limiter.h Rate limiter for log lines, so that the log volume does not grow with
 * load.
 */

#pragma once

#include "core/time_type.h"

#include <algorithm>
#include <cstdint>

namespace wisteriahoist {

/** Token bucket rate limiter. Used by one thread. */
class LogRateLimiter
{
public:
    /** @param perSecond Sustained rate in lines per second. @param burst Maximum burst in lines. */
    LogRateLimiter(double perSecond, double burst)
        : perSecond_(perSecond), burst_(burst), tokens_(burst)
    { }

    /** @return Whether a line may be written now; if false it is counted as dropped. */
    bool tryTake(TimePoint now)
    {
        if (filledAt_ != NeverTime) {
            const std::chrono::duration<double> elapsed = now - filledAt_;
            tokens_ = std::min(burst_, tokens_ + elapsed.count() * perSecond_);
        }
        filledAt_ = now;
        if (tokens_ < 1) {
            ++dropped_;
            return false;
        }
        tokens_ -= 1;
        return true;
    }

    uint64_t dropped() const { return dropped_; }

private:
    double perSecond_;
    double burst_;
    double tokens_;
    TimePoint filledAt_ = NeverTime;
    uint64_t dropped_ = 0;
};

} // namespace wisteriahoist
