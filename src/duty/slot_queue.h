/** @file slot_queue.h Lets requests wait for a slot of the backend server, in the
 * order decided by AdmissionQueue. */

#pragma once

#include "decision/request/admission_queue.h"
#include "decision/request/outcome_table.h"
#include "decision/request/slot_limiter.h"
#include "port/clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace wisteriahoist {

/** One request that waits for a slot. */
struct SlotWaiter {
    explicit SlotWaiter(boost::asio::io_context &context) : timer(context) { }
    boost::asio::steady_timer timer; ///< Cancelled when the wait ends early.
    bool granted = false;            ///< The slot is already counted as running.
    bool cancelled = false;          ///< Its caller has disconnected.
};

/** Slots and queue of one backend server. Used by the gate's thread. */
class SlotQueue
{
public:
    SlotQueue(boost::asio::io_context &context, const Clock &clock, QueueLimits limits);

    /** A backend server has started or has been replaced. */
    void onBackend(uint32_t slots) { limiter_.onBackend(slots, clock_.now()); }

    /**
     * Waits for a slot.
     * @return None if a slot was taken, to be returned by release(); else why there is none.
     */
    boost::asio::awaitable<RequestEnd> acquire(std::shared_ptr<SlotWaiter> waiter,
                                               TimePoint deadline, TimePoint queueDeadline);

    /** Returns a slot. @param shed Whether the backend server refused the request. */
    void release(bool shed);

    /** The caller of the waiting request has disconnected. */
    static void cancel(SlotWaiter &waiter);

    uint32_t running() const { return running_; }
    size_t waiting() const { return queue_.size(); }

private:
    void wake();
    boost::asio::awaitable<void> wakeLoop();
    bool hasFreeSlot() const { return running_ < limiter_.limit(clock_.now()); }

    boost::asio::io_context &context_;
    const Clock &clock_;
    AdmissionQueue queue_;
    SlotLimiter limiter_{SlotTimes{}};
    std::map<uint64_t, std::shared_ptr<SlotWaiter>> waiters_; ///< Superset of the queue's ids.
    uint64_t lastId_ = 0;
    uint32_t running_ = 0; ///< Invariant: below the limiter's limit whenever it is incremented.
    bool wakeLoopRunning_ = false; ///< Invariant: at most one wake loop runs.
};

} // namespace wisteriahoist
