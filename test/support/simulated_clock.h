/** @file simulated_clock.h A simulated clock advanced by a test, and coroutines that wait for
 * it. */

#pragma once

#include "core/time_type.h"
#include "port/clock.h"
#include "port/wake_timer.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <random>
#include <tuple>
#include <vector>

namespace wisteriahoist::testing {

namespace asio = boost::asio;

/** Pseudo-random numbers from a seed; the same sequence on every machine. */
class SeededDraws
{
public:
    explicit SeededDraws(uint64_t seed) : random_(seed) { }

    uint64_t below(uint64_t bound) { return random_() % bound; }
    bool oneIn(uint64_t chances) { return below(chances) == 0; }
    milliseconds between(int64_t least, int64_t most)
    {
        return milliseconds(least + static_cast<int64_t>(below(most - least + 1)));
    }

private:
    std::minstd_rand random_;
};

/** Actions scheduled on a simulated clock. */
class EventQueue
{
public:
    using Action = std::function<void()>;

    explicit EventQueue(TimePoint start) : now_(start) { }

    TimePoint now() const { return now_; }

    void at(TimePoint time, Action action)
    {
        queue_.push_back({std::max(time, now_), ++count_, std::move(action)});
        std::push_heap(queue_.begin(), queue_.end());
    }

    void after(Duration delay, Action action) { at(now_ + delay, std::move(action)); }

    /** Runs the next action unless it is later than @p end. @return Whether there was one. */
    bool step(TimePoint end)
    {
        if (queue_.empty() || queue_.front().time > end) {
            return false;
        }
        std::pop_heap(queue_.begin(), queue_.end());
        const Item item = std::move(queue_.back());
        queue_.pop_back();
        now_ = item.time;
        item.action();
        return true;
    }

private:
    struct Item {
        TimePoint time;
        uint64_t number; ///< Keeps actions with equal times in order.
        Action action;
        bool operator<(const Item &other) const
        {
            return std::tie(other.time, other.number) < std::tie(time, number);
        }
    };

    TimePoint now_;
    uint64_t count_ = 0;
    std::vector<Item> queue_; ///< Heap ordered by time and number.
};

/** The clock of one machine, running at its own rate. */
class SimulatedClock final : public Clock
{
public:
    SimulatedClock(const EventQueue &events, double rate)
        : events_(events), rate_(rate), start_(events.now())
    { }

    TimePoint now() const override
    {
        return start_ + std::chrono::duration_cast<Duration>((events_.now() - start_) * rate_);
    }

    /** @return How much simulated time passes while this clock advances by @p duration. */
    Duration realTime(Duration duration) const
    {
        return std::chrono::duration_cast<Duration>(duration / rate_);
    }

private:
    const EventQueue &events_;
    double rate_;
    TimePoint start_;
};

/** A one-time event that a coroutine waits for and the simulation triggers. */
class OneShotEvent
{
public:
    explicit OneShotEvent(asio::io_context &context)
        : timer_(context, asio::steady_timer::time_point::max())
    { }

    void trigger()
    {
        triggered_ = true;
        timer_.cancel();
    }

    asio::awaitable<void> wait()
    {
        boost::system::error_code ignored;
        while (!triggered_) {
            co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
    }

private:
    asio::steady_timer timer_;
    bool triggered_ = false;
};

/** Timers of one node, which expire on the simulated clock, independent of real time. */
class SimulatedTimers final : public WakeTimerFactory
{
public:
    SimulatedTimers(asio::io_context &context, EventQueue &events, const SimulatedClock &clock)
        : context_(context), events_(events), clock_(clock)
    { }

    std::unique_ptr<WakeTimer> make() override { return std::make_unique<Timer>(*this); }

private:
    class Timer final : public WakeTimer
    {
    public:
        explicit Timer(SimulatedTimers &timers) : timers_(timers) { }

        asio::awaitable<void> wait(Duration duration) override
        {
            const auto event = std::make_shared<OneShotEvent>(timers_.context_);
            waiting_ = event;
            const std::weak_ptr<OneShotEvent> weak = event;
            timers_.events_.after(timers_.clock_.realTime(duration), [weak]() {
                if (const auto due = weak.lock()) {
                    due->trigger();
                }
            });
            co_await event->wait();
        }

        void wake() override
        {
            if (const auto waiting = waiting_.lock()) {
                waiting->trigger();
            }
        }

    private:
        SimulatedTimers &timers_;
        std::weak_ptr<OneShotEvent> waiting_;
    };

    asio::io_context &context_;
    EventQueue &events_;
    const SimulatedClock &clock_;
};

} // namespace wisteriahoist::testing
