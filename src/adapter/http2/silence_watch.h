/** @file silence_watch.h Ends connections between nodes that have fallen silent. */

#pragma once

#include "adapter/http2/http2_session.h"

#include <boost/asio/steady_timer.hpp>
#include <vector>

namespace wisteriahoist {

/** When a connection with calls under way counts as silent. */
struct SilenceLimits {
    milliseconds interval{200}; ///< How often arrivals are looked at.
    /** Intervals without a frame after which a PING is sent. Most calls are answered sooner, so a
     *  request costs no PING of its own. */
    uint32_t beforePing = 3;
    uint32_t afterPing = 4; ///< Further intervals without a frame that end the connection.
};

/**
 * Something between two nodes may drop a connection's packets for good while new connections work;
 * without a bound every call on it waits for its deadline, and so do the next ones.
 *
 * One timer looks at all connections of a node that have calls under way: with a timer for each
 * connection, in a fleet of hundreds nearly every call would wake the process a few times more.
 */
class SilenceWatch : public std::enable_shared_from_this<SilenceWatch>
{
public:
    explicit SilenceWatch(const asio::any_io_executor &executor, SilenceLimits limits = {})
        : timer_(executor), limits_(limits)
    { }

    /** @param session Calls are under way on it; it is looked at until they have ended. */
    void add(std::shared_ptr<Http2Session> session);

private:
    void waitInterval();
    void checkAll();

    asio::steady_timer timer_;
    SilenceLimits limits_;
    std::vector<std::shared_ptr<Http2Session>> sessions_;
    bool waiting_ = false; ///< Invariant: the timer runs if there are sessions.
};

} // namespace wisteriahoist
