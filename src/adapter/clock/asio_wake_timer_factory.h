/** @file asio_wake_timer_factory.h Implements wake timers with Boost.Asio. */

#pragma once

#include "port/wake_timer.h"

#include <boost/asio/io_context.hpp>

namespace wisteriahoist {

/** Creates timers that run on the given event loop. */
class AsioWakeTimerFactory final : public WakeTimerFactory
{
public:
    explicit AsioWakeTimerFactory(boost::asio::io_context &context) : context_(context) { }

    std::unique_ptr<WakeTimer> make() override;

private:
    boost::asio::io_context &context_;
};

} // namespace wisteriahoist
