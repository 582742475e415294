/** @file process_signals.cpp The signals that the platform sends to this process. */

#include "adapter/signal/process_signals.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>

namespace wisteriahoist {

namespace asio = boost::asio;

void ignoreOutputSignals()
{
    // A write that fails has an error code: log lines are lost, the process goes on.
    (void)std::signal(SIGPIPE, SIG_IGN);
    (void)std::signal(SIGXFSZ, SIG_IGN);
}

ProcessSignals::ProcessSignals(asio::io_context &context)
    : stop_(context, SIGTERM, SIGINT), reload_(context, SIGHUP)
{
    ignoreOutputSignals();
}

asio::awaitable<void> ProcessSignals::awaitStop()
{
    co_await stop_.async_wait(asio::use_awaitable);
}

asio::awaitable<void> ProcessSignals::awaitReload()
{
    boost::system::error_code ignored;
    co_await reload_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace wisteriahoist
