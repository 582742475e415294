/** @file sent_attempts.h Remembers which attempts were sent to the backend server. */

#pragma once

#include "core/time_type.h"

#include <cstddef>
#include <string>
#include <unordered_map>

namespace wisteriahoist {

/**
 * The attempts that were sent to the backend server and may be sent to it again. A response names
 * the attempt that it answers, not the sending, so a second sending has to be told apart by its
 * connection. Used by one thread.
 */
class SentAttempts
{
public:
    /** @param deadline The attempt is not sent again after this time. */
    void record(const std::string &attemptId, TimePoint deadline, TimePoint now);

    /** @return Whether the attempt has been sent and may still be sent again. */
    bool wasSent(const std::string &attemptId, TimePoint now) const;

    size_t size() const { return forgetAt_.size(); }

private:
    /** Number of attempts below which expired ones are not removed. */
    static constexpr size_t MinPruneCount = 256;

    std::unordered_map<std::string, TimePoint> forgetAt_; ///< By attempt id.
    size_t pruneAt_ = MinPruneCount; ///< Number of attempts at which expired ones are removed.
};

} // namespace wisteriahoist
