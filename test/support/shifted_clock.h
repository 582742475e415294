/** @file shifted_clock.h A clock that a test sets ahead. */

#pragma once

#include "adapter/clock/boot_clock_adapter.h"

namespace wisteriahoist::testing {

/**
 * The real clock and what a test adds to it. A test that waits for a term to lapse sets the clock
 * ahead instead of waiting, so its terms can be far longer than any pause of a busy machine.
 */
class ShiftedClock final : public Clock
{
public:
    TimePoint now() const override { return real_.now() + ahead_; }
    void advance(milliseconds time) { ahead_ += time; }

private:
    BootClockAdapter real_;
    milliseconds ahead_{0};
};

} // namespace wisteriahoist::testing
