/** @file keepalive_monitor.h Closes unresponsive connections between nodes. */

#pragma once

#include "adapter/http2/http2_session.h"

#include <boost/asio/steady_timer.hpp>
#include <vector>

namespace wisteriahoist {

/** Limits after which a connection with outstanding calls counts as unresponsive. */
struct KeepaliveLimits {
    milliseconds interval{200}; ///< Interval between checks.
    /** Intervals without a frame before a PING is sent. Most calls get their reply sooner, so they
     *  cause no PING. */
    uint32_t pingAfter = 3;
    uint32_t closeAfter = 4; ///< Further intervals without a frame before the connection is closed.
};

/**
 * Monitors connections with outstanding calls. The network may permanently drop the packets of one
 * connection while new connections work; without a limit every current and later call on that
 * connection would wait until its deadline.
 *
 * One timer checks all connections of a node. With a timer per connection, nearly every call in a
 * fleet of hundreds of nodes would cause a few additional wake-ups of the process.
 */
class KeepaliveMonitor : public std::enable_shared_from_this<KeepaliveMonitor>
{
public:
    explicit KeepaliveMonitor(const asio::any_io_executor &executor, KeepaliveLimits limits = {})
        : timer_(executor), limits_(limits)
    { }

    /** Monitors @p session, which has outstanding calls, until all of them have ended. */
    void add(std::shared_ptr<Http2Session> session);

private:
    void startTimer();
    void checkAll();

    asio::steady_timer timer_;
    KeepaliveLimits limits_;
    std::vector<std::shared_ptr<Http2Session>> sessions_;
    bool timerRunning_ = false; ///< Whether the timer runs. Invariant: true if there are sessions.
};

} // namespace wisteriahoist
