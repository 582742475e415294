/** @file time_type.h The clock's time point and the durations that decisions are made with. */

#pragma once

#include <chrono>
#include <cstdint>

namespace wisteriahoist {

/**
 * The time base of every decision: CLOCK_BOOTTIME, which runs on while the process is stopped.
 * The clock is only named here; it is read behind the port Clock.
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
 * "Never", for something that has not happened. Ten years before the clock's origin rather than
 * the smallest value, so that differences to it do not overflow.
 */
inline constexpr TimePoint NeverTime{std::chrono::hours(-24 * 365 * 10)};

/** @return Whole milliseconds since the clock's origin; the form in which time points travel. */
constexpr int64_t toMillisecondCount(TimePoint time)
{
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

/** @return The time point that lies @p count milliseconds after the clock's origin. */
constexpr TimePoint fromMillisecondCount(int64_t count)
{
    return TimePoint(milliseconds(count));
}

} // namespace wisteriahoist
