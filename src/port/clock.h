/** @file clock.h Port: where the present time comes from. */

#pragma once

#include "core/time_type.h"

namespace wisteriahoist {

/** Reads the present time; the only source of it outside tests. */
class Clock
{
public:
    virtual ~Clock() = default;

    /** @return The present time on a clock that runs on while the process is stopped. */
    virtual TimePoint now() const = 0;
};

} // namespace wisteriahoist
