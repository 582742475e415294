/** @file sleep_func.cpp Asynchronous sleep of a coroutine. */

#include "adapter/clock/sleep_func.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wisteriahoist {

namespace asio = boost::asio;

asio::awaitable<void> sleepFor(milliseconds duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace wisteriahoist
