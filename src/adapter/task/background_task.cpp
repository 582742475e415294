/** @file background_task.cpp Coroutines that nobody waits for. */

#include "adapter/task/background_task.h"

#include "adapter/clock/sleep_func.h"
#include "adapter/log/event_log.h"

#include <boost/asio/co_spawn.hpp>

namespace wisteriahoist {

namespace {

/** What has caused the exception may last, such as a record in the store. */
constexpr milliseconds RestartPause{500};

boost::asio::awaitable<void> repeat(std::string task,
                                    std::function<boost::asio::awaitable<void>()> loop)
{
    while (true) {
        std::exception_ptr failure;
        try {
            co_await loop();
        } catch (...) {
            failure = std::current_exception();
        }
        if (!failure) {
            co_return;
        }
        logTaskFailure(task, failure);
        co_await sleepFor(RestartPause);
    }
}

} // namespace

void logTaskFailure(std::string_view task, const std::exception_ptr &error)
{
    std::string cause = "unknown exception";
    try {
        std::rethrow_exception(error);
    } catch (const std::exception &exception) {
        cause = exception.what();
    } catch (...) { // Has no text.
    }
    logEvent(LogEvent::TaskFailed, {{"task", task}, {"cause", cause}});
}

void startLoop(const boost::asio::any_io_executor &executor, std::string_view task,
               std::function<boost::asio::awaitable<void>()> loop)
{
    boost::asio::co_spawn(executor, repeat(std::string(task), std::move(loop)), logFailureOf(task));
}

} // namespace wisteriahoist
