/** @file boot_clock_adapter.h The clock port over CLOCK_BOOTTIME. */

#pragma once

#include "port/clock.h"

namespace wisteriahoist {

/**
 * Reads CLOCK_BOOTTIME. A process that was stopped for 10 s finds the clock 10 s further on, so a
 * lease that lapsed meanwhile is seen to have lapsed. A VM frozen together with its clocks is not
 * detected by this; docs/design/ownership.md says what is left then.
 */
class BootClockAdapter final : public Clock
{
public:
    TimePoint now() const override;
};

} // namespace wisteriahoist
