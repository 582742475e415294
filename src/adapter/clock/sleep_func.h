/** @file sleep_func.h A coroutine's wait for a time. */

#pragma once

#include "core/time_type.h"

#include <boost/asio/awaitable.hpp>

namespace wisteriahoist {

/** Waits for @p duration on the executor of the coroutine that awaits it. */
boost::asio::awaitable<void> sleepFor(milliseconds duration);

} // namespace wisteriahoist
