/** @file backend_health_checker.cpp Looks at the backend server when its heartbeats or connections
 * fail. */

#include "duty/backend_health_checker.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wisteriahoist {

namespace asio = boost::asio;

BackendHealthChecker::BackendHealthChecker(asio::io_context &context, const Clock &clock,
                                           BackendControl &backend, BackendMonitor &monitor,
                                           milliseconds heartbeat, std::function<void()> changed)
    : context_(context), clock_(clock), backend_(backend), monitor_(monitor), heartbeat_(heartbeat),
      changed_(std::move(changed)), timer_(context)
{ }

void BackendHealthChecker::start()
{
    const auto loop = [this]() { return run(); };
    asio::co_spawn(context_, loop, asio::detached);
}

void BackendHealthChecker::requestCheck()
{
    suspected_ = true;
    timer_.cancel();
}

bool BackendHealthChecker::isDue(TimePoint now) const
{
    const bool listening
            = monitor_.state() == BackendState::Ready || monitor_.state() == BackendState::Draining;
    const bool late = listening && now - monitor_.heardAt() > heartbeat_ * times_.missedHeartbeats;
    // One that refused connections for lack of them is found out by a pollOnce sooner than by its
    // next heartbeat, which may come late; until then callers are turned away.
    return suspected_ || late || monitor_.refusesConnections();
}

asio::awaitable<void> BackendHealthChecker::run()
{
    while (true) {
        if (isDue(clock_.now())) {
            co_await pollOnce();
        }
        timer_.expires_after(suspected_ ? times_.betweenLooks : heartbeat_);
        boost::system::error_code ignored;
        co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> BackendHealthChecker::pollOnce()
{
    const BackendStatus sight = co_await backend_.pollOnce(times_.lookTimeout);
    bool changed = false;
    if (sight.answered) {
        silentLooks_ = 0;
        suspected_ = false;
        if (!sight.backend.empty() && sight.backend != monitor_.backend().id) {
            changed = monitor_.onOtherIncarnation(sight.backend, clock_.now());
        } else {
            changed = monitor_.onAnswer(clock_.now());
        }
    } else if (sight.refusedConnection) {
        changed = monitor_.onRefusedConnection();
        suspected_ = monitor_.state() != BackendState::Down
                     && monitor_.state() != BackendState::Absent;
    } else {
        suspected_ = ++silentLooks_ < times_.silentLooks;
        if (!suspected_) {
            silentLooks_ = 0;
            changed = monitor_.onNoResponse();
        }
    }
    if (changed) {
        changed_();
    }
}

} // namespace wisteriahoist
