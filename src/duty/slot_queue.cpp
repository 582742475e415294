/** @file slot_queue.cpp Lets requests wait for a slot of the backend server, in the
 * order decided by AdmissionQueue. */

#include "duty/slot_queue.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wisteriahoist {

namespace asio = boost::asio;

namespace {
constexpr milliseconds WakeInterval{2};
}

SlotQueue::SlotQueue(asio::io_context &context, const Clock &clock, QueueLimits limits)
    : context_(context), clock_(clock), queue_(limits)
{ }

asio::awaitable<RequestEnd> SlotQueue::acquire(std::shared_ptr<SlotWaiter> waiter,
                                               TimePoint deadline, TimePoint queueDeadline)
{
    if (queue_.size() == 0 && hasFreeSlot()) {
        ++running_;
        co_return RequestEnd::None;
    }
    const uint64_t id = ++lastId_;
    if (!queue_.push({id, deadline, queueDeadline})) {
        co_return RequestEnd::Overloaded;
    }
    waiters_[id] = waiter;
    if (!wakeLoopRunning_) {
        wakeLoopRunning_ = true;
        asio::co_spawn(context_, wakeLoop(), asio::detached);
    }
    const Duration wait = std::min(deadline, queueDeadline) - clock_.now();
    waiter->timer.expires_after(std::max(wait, Duration(0)));
    boost::system::error_code ignored;
    co_await waiter->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    waiters_.erase(id);
    if (waiter->granted) {
        co_return RequestEnd::None;
    }
    queue_.remove(id);
    if (waiter->cancelled) {
        co_return RequestEnd::CallerDisconnected;
    }
    co_return deadline <= queueDeadline ? RequestEnd::DeadlineOver : RequestEnd::QueueTimeout;
}

void SlotQueue::release(bool shed)
{
    if (shed) {
        limiter_.onShed(running_, clock_.now());
    } else {
        limiter_.onSuccess();
    }
    --running_;
    wake();
}

void SlotQueue::cancel(SlotWaiter &waiter)
{
    waiter.cancelled = true;
    waiter.timer.cancel();
}

void SlotQueue::wake()
{
    while (hasFreeSlot()) {
        const std::optional<uint64_t> id = queue_.pop(clock_.now());
        if (!id) {
            return;
        }
        ++running_;
        SlotWaiter &waiter = *waiters_.at(*id);
        waiter.granted = true;
        waiter.timer.cancel();
    }
}

asio::awaitable<void> SlotQueue::wakeLoop()
{
    // After a back-off or during slow start slots become free without a call of release().
    asio::steady_timer timer(context_);
    while (queue_.size() > 0) {
        timer.expires_after(WakeInterval);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        wake();
    }
    wakeLoopRunning_ = false;
}

} // namespace wisteriahoist
