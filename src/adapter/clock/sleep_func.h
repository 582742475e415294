/** @file sleep_func.h Asynchronous sleep of a coroutine. */

#pragma once

#include "core/time_type.h"

#include <boost/asio/awaitable.hpp>

namespace wisteriahoist {

/** Waits for @p duration on the executor of the awaiting coroutine. */
boost::asio::awaitable<void> sleepFor(milliseconds duration);

} // namespace wisteriahoist
