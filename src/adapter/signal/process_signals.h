/** @file process_signals.h The signals that the platform sends to this process. */

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace wisteriahoist {

/** From now on a write to an output that can't take it fails, instead of ending the process. */
void ignoreOutputSignals();

/**
 * While it exists, no signal of the platform ends the process by its default action: one that
 * arrives before it is awaited is kept. A program creates it before anything else.
 */
class ProcessSignals
{
public:
    explicit ProcessSignals(boost::asio::io_context &context);

    /** Waits until the process is told to end. */
    boost::asio::awaitable<void> awaitStop();

    /** Waits until the process is told that its settings have changed. */
    boost::asio::awaitable<void> awaitReload();

private:
    boost::asio::signal_set stop_;
    boost::asio::signal_set reload_;
};

} // namespace wisteriahoist
