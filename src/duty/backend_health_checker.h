/** @file backend_health_checker.h Active health checks of the backend server on suspected failure.
 */

#pragma once

#include "adapter/log/rate_limited_event.h"
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
    milliseconds checkTimeout{500};     ///< A check takes about 1 ms, or until a slot is free.
    milliseconds checkInterval{100};    ///< While a failure is suspected.
    uint32_t maxUnanswered = 3;         ///< Consecutive unanswered checks after which it is Down.
    milliseconds identityTimeout{1500}; ///< It may wait for a slot, as a request does.
};

/**
 * Heartbeats show that a backend server is alive, but nothing reports that it has ended. A health
 * check occupies a slot for a moment and is charged for, so none are made while heartbeats arrive,
 * connections work, and there is no doubt about its incarnation.
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

    /** Must be called when the monitor may be in doubt about the incarnation. */
    void wake() { timer_.cancel(); }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> check();
    /** Asks the backend server which incarnation it is. @return Whether the monitor has changed. */
    boost::asio::awaitable<bool> identify(BackendStatus &status, milliseconds timeout);
    /** @return Whether a failure of the backend server is suspected. */
    bool isSuspected(TimePoint now) const;
    /** @return Whether the next check has to find out which incarnation answers. */
    bool needsIdentity(TimePoint now) const;

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
    RateLimitedEvent identityLog_{LogEvent::BackendIdentified, 1, 10};
};

} // namespace wisteriahoist
