/** @file background_task.h Coroutines that nobody waits for: an exception in one is logged. */

#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <exception>
#include <functional>
#include <string>
#include <string_view>

namespace wisteriahoist {

/** Logs @p error as the end of @p task. */
void logTaskFailure(std::string_view task, const std::exception_ptr &error);

/**
 * @param task Must refer to a string literal.
 * @param cleanUp Called after an exception, for what the task does at its end otherwise.
 * @return A completion handler of co_spawn(), in place of detached, which drops exceptions.
 */
template <typename CleanUp>
auto logFailureOf(std::string_view task, CleanUp cleanUp)
{
    return [task, cleanUp = std::move(cleanUp)](const std::exception_ptr &error) {
        if (error) {
            logTaskFailure(task, error);
            cleanUp();
        }
    };
}

inline auto logFailureOf(std::string_view task)
{
    return logFailureOf(task, []() {});
}

/** Starts @p loop, and starts it again after an exception, until it ends by itself. */
void startLoop(const boost::asio::any_io_executor &executor, std::string_view task,
               std::function<boost::asio::awaitable<void>()> loop);

} // namespace wisteriahoist
