/** @file simulated_clock.h Time that a test advances, and coroutines that wait for it. */

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

/** Draws from a seed; the same on every machine. */
class Dice
{
public:
    explicit Dice(uint64_t seed) : random_(seed) { }

    uint64_t below(uint64_t bound) { return random_() % bound; }
    bool oneIn(uint64_t chances) { return below(chances) == 0; }
    milliseconds between(int64_t least, int64_t most)
    {
        return milliseconds(least + static_cast<int64_t>(below(most - least + 1)));
    }

private:
    std::minstd_rand random_;
};

/** What happens when, on a simulated clock. */
class Agenda
{
public:
    using Action = std::function<void()>;

    explicit Agenda(TimePoint start) : now_(start) { }

    TimePoint now() const { return now_; }

    void at(TimePoint time, Action action)
    {
        queue_.push_back({std::max(time, now_), ++count_, std::move(action)});
        std::push_heap(queue_.begin(), queue_.end());
    }

    void after(Duration delay, Action action) { at(now_ + delay, std::move(action)); }

    /** Runs the next action, unless it comes after @p end. @return Whether there was one. */
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
        uint64_t number; ///< Ties keep their order.
        Action action;
        bool operator<(const Item &other) const
        {
            return std::tie(other.time, other.number) < std::tie(time, number);
        }
    };

    TimePoint now_;
    uint64_t count_ = 0;
    std::vector<Item> queue_; ///< A heap.
};

/** A machine's clock, which runs at a rate of its own. */
class SimulatedClock final : public Clock
{
public:
    SimulatedClock(const Agenda &agenda, double rate)
        : agenda_(agenda), rate_(rate), start_(agenda.now())
    { }

    TimePoint now() const override
    {
        return start_ + std::chrono::duration_cast<Duration>((agenda_.now() - start_) * rate_);
    }

    /** @return How long @p duration of this clock takes on the agenda. */
    Duration realTime(Duration duration) const
    {
        return std::chrono::duration_cast<Duration>(duration / rate_);
    }

private:
    const Agenda &agenda_;
    double rate_;
    TimePoint start_;
};

/** Something that a coroutine waits for and the simulated world brings about. */
class Signal
{
public:
    explicit Signal(asio::io_context &context)
        : timer_(context, asio::steady_timer::time_point::max())
    { }

    void raise()
    {
        raised_ = true;
        timer_.cancel();
    }

    asio::awaitable<void> wait()
    {
        boost::system::error_code ignored;
        while (!raised_) {
            co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
    }

private:
    asio::steady_timer timer_;
    bool raised_ = false;
};

/** Timers of one node: they end when the agenda gets there, whatever the real time is. */
class SimulatedTimers final : public WakeTimerFactory
{
public:
    SimulatedTimers(asio::io_context &context, Agenda &agenda, const SimulatedClock &clock)
        : context_(context), agenda_(agenda), clock_(clock)
    { }

    std::unique_ptr<WakeTimer> make() override { return std::make_unique<Timer>(*this); }

private:
    class Timer final : public WakeTimer
    {
    public:
        explicit Timer(SimulatedTimers &timers) : timers_(timers) { }

        asio::awaitable<void> wait(Duration duration) override
        {
            const auto signal = std::make_shared<Signal>(timers_.context_);
            waiting_ = signal;
            const std::weak_ptr<Signal> weak = signal;
            timers_.agenda_.after(timers_.clock_.realTime(duration), [weak]() {
                if (const auto due = weak.lock()) {
                    due->raise();
                }
            });
            co_await signal->wait();
        }

        void wake() override
        {
            if (const auto waiting = waiting_.lock()) {
                waiting->raise();
            }
        }

    private:
        SimulatedTimers &timers_;
        std::weak_ptr<Signal> waiting_;
    };

    asio::io_context &context_;
    Agenda &agenda_;
    const SimulatedClock &clock_;
};

} // namespace wisteriahoist::testing
