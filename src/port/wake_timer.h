/** @file wake_timer.h Port: waits of a duty, which may be ended early. */

#pragma once

#include "core/time_type.h"

#include <boost/asio/awaitable.hpp>
#include <memory>

namespace wisteriahoist {

/** One wait at a time. Used by one thread. */
class WakeTimer
{
public:
    virtual ~WakeTimer() = default;

    /** Waits for @p duration, or until wake(). */
    virtual boost::asio::awaitable<void> wait(Duration duration) = 0;

    /** Ends the wait that is under way; without one, nothing happens. */
    virtual void wake() = 0;
};

/** Makes the timers of a duty, so that a test can run it on a simulated clock. */
class WakeTimerFactory
{
public:
    virtual ~WakeTimerFactory() = default;
    virtual std::unique_ptr<WakeTimer> make() = 0;
};

} // namespace wisteriahoist
