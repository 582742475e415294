/** @file line_budget.h Bounds the number of log lines, so that load does not become log volume. */

#pragma once

#include "core/time_type.h"

#include <algorithm>
#include <cstdint>

namespace wisteriahoist {

/** A token bucket. Used by one thread. */
class LineBudget
{
public:
    /** @param perSecond Lines in the long run. @param burst Lines at once. */
    LineBudget(double perSecond, double burst)
        : perSecond_(perSecond), burst_(burst), tokens_(burst)
    { }

    /** @return Whether a line may be written now; if not, it counts as dropped. */
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
