/** @file asio_wake_timer_factory.h The port of waits over Boost.Asio's timers. */

#pragma once

#include "port/wake_timer.h"

#include <boost/asio/io_context.hpp>

namespace wisteriahoist {

/** Timers that run on the event loop of the duty that waits. */
class AsioWakeTimerFactory final : public WakeTimerFactory
{
public:
    explicit AsioWakeTimerFactory(boost::asio::io_context &context) : context_(context) { }

    std::unique_ptr<WakeTimer> make() override;

private:
    boost::asio::io_context &context_;
};

} // namespace wisteriahoist
