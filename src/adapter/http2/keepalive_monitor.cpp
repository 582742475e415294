/** @file keepalive_monitor.cpp Closes unresponsive connections between nodes. */

#include "adapter/http2/keepalive_monitor.h"

namespace wisteriahoist {

void KeepaliveMonitor::add(std::shared_ptr<Http2Session> session)
{
    sessions_.push_back(std::move(session));
    if (!timerRunning_) {
        startTimer();
    }
}

void KeepaliveMonitor::startTimer()
{
    timerRunning_ = true;
    timer_.expires_after(limits_.interval);
    timer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const std::shared_ptr<KeepaliveMonitor> self = weak.lock();
        if (!error && self) {
            self->checkAll();
        }
    });
}

void KeepaliveMonitor::checkAll()
{
    // Counts intervals instead of elapsed time: after this process was paused, the first check runs
    // late while received frames are still unread, and must not close the connection. Closing a
    // connection fails its calls, whose callers may call add() during this loop.
    const std::vector<std::shared_ptr<Http2Session>> checked = std::move(sessions_);
    sessions_.clear();
    for (const std::shared_ptr<Http2Session> &session : checked) {
        if (session->checkKeepalive(limits_)) {
            sessions_.push_back(session);
        }
    }
    timerRunning_ = false;
    if (!sessions_.empty()) {
        startTimer();
    }
}

} // namespace wisteriahoist
