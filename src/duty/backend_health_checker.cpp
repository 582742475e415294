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

bool BackendHealthChecker::isSuspected(TimePoint now) const
{
    const bool listening
            = monitor_.state() == BackendState::Ready || monitor_.state() == BackendState::Draining;
    const bool late = listening && now - monitor_.heardAt() > heartbeat_ * limits_.missedHeartbeats;
    // A server that refused connections because it had too many is found to be up by a check sooner
    // than by its next heartbeat, which may be late; until then callers are refused.
    return checkRequested_ || late || monitor_.refusesConnections();
}

bool BackendHealthChecker::needsIdentity(TimePoint now) const
{
    return !monitor_.isConfirmed() || monitor_.refusesConnections() || monitor_.isInDoubt(now);
}

asio::awaitable<void> BackendHealthChecker::run()
{
    while (true) {
        if (isSuspected(clock_.now()) || monitor_.isInDoubt(clock_.now())) {
            co_await check();
        }
        const bool again = checkRequested_ || monitor_.isInDoubt(clock_.now());
        timer_.expires_after(again ? limits_.checkInterval : heartbeat_);
        boost::system::error_code ignored;
        co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> BackendHealthChecker::check()
{
    const bool suspected = isSuspected(clock_.now());
    bool asksIdentity = needsIdentity(clock_.now());
    bool changed = false;
    BackendStatus status;
    if (!asksIdentity) {
        status = co_await backend_.pollOnce(limits_.checkTimeout);
        asksIdentity = !status.backend.empty() && status.backend != monitor_.backend().id;
        if (asksIdentity) {
            changed = monitor_.onNamed(status.backend, clock_.now());
        } else if (status.answered) {
            changed = monitor_.onAnswer(clock_.now());
        }
    }
    if (asksIdentity) {
        const milliseconds timeout = suspected ? limits_.checkTimeout : limits_.identityTimeout;
        changed |= co_await identify(status, timeout);
    }
    if (status.answered) {
        unanswered_ = 0;
        checkRequested_ = false;
    } else if (status.refusedConnection) {
        changed |= monitor_.onRefusedConnection();
        checkRequested_ = monitor_.state() != BackendState::Down
                          && monitor_.state() != BackendState::Absent;
    } else if (suspected) {
        checkRequested_ = ++unanswered_ < limits_.maxUnanswered;
        if (!checkRequested_) {
            unanswered_ = 0;
            changed |= monitor_.onNoResponse();
        }
    }
    if (changed) {
        changed_();
    }
}

asio::awaitable<bool> BackendHealthChecker::identify(BackendStatus &status, milliseconds timeout)
{
    const uint64_t question = monitor_.question();
    const std::string before = monitor_.backend().text();
    const bool inDoubt = monitor_.isInDoubt(clock_.now());
    status = co_await backend_.identify(timeout);
    if (!status.answered) {
        co_return false;
    }
    const TimePoint now = clock_.now();
    const bool changed = status.backend.empty()
                                 ? monitor_.onAnswer(now)
                                 : monitor_.onIdentity(status.backend, question, now);
    if ((inDoubt || changed) && identityLog_.tryTake(now)) {
        identityLog_.log({{"named", status.backend}, {"before", before}, {"changed", changed}});
    }
    co_return changed;
}

} // namespace wisteriahoist
