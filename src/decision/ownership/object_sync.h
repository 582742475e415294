/** @file object_sync.h Keeping one object of the platform: one call at a time, doubts read back. */

#pragma once

#include "core/id_type.h"
#include "core/time_type.h"

namespace wisteriahoist {

/** What is known of one object in the platform and of the call on its way to it. */
struct ObjectSync {
    /** The call that an object needs next. */
    enum class Need { Nothing, Read, Write };

    ObjectVersion version;         ///< Of the newest content that was applied.
    TimePoint askedAt = NeverTime; ///< Send time of the call on its way.
    TimePoint retryAt = NeverTime; ///< No call before this, after failures.
    uint32_t failures = 0;         ///< In a row.
    bool busy = false;             ///< A call is on its way.
    bool uncertain = false;        ///< A write may have taken effect, or nothing was read yet.
    bool dirty = false;            ///< The wanted content differs from the stored one.

    /** @return The call to make now; marks it as on its way unless it is Nothing. */
    Need next(TimePoint now)
    {
        if (busy || now < retryAt || !(uncertain || dirty)) {
            return Need::Nothing;
        }
        begin(now);
        return uncertain ? Need::Read : Need::Write;
    }

    void begin(TimePoint now)
    {
        busy = true;
        askedAt = now;
    }

    void succeed(ObjectVersion newVersion)
    {
        busy = false;
        uncertain = false;
        failures = 0;
        version = newVersion;
    }

    void fail(TimePoint now, Duration pause)
    {
        busy = false;
        uncertain = true;
        ++failures;
        retryAt = now + pause;
    }
};

} // namespace wisteriahoist
