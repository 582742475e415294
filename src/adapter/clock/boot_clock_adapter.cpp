/** @file boot_clock_adapter.cpp Implements Clock with CLOCK_BOOTTIME. */

#include "adapter/clock/boot_clock_adapter.h"

#include <ctime>

namespace wisteriahoist {

TimePoint BootClockAdapter::now() const
{
    timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return TimePoint(std::chrono::seconds(reading.tv_sec)
                     + std::chrono::nanoseconds(reading.tv_nsec));
}

} // namespace wisteriahoist
