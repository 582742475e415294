/** @file silence_watch.cpp Ends connections between nodes that have fallen silent. */

#include "adapter/http2/silence_watch.h"

namespace wisteriahoist {

void SilenceWatch::add(std::shared_ptr<Http2Session> session)
{
    sessions_.push_back(std::move(session));
    if (!waiting_) {
        waitInterval();
    }
}

void SilenceWatch::waitInterval()
{
    waiting_ = true;
    timer_.expires_after(limits_.interval);
    timer_.async_wait([watch = weak_from_this()](const boost::system::error_code &error) {
        const std::shared_ptr<SilenceWatch> self = watch.lock();
        if (!error && self) {
            self->checkAll();
        }
    });
}

void SilenceWatch::checkAll()
{
    // Intervals are counted, not time: after a pause of this process the first look comes late,
    // with frames still unread, and must not take a connection for silent. A connection that is
    // closed ends its calls, whose callers may add others here meanwhile.
    const std::vector<std::shared_ptr<Http2Session>> looked = std::move(sessions_);
    sessions_.clear();
    for (const std::shared_ptr<Http2Session> &session : looked) {
        if (session->checkSilence(limits_)) {
            sessions_.push_back(session);
        }
    }
    waiting_ = false;
    if (!sessions_.empty()) {
        waitInterval();
    }
}

} // namespace wisteriahoist
