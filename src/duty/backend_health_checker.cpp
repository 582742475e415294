/** @file backend_health_checker.cpp Active health checks of the backend server on suspected
 * failure. */

#include "duty/backend_health_checker.h"

#include "adapter/task/background_task.h"

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
    startLoop(context_.get_executor(), "health checks", loop);
}

void BackendHealthChecker::requestCheck()
{
    checkRequested_ = true;
    timer_.cancel();
}

bool BackendHealthChecker::isDue(TimePoint now) const
{
    const bool listening
            = monitor_.state() == BackendState::Ready || monitor_.state() == BackendState::Draining;
    const bool late = listening && now - monitor_.heardAt() > heartbeat_ * limits_.missedHeartbeats;
    // A server that refused connections because it had too many is found to be up by a check sooner
    // than by its next heartbeat, which may be late; until then callers are refused.
    return checkRequested_ || late || monitor_.refusesConnections();
}

asio::awaitable<void> BackendHealthChecker::run()
{
    while (true) {
        if (isDue(clock_.now())) {
            co_await check();
        }
        timer_.expires_after(checkRequested_ ? limits_.checkInterval : heartbeat_);
        boost::system::error_code ignored;
        co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> BackendHealthChecker::check()
{
    const BackendStatus status = co_await backend_.pollOnce(limits_.checkTimeout);
    bool changed = false;
    if (status.answered) {
        unanswered_ = 0;
        checkRequested_ = false;
        if (!status.backend.empty() && status.backend != monitor_.backend().id) {
            changed = monitor_.onOtherIncarnation(status.backend, clock_.now());
        } else {
            changed = monitor_.onAnswer(clock_.now());
        }
    } else if (status.refusedConnection) {
        changed = monitor_.onRefusedConnection();
        checkRequested_ = monitor_.state() != BackendState::Down
                          && monitor_.state() != BackendState::Absent;
    } else {
        checkRequested_ = ++unanswered_ < limits_.maxUnanswered;
        if (!checkRequested_) {
            unanswered_ = 0;
            changed = monitor_.onNoResponse();
        }
    }
    if (changed) {
        changed_();
    }
}

} // namespace wisteriahoist
