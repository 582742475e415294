/** @file asio_wake_timer_factory.cpp Implements wake timers with Boost.Asio. */

#include "adapter/clock/asio_wake_timer_factory.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wisteriahoist {

namespace asio = boost::asio;

namespace {

class AsioWakeTimer final : public WakeTimer
{
public:
    explicit AsioWakeTimer(asio::io_context &context) : timer_(context) { }

    asio::awaitable<void> wait(Duration duration) override
    {
        timer_.expires_after(std::chrono::duration_cast<asio::steady_timer::duration>(duration));
        boost::system::error_code ignored;
        co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    void wake() override { timer_.cancel(); }

private:
    asio::steady_timer timer_;
};

} // namespace

std::unique_ptr<WakeTimer> AsioWakeTimerFactory::make()
{
    return std::make_unique<AsioWakeTimer>(context_);
}

} // namespace wisteriahoist
