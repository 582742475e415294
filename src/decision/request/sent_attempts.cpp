/** @file sent_attempts.cpp Remembers which attempts were sent to the backend server. */

#include "decision/request/sent_attempts.h"

#include <algorithm>

namespace wisteriahoist {

namespace {

/** A second sending that was made in time may be delayed on its way here. */
constexpr milliseconds DelayMargin{1000};

} // namespace

void SentAttempts::record(const std::string &attemptId, TimePoint deadline, TimePoint now)
{
    if (forgetAt_.size() >= pruneAt_) {
        std::erase_if(forgetAt_, [now](const auto &entry) { return entry.second < now; });
        pruneAt_ = std::max(MinPruneCount, 2 * forgetAt_.size());
    }
    TimePoint &forgetAt = forgetAt_.try_emplace(attemptId, NeverTime).first->second;
    forgetAt = std::max(forgetAt, deadline + DelayMargin);
}

bool SentAttempts::wasSent(const std::string &attemptId, TimePoint now) const
{
    const auto found = forgetAt_.find(attemptId);
    return found != forgetAt_.end() && now <= found->second;
}

} // namespace wisteriahoist
