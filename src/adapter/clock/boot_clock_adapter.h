/** @file boot_clock_adapter.h Implements Clock with CLOCK_BOOTTIME. */

#pragma once

#include "port/clock.h"

namespace wisteriahoist {

/**
 * Reads CLOCK_BOOTTIME. After a process was stopped for 10 s the clock has advanced by 10 s, so the
 * expiry of a lease during that time is detected. The freeze of a VM together with its clocks is
 * not detected; see docs/design/ownership.md for that case.
 */
class BootClockAdapter final : public Clock
{
public:
    TimePoint now() const override;
};

} // namespace wisteriahoist
