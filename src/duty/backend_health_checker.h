/** @file backend_health_checker.h Active health checks of the backend server on suspected failure.
 */

#pragma once

#include "decision/member/backend_monitor.h"
#include "port/backend_control.h"
#include "port/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace wisteriahoist {

/** Limits of the health checks. */
struct HealthCheckLimits {
    /** Heartbeats may be seconds late; after this many missing ones a check is made. */
    uint32_t missedHeartbeats = 3;
    milliseconds checkTimeout{500};  ///< A check takes about 1 ms, or until a slot is free.
    milliseconds checkInterval{100}; ///< While a failure is suspected.
    uint32_t maxUnanswered = 3;      ///< Consecutive unanswered checks after which it is Down.
};

/**
 * Heartbeats show that a backend server is alive, but nothing reports that it has ended. A health
 * check occupies a slot for a moment and is charged for, so none are made while heartbeats arrive
 * and connections work.
 */
class BackendHealthChecker
{
public:
    BackendHealthChecker(boost::asio::io_context &context, const Clock &clock,
                         BackendControl &backend, BackendMonitor &monitor, milliseconds heartbeat,
                         std::function<void()> changed);

    /** Starts with a check, so that a restarted node knows the current incarnation at once. */
    void start();

    /** Requests a check soon: a connection was refused or a response was lost. */
    void requestCheck();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> check();
    bool isDue(TimePoint now) const;

    boost::asio::io_context &context_;
    const Clock &clock_;
    BackendControl &backend_;
    BackendMonitor &monitor_;
    milliseconds heartbeat_;
    std::function<void()> changed_;
    boost::asio::steady_timer timer_;
    HealthCheckLimits limits_;
    uint32_t unanswered_ = 0; ///< Consecutive ones.
    bool checkRequested_ = true;
};

} // namespace wisteriahoist
