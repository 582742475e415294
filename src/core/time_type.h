/** @file time_type.h Clock, time point and duration types. */

#pragma once

#include <chrono>
#include <cstdint>

namespace wisteriahoist {

/**
 * Time base of all decisions: CLOCK_BOOTTIME, which also advances while the process is stopped.
 * This type only defines the time point; the interface Clock reads the time.
 */
struct BootClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): standard name
};

using Duration = std::chrono::nanoseconds;
using TimePoint = BootClock::time_point;
using std::chrono::milliseconds;

/**
 * Marks an event that has not happened. Ten years before the clock's origin instead of the minimum
 * value, so that differences to it do not overflow.
 */
inline constexpr TimePoint NeverTime{std::chrono::hours(-24 * 365 * 10)};

/** @return Whole milliseconds since the clock's origin; the encoding of time points in messages. */
constexpr int64_t toMillisecondCount(TimePoint time)
{
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

/** @return The time point @p count milliseconds after the clock's origin. */
constexpr TimePoint fromMillisecondCount(int64_t count)
{
    return TimePoint(milliseconds(count));
}

} // namespace wisteriahoist
