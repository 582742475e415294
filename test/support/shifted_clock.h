/** @file shifted_clock.h A clock that a test can set ahead. */

#pragma once

#include "adapter/clock/boot_clock_adapter.h"

namespace wisteriahoist::testing {

/**
 * The real clock plus an offset. A test of an expiry sets the clock ahead instead of waiting, so
 * its periods can be far longer than any pause of a busy machine.
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
