/** @file task_func.h Starts a coroutine of a stand-in; an error in it is never lost. */

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>

namespace wisteriahoist {

/** Starts @p task. An exception in it comes out of the context's run(). */
inline void startTask(boost::asio::io_context &context, boost::asio::awaitable<void> task)
{
    boost::asio::co_spawn(context, std::move(task), [](const std::exception_ptr &error) {
        if (error) {
            std::rethrow_exception(error);
        }
    });
}

} // namespace wisteriahoist
