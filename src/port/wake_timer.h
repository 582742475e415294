/** @file wake_timer.h Interface: timers whose wait can be ended early. */

#pragma once

#include "core/time_type.h"

#include <boost/asio/awaitable.hpp>
#include <memory>

namespace wisteriahoist {

/** Timer that supports one wait at a time. Used by one thread. */
class WakeTimer
{
public:
    virtual ~WakeTimer() = default;

    /** Waits for @p duration or until wake() is called. */
    virtual boost::asio::awaitable<void> wait(Duration duration) = 0;

    /** Ends the current wait; has no effect if there is none. */
    virtual void wake() = 0;
};

/** Creates timers; a test replaces it to run on a simulated clock. */
class WakeTimerFactory
{
public:
    virtual ~WakeTimerFactory() = default;
    virtual std::unique_ptr<WakeTimer> make() = 0;
};

} // namespace wisteriahoist
