/** @file clock.h Interface: source of the current time. */

#pragma once

#include "core/time_type.h"

namespace wisteriahoist {

/** Reads the current time. Production code has no other time source for its decisions. */
class Clock
{
public:
    virtual ~Clock() = default;

    /** @return The current time of a clock that also advances while the process is stopped. */
    virtual TimePoint now() const = 0;
};

} // namespace wisteriahoist
