/** @file backend_health_checker.h Looks at the backend server when its heartbeats or connections
 * fail. */

#pragma once

#include "decision/member/backend_monitor.h"
#include "port/backend_control.h"
#include "port/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace wisteriahoist {

/** When the watch looks. */
struct WatchTimes {
    /** Heartbeats may be seconds late; so many missing ones are worth a pollOnce. */
    uint32_t missedHeartbeats = 3;
    milliseconds lookTimeout{500};  ///< It answers within a millisecond, or when a slot is free.
    milliseconds betweenLooks{100}; ///< While something is wrong.
    uint32_t silentLooks = 3;       ///< Unanswered ones in a row that make it Down.
};

/**
 * Heartbeats say that a backend server lives, nothing says that it has died. Each pollOnce takes a
 * slot for a moment and is paid for, so there are none while heartbeats arrive and connections
 * work.
 */
class BackendHealthChecker
{
public:
    BackendHealthChecker(boost::asio::io_context &context, const Clock &clock,
                         BackendControl &backend, BackendMonitor &monitor, milliseconds heartbeat,
                         std::function<void()> changed);

    /** Looks once at the start: a node that restarts learns at once which life is there. */
    void start();

    /** A connection was refused or an answer was lost: looks soon. */
    void requestCheck();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> pollOnce();
    bool isDue(TimePoint now) const;

    boost::asio::io_context &context_;
    const Clock &clock_;
    BackendControl &backend_;
    BackendMonitor &monitor_;
    milliseconds heartbeat_;
    std::function<void()> changed_;
    boost::asio::steady_timer timer_;
    WatchTimes times_;
    uint32_t silentLooks_ = 0; ///< In a row.
    bool suspected_ = true;
};

} // namespace wisteriahoist
